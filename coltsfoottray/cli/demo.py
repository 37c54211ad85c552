"""The `demo` command: a whole deployment in one process, playing a trace."""

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

_USERS = ("tregarth", "ubuntu-image-labs")


def demo(
    trace: Annotated[
        Path | None, typer.Option(help="A trace; by default each user's own.")
    ] = None,
    deployment: Annotated[
        Path | None, typer.Option(help="A deployment; by default Tregarth's.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the balancer's turns.")] = 1,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print only the last line.")
    ] = False,
    log_file: Annotated[
        str | None, typer.Option(help="Write the daemons' log lines here.")
    ] = None,
) -> None:
    """Run entries, attendants and stand-ins in one process and play a trace."""
    from standins.session import merge_reports, play_sessions

    if log_file is not None:
        start_logging(LogSettings(file=log_file))
    sessions = _sessions(trace, deployment)

    def say(line: str) -> None:
        if not as_json:
            typer.echo(line)

    reports = trio.run(play_sessions, sessions, seed, say)
    merged = merge_reports(reports)
    if not as_json:
        _show(merged)
    typer.echo(msgspec.json.encode(merged).decode())
    if not merged.is_clean:
        raise typer.Exit(1)


def _sessions(trace: Path | None, deployment: Path | None) -> list[Session]:
    from standins.session import Session
    from standins.trace import load_trace

    examples = Path(str(resources.files("standins"))) / "examples"
    pairs = [(examples / f"{u}.yaml", examples / f"{u}.jsonl") for u in _USERS]
    if trace is not None or deployment is not None:
        pairs = [(deployment or pairs[0][0], trace or pairs[0][1])]
    sessions: list[Session] = []
    for deployment_path, trace_path in pairs:
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


def _show(report: Report) -> None:
    for key, value in msgspec.to_builtins(report).items():
        if key != "latency_ms":
            typer.echo(f"  {key:<16}{value}")
    latency = msgspec.to_builtins(report)["latency_ms"]
    for kind, line in latency.items():
        typer.echo(f"  {kind:<18}p50 {line['p50']} ms, p99 {line['p99']} ms")
