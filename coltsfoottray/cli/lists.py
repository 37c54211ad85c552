"""Commands that show and edit the two lists."""

from __future__ import annotations

import getpass
import secrets
from typing import Annotated

import msgspec
import typer
import yaml

from coltsfoottray.cli.common import EntryOption, fail, send_request
from coltsfoottray.cli.queries import fetch_status
from coltsfoottray.errors import InputError
from coltsfoottray.lists import Edit, EditRecord, ListName, Lists, apply_change
from coltsfoottray.types import ListVersion

__all__ = ["app"]

app = typer.Typer(help="Show and edit the two lists.", no_args_is_help=True)
_DEFAULT_ENTRY = "127.0.0.1:8080"


@app.command()
def show(entry: EntryOption = _DEFAULT_ENTRY) -> None:
    """Show the lists that are in force."""
    typer.echo(_to_yaml(_fetch_lists(entry)))


@app.command()
def edit(
    name: Annotated[ListName, typer.Argument(help="The list to edit.")],
    change: Annotated[
        str,
        typer.Argument(help="New lines as YAML, e.g. '{gold: {processors: 64}}'."),
    ],
    entry: EntryOption = _DEFAULT_ENTRY,
    based_on: Annotated[
        int | None,
        typer.Option(help="Version that the edit is based on; by default the newest."),
    ] = None,
    token: Annotated[
        str | None,
        typer.Option(help="Token of an earlier edit of unknown outcome, to repeat it."),
    ] = None,
) -> None:
    """Check an edit, show the difference, and commit it."""
    lines = yaml.safe_load(change)
    if not isinstance(lines, dict):
        fail(f"change: got {change!r}, expected lines as YAML", code=2)
    lists = _fetch_lists(entry)
    version = lists.version if based_on is None else ListVersion(based_on)
    new_edit = Edit(
        list=name,
        change=lines,
        based_on=version,
        author=getpass.getuser(),
        token=token or secrets.token_hex(8),
    )
    if version == lists.version:
        _show_difference(lists, new_edit)
    typer.echo(f"token {new_edit.token}, based on version {version}")
    response = send_request(entry, "POST", "/lists", msgspec.json.encode(new_edit))
    accepted = msgspec.json.decode(response.body, type=Lists)
    typer.echo(f"accepted as version {accepted.version}")


@app.command()
def history(entry: EntryOption = _DEFAULT_ENTRY) -> None:
    """Show every accepted edit."""
    body = send_request(entry, "GET", "/lists/history").body
    for record in msgspec.json.decode(body, type=list[EditRecord]):
        edit = record.edit
        typer.echo(
            f"{record.lists.version:>6}  {record.accepted_at}  {edit.author}  "
            f"{edit.list.value}: {edit.change}"
        )


@app.command()
def status(entry: EntryOption = _DEFAULT_ENTRY) -> None:
    """Show which version each daemon has in force."""
    entry_status = fetch_status(entry)
    typer.echo(f"{entry_status.lists_version:>6}  {entry_status.entry}")
    for daemon in entry_status.daemons:
        typer.echo(f"{daemon.lists_version:>6}  {daemon.daemon}")


def _fetch_lists(entry: str) -> Lists:
    return msgspec.json.decode(send_request(entry, "GET", "/lists").body, type=Lists)


def _show_difference(lists: Lists, edit: Edit) -> None:
    try:
        changed = apply_change(lists, edit, version=ListVersion(lists.version + 1))
    except InputError as error:
        fail(str(error), code=2)
    before_lines = _to_yaml(lists).splitlines()
    after_lines = _to_yaml(changed).splitlines()
    for line in before_lines:
        if line not in after_lines:
            typer.echo(f"- {line}")
    for line in after_lines:
        if line not in before_lines:
            typer.echo(f"+ {line}")


def _to_yaml(lists: Lists) -> str:
    """Return the lists as YAML, with one line for each customer and each plan."""
    plain = msgspec.to_builtins(lists)
    lines = [f"version: {plain['version']}", "plans:"]
    for customer, plan in sorted(plain["plan_by_customer"].items()):
        lines.append(f"  {customer}: {plan}")
    lines.append("allowances:")
    for plan, allowance in sorted(plain["allowance_by_plan"].items()):
        fields = ", ".join(f"{key}: {value:g}" for key, value in allowance.items())
        lines.append(f"  {plan}: {{{fields}}}")
    return "\n".join(lines)
