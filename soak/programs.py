"""Processes of the product, which the soak starts, signals and ends by id."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio

__all__ = ["Program"]

_ROOT = Path(__file__).resolve().parent.parent
_POLL_INTERVAL_S = 0.02
# Longer than a graceful shutdown takes; the users' platform kills a process after it.
_GRACE_S = 10.0
# The smallest machine of an entry in the users' deployments.
_MAX_MEMORY_MB = 160.0
# A signal that arrives before the process handles it ends it with minus its number.
_USUAL_STATUSES = (0, -signal.SIGKILL, -signal.SIGTERM)


@dataclass(kw_only=True)
class Program:
    """One program, of which at most one process runs at a time.

    Parameters
    ----------
    arguments : sequence of str
        Name of a Python module, and its arguments.
    log : Path
        File to which all processes of this program append their output.
    violations : list of str
        Descriptions of processes that ended without a signal, or with an error.
    is_gone : bool
        Whether no process of it is started any more.
    """

    name: str
    arguments: Sequence[str]
    log: Path
    violations: list[str] = field(default_factory=list)
    start_count: int = 0
    is_gone: bool = False

    def __post_init__(self) -> None:
        self._process: subprocess.Popen[bytes] | None = None
        self._is_ending = False

    def start(self) -> None:
        """Start a process unless one is running or the program is gone."""
        if self._is_running():
            return
        self.check()
        if self.is_gone:
            return
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=_ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._is_ending = False
        self.start_count += 1

    def check(self) -> None:
        """Record a violation if the process has ended in an unusual way."""
        if self._process is None or self._is_running():
            return
        status = self._process.returncode
        if not self._is_ending or status not in _USUAL_STATUSES:
            self.violations.append(f"{self.name} ended by itself with status {status}")
        self._process = None

    async def kill(self, down_s: float) -> None:
        """Kill the process and start another one after `down_s`."""
        self._end(signal.SIGKILL)
        await self._wait_until_ended()
        await trio.sleep(down_s)
        self.start()

    async def terminate(self, down_s: float) -> None:
        """Request a graceful shutdown and start another process after `down_s`."""
        self._end(signal.SIGTERM)
        with trio.move_on_after(_GRACE_S):
            await self._wait_until_ended()
        await self.kill(down_s)

    async def pause(self, duration_s: float) -> None:
        """Stop the process from executing for `duration_s`."""
        self._send(signal.SIGSTOP)
        await trio.sleep(duration_s)
        self.resume()

    def check_memory(self) -> None:
        """Record a violation if the process has held more than its machine has."""
        if self._process is None or not self._is_running():
            return
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        memory_mb = int(peak.split()[1]) * 1024 / 1e6
        if memory_mb > _MAX_MEMORY_MB:
            self.violations.append(f"{self.name} has held {memory_mb:.0f} MB")

    def resume(self) -> None:
        """Let a paused process continue."""
        self._send(signal.SIGCONT)

    async def recover(self) -> None:
        """Let the process continue or, if it is ending, start another one."""
        self.resume()
        if self._is_ending:
            await self.terminate(0.0)
        self.start()

    def close(self) -> None:
        """Kill the process if there is one."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def _is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self._is_running():
            self._process.send_signal(number)

    def _end(self, number: signal.Signals) -> None:
        if self._is_running():
            self._is_ending = True
            self._send(number)

    async def _wait_until_ended(self) -> None:
        process = self._process
        while process is not None and process.poll() is None:
            await trio.sleep(_POLL_INTERVAL_S)
