"""The `run` command, in its own module so that it imports little and starts fast."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Annotated

import trio
import typer
from returns.result import Failure

from coltsfoottray.daemons.job_attendant import JobAttendantDaemon
from coltsfoottray.daemons.job_common import JobDaemon
from coltsfoottray.daemons.job_entry import JobEntryDaemon
from coltsfoottray.logs import log_event, start_logging
from coltsfoottray.settings import (
    JobAttendantSettings,
    JobDaemonSettings,
    JobEntrySettings,
    load_settings,
)

__all__ = ["run"]


def run(
    settings: Annotated[Path, typer.Argument(help="A settings file in YAML.")],
) -> None:
    """Run the entry or attendant for jobs that the settings describe."""
    loaded = _load(settings)
    start_logging(loaded.log, default=sys.stdout)
    trio.run(_run, loaded, settings)


def _load(path: Path) -> JobDaemonSettings:
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        typer.echo("\n".join(str(error) for error in loaded.failure()), err=True)
        raise typer.Exit(2)
    settings = loaded.unwrap()
    if not isinstance(settings, JobDaemonSettings):
        typer.echo(
            f"{path}: role: got {settings.role!r}, "
            "expected 'job-entry' or 'job-attendant'",
            err=True,
        )
        raise typer.Exit(2)
    return settings


def _make_daemon(settings: JobDaemonSettings) -> JobDaemon:
    if isinstance(settings, JobEntrySettings):
        return JobEntryDaemon(settings=settings)
    assert isinstance(settings, JobAttendantSettings)
    return JobAttendantDaemon(settings=settings)


async def _run(settings: JobDaemonSettings, path: Path) -> None:
    daemon = _make_daemon(settings)
    async with trio.open_nursery() as nursery:
        await nursery.start(_watch_signals, daemon, path)
        await daemon.run()
        nursery.cancel_scope.cancel()


async def _watch_signals(
    daemon: JobDaemon,
    path: Path,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Shut down on SIGTERM or SIGINT, and check the settings again on SIGHUP."""
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled) as signals:
        task_status.started()
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                _check_settings(path)
                continue
            await daemon.shut_down()
            return


def _check_settings(path: Path) -> None:
    """Check the changed settings file and log the result.

    The daemon keeps its settings; changed addresses need a restart.
    """
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        errors = [str(error) for error in loaded.failure()]
        log_event("settings:invalid", file=str(path), errors=errors)
    else:
        log_event("settings:read-again", file=str(path))


if __name__ == "__main__":
    typer.run(run)
