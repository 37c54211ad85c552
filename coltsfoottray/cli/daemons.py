"""Commands that run daemons or check their settings."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import trio
import typer
from returns.result import Failure

from coltsfoottray.cli.common import fail, start_logging_or_fail
from coltsfoottray.daemons import EntryDaemon, UpstreamDaemon, WorkerDaemon
from coltsfoottray.daemons.common import Daemon
from coltsfoottray.settings import (
    EntrySettings,
    JobDaemonSettings,
    UpstreamSettings,
    WorkerSettings,
    load_settings,
)

__all__ = ["check", "run_attendant", "run_entry"]

SettingsArgument = Annotated[Path, typer.Argument(help="A settings file in YAML.")]
LevelOption = Annotated[
    str | None, typer.Option("--log-level", help="One of debug, info and decisions.")
]
FileOption = Annotated[
    str | None, typer.Option("--log-file", help="Log to this file instead of stderr.")
]


def run_entry(
    settings: SettingsArgument,
    log_level: LevelOption = None,
    log_file: FileOption = None,
) -> None:
    """Run an entry daemon."""
    loaded = _load(settings)
    if not isinstance(loaded, EntrySettings):
        fail(f"{settings}: role: got {loaded.role!r}, expected 'entry'", code=2)
    start_logging_or_fail(loaded.log, level=log_level, file=log_file)
    trio.run(_run, lambda: EntryDaemon(settings=loaded))


def run_attendant(
    settings: SettingsArgument,
    log_level: LevelOption = None,
    log_file: FileOption = None,
) -> None:
    """Run the attendant daemon beside an upstream or a worker."""
    loaded = _load(settings)
    if isinstance(loaded, EntrySettings):
        fail(f"{settings}: role: got 'entry', expected 'upstream' or 'worker'", code=2)
    start_logging_or_fail(loaded.log, level=log_level, file=log_file)
    trio.run(_run, lambda: _make_attendant(loaded))


def check(settings: SettingsArgument) -> None:
    """Check a settings file without starting anything."""
    result = load_settings(settings)
    if isinstance(result, Failure):
        fail("\n".join(str(error) for error in result.failure()), code=2)
    loaded = result.unwrap()
    typer.echo(f"{settings}: valid settings of {loaded.role} {loaded.name!r}")


def _load(path: Path) -> EntrySettings | UpstreamSettings | WorkerSettings:
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        fail("\n".join(str(error) for error in loaded.failure()), code=2)
    settings = loaded.unwrap()
    if isinstance(settings, JobDaemonSettings):
        fail(f"{path}: role: use `coltsfoottray run` for {settings.role!r}", code=2)
    return settings


def _make_attendant(settings: UpstreamSettings | WorkerSettings) -> Daemon:
    if isinstance(settings, UpstreamSettings):
        return UpstreamDaemon(settings=settings)
    return WorkerDaemon(settings=settings)


async def _run(make: Callable[[], Daemon]) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully.

    The daemon is created here because its components need the clock of the running
    trio loop.
    """
    daemon = make()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_shut_down_on_signal, daemon)
        await daemon.run()
        nursery.cancel_scope.cancel()


async def _shut_down_on_signal(daemon: Daemon) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await daemon.shut_down()
            return
