"""The `demo` command, which plays a trace on a deployment in one process."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, NoReturn

import msgspec
import trio
import typer
from returns.result import Failure

from coltsfoottray.cli.common import fail
from coltsfoottray.logs import start_logging
from coltsfoottray.settings import Deployment, LogSettings, load_deployment

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.report import Report
    from standins.session import Session

__all__ = ["demo"]

_EXAMPLE_USERS = ("tregarth", "ubuntu-image-labs")


def demo(
    trace: Annotated[
        Path | None, typer.Option(help="A trace; by default that of each example user.")
    ] = None,
    deployment: Annotated[
        Path | None, typer.Option(help="A deployment; by default that of Tregarth.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the load balancer's choices.")] = 1,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print only the report in JSON.")
    ] = False,
    log_file: Annotated[
        str | None, typer.Option(help="Write the daemons' log lines to this file.")
    ] = None,
) -> None:
    """Run entries, attendants and stand-ins in one process and play a trace."""
    from standins.session import merge_reports, play_sessions

    if log_file is not None:
        start_logging(LogSettings(file=log_file))
    sessions = _make_sessions(trace, deployment)

    def print_line(line: str) -> None:
        if not as_json:
            typer.echo(line)

    reports = trio.run(play_sessions, sessions, seed, print_line)
    merged = merge_reports(reports)
    if not as_json:
        _print_report(merged)
    typer.echo(msgspec.json.encode(merged).decode())
    if not merged.is_clean:
        raise typer.Exit(1)


def _make_sessions(trace: Path | None, deployment: Path | None) -> list[Session]:
    from standins.session import Session
    from standins.trace import load_trace

    examples = Path(str(resources.files("standins"))) / "examples"
    paths = [
        (examples / f"{user}.yaml", examples / f"{user}.jsonl")
        for user in _EXAMPLE_USERS
    ]
    if trace is not None or deployment is not None:
        paths = [(deployment or paths[0][0], trace or paths[0][1])]
    sessions: list[Session] = []
    for deployment_path, trace_path in paths:
        events = load_trace(trace_path)
        if isinstance(events, Failure):
            _fail_all(trace_path.name, events.failure())
        sessions.append(
            Session(
                name=trace_path.stem,
                deployment=_load(deployment_path),
                events=events.unwrap(),
            )
        )
    return sessions


def _load(path: Path) -> Deployment:
    loaded = load_deployment(path)
    if isinstance(loaded, Failure):
        _fail_all(path.name, loaded.failure())
    return loaded.unwrap()


def _fail_all(name: str, errors: Sequence[object]) -> NoReturn:
    fail("\n".join(f"{name}: {error}" for error in errors), code=2)


def _print_report(report: Report) -> None:
    for key, value in msgspec.to_builtins(report).items():
        if key != "latency_ms":
            typer.echo(f"  {key:<16}{value}")
    latency = msgspec.to_builtins(report)["latency_ms"]
    for kind, line in latency.items():
        typer.echo(f"  {kind:<18}p50 {line['p50']} ms, p99 {line['p99']} ms")
