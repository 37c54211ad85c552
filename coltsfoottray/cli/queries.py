"""Commands that query the entries: `explain` and `status`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from coltsfoottray.cli.common import (
    EntryOption,
    expect_log_files,
    fail,
    send_request,
)
from coltsfoottray.entry.operators import EntryStatus
from coltsfoottray.explain import Decision
from coltsfoottray.explain.logfiles import read_lines_about
from coltsfoottray.jobs.status import JobDaemonStatus

__all__ = ["explain", "status"]


def explain(
    subject: Annotated[str, typer.Argument(help="Id of a request or task.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files to read instead, if the processes have ended."),
    ] = None,
    entry: EntryOption = "127.0.0.1:8080",
    logs: Annotated[
        list[Path] | None, typer.Option(help="A log file; may be repeated.")
    ] = None,
) -> None:
    """Show why a request or task was routed, placed, refused or evicted."""
    paths = expect_log_files(files, logs)
    if paths:
        _explain_from_logs(subject, paths)
        return
    found: list[Decision] = []
    for address in _entry_addresses(entry):
        response = send_request(address, "GET", f"/explain/{subject}")
        found += msgspec.json.decode(response.body, type=list[Decision])
    if not found:
        fail(f"{subject!r}: no entry has a decision about it")
    for decision in sorted(found, key=lambda each: each.at):
        typer.echo(f"{decision.at}  {decision.verb.value}: {decision.choice}")
        typer.echo(f"    because {decision.reason}")
        typer.echo(f"    against {decision.line}")
        for runner_up in decision.runners_up:
            typer.echo(f"    not {runner_up.name}: {runner_up.why_not}")


def _explain_from_logs(subject: str, files: list[Path]) -> None:
    lines = read_lines_about(subject, files)
    if not lines:
        fail(f"{subject!r}: not found in these log files")
    for line in lines:
        details = ", ".join(f"{name} {value}" for name, value in line.fields.items())
        typer.echo(f"{line.at.isoformat()}  {line.source}  {line.event}: {details}")


def status(
    entry: EntryOption = "127.0.0.1:8080",
    metrics: Annotated[
        str, typer.Option(help="Metrics address of a daemon for jobs, instead.")
    ] = "",
) -> None:
    """Show the daemons that an entry knows, and the latency by kind of request."""
    if metrics:
        _show_job_daemon(metrics)
        return
    entry_status = fetch_status(entry)
    typer.echo(f"{entry_status.entry}: lists at version {entry_status.lists_version}")
    for daemon in entry_status.daemons:
        draining = ", draining" if daemon.is_draining else ""
        typer.echo(
            f"  {daemon.role.value:9}{daemon.daemon} in {daemon.data_centre}, "
            f"lists at version {daemon.lists_version}{draining}"
        )
    for kind, line in sorted(entry_status.latency_ms.items()):
        typer.echo(
            f"  {kind}: {line.count} answered, "
            f"p50 {line.p50:.1f} ms, p99 {line.p99:.1f} ms"
        )


def _show_job_daemon(address: str) -> None:
    response = send_request(address, "GET", "/status")
    daemon = msgspec.json.decode(response.body, type=JobDaemonStatus)
    scheduler = ", scheduler" if daemon.is_scheduler else ""
    version = f", config {daemon.config_version}" if daemon.config_version else ""
    typer.echo(f"{daemon.daemon}{scheduler}{version}")
    evacuated = ", ".join(daemon.evacuated) or "none"
    typer.echo(
        f"  evacuated data centres: {evacuated} "
        f"(as of {daemon.operator_rows_age_s:.1f} s ago)"
    )


def fetch_status(entry: str) -> EntryStatus:
    """Return the status of an entry."""
    return msgspec.json.decode(
        send_request(entry, "GET", "/status").body, type=EntryStatus
    )


def _entry_addresses(entry: str) -> list[str]:
    """Return the addresses of all entries known to `entry`, with its own first."""
    known = [str(address) for address in fetch_status(entry).entry_addresses]
    return [entry, *(address for address in known if address != entry)]
