"""Commands on the two lists."""

from __future__ import annotations

import getpass
import secrets
from typing import Annotated

import msgspec
import typer
import yaml

from coltsfoottray.cli.common import EntryOption, ask, fail
from coltsfoottray.cli.queries import read_status
from coltsfoottray.errors import InputError
from coltsfoottray.lists import Edit, EditRecord, ListName, Lists, apply_change
from coltsfoottray.types import ListVersion

__all__ = ["app"]

app = typer.Typer(help="Show and edit the two lists.", no_args_is_help=True)
_DEFAULT_ENTRY = "127.0.0.1:8080"


@app.command()
def show(entry: EntryOption = _DEFAULT_ENTRY) -> None:
    """Show both lists as they are in force."""
    typer.echo(_as_yaml(_read(entry)))


@app.command()
def edit(
    name: Annotated[ListName, typer.Argument(help="The list.")],
    change: Annotated[
        str,
        typer.Argument(help="New lines as YAML, e.g. '{gold: {processors: 64}}'."),
    ],
    entry: EntryOption = _DEFAULT_ENTRY,
    based_on: Annotated[
        int | None,
        typer.Option(help="The version you read; by default the newest."),
    ] = None,
    token: Annotated[
        str | None,
        typer.Option(help="That of an edit whose outcome you were not told."),
    ] = None,
) -> None:
    """Check an edit, show the difference, and commit it."""
    lines = yaml.safe_load(change)
    if not isinstance(lines, dict):
        fail(f"change: got {change!r}, expected lines as YAML", code=2)
    lists = _read(entry)
    version = lists.version if based_on is None else ListVersion(based_on)
    made = Edit(
        list=name,
        change=lines,
        based_on=version,
        author=getpass.getuser(),
        token=token or secrets.token_hex(8),
    )
    if version == lists.version:
        _show_difference(lists, made)
    typer.echo(f"token {made.token}, based on version {version}")
    response = ask(entry, "POST", "/lists", msgspec.json.encode(made))
    accepted = msgspec.json.decode(response.body, type=Lists)
    typer.echo(f"accepted as version {accepted.version}")


@app.command()
def history(entry: EntryOption = _DEFAULT_ENTRY) -> None:
    """Show every accepted edit."""
    body = ask(entry, "GET", "/lists/history").body
    for record in msgspec.json.decode(body, type=list[EditRecord]):
        edit = record.edit
        typer.echo(
            f"{record.lists.version:>6}  {record.accepted_at}  {edit.author}  "
            f"{edit.list.value}: {edit.change}"
        )


@app.command()
def status(entry: EntryOption = _DEFAULT_ENTRY) -> None:
    """Show which version each daemon has in force."""
    answer = read_status(entry)
    typer.echo(f"{answer.lists_version:>6}  {answer.entry}")
    for daemon in answer.daemons:
        typer.echo(f"{daemon.lists_version:>6}  {daemon.daemon}")


def _read(entry: str) -> Lists:
    return msgspec.json.decode(ask(entry, "GET", "/lists").body, type=Lists)


def _show_difference(lists: Lists, edit: Edit) -> None:
    try:
        after = apply_change(lists, edit, version=ListVersion(lists.version + 1))
    except InputError as error:
        fail(str(error), code=2)
    before_lines = _as_yaml(lists).splitlines()
    after_lines = _as_yaml(after).splitlines()
    for line in before_lines:
        if line not in after_lines:
            typer.echo(f"- {line}")
    for line in after_lines:
        if line not in before_lines:
            typer.echo(f"+ {line}")


def _as_yaml(lists: Lists) -> str:
    """Return the lists with one line for each customer and each plan."""
    plain = msgspec.to_builtins(lists)
    lines = [f"version: {plain['version']}", "plans:"]
    for customer, plan in sorted(plain["plan_by_customer"].items()):
        lines.append(f"  {customer}: {plan}")
    lines.append("allowances:")
    for plan, allowance in sorted(plain["allowance_by_plan"].items()):
        fields = ", ".join(f"{key}: {value:g}" for key, value in allowance.items())
        lines.append(f"  {plan}: {{{fields}}}")
    return "\n".join(lines)
