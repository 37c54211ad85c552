"""One job in a forked process, with its output in a file."""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import time
import traceback
from datetime import timedelta
from typing import NoReturn

from tests.runner.jobs import Job, Result, Verdict

__all__ = ["Child"]

_MAX_VERDICT_BYTES = 64
# Between the request to end and the kill.
_GRACE = timedelta(seconds=5)


class Child:
    """A forked process that runs one job.

    It leads a process group, so that what it started ends with it.
    """

    def __init__(self, job: Job) -> None:
        self._job = job
        self._output = tempfile.TemporaryFile()  # noqa: SIM115
        self._verdict_pipe, verdict_end = os.pipe()
        os.set_blocking(self._verdict_pipe, False)
        self._started_at = time.monotonic()
        self._status = 0
        self._processor_time = timedelta()
        # Else the child would print what the parent has buffered.
        sys.stdout.flush()
        sys.stderr.flush()
        self._pid = os.fork()
        if self._pid == 0:
            self._run(verdict_end)
        self._make_group()
        os.close(verdict_end)

    @property
    def job(self) -> Job:
        """Return the job."""
        return self._job

    def poll(self) -> Result | None:
        """Return the result if the job has ended or has reached its time limit."""
        if self._wait(os.WNOHANG):
            return self._finish(self._read_verdict(), _describe(self._status))
        if self._measure_duration() < self._job.time_limit:
            return None
        self._end()
        limit_s = self._job.time_limit.total_seconds()
        return self._finish(Verdict.DIED, f"ended after its time limit of {limit_s} s")

    def kill(self) -> None:
        """End the process and all that it started."""
        self._end()
        self._finish(Verdict.DIED, "ended with the runner")

    def _run(self, verdict_end: int) -> NoReturn:
        signal.signal(signal.SIGTERM, signal.SIG_DFL)
        os.setpgid(0, 0)
        os.dup2(self._output.fileno(), 1)
        os.dup2(self._output.fileno(), 2)
        verdict = Verdict.FAILED
        try:
            verdict = self._job.run()
        except BaseException:
            traceback.print_exc()
        sys.stdout.flush()
        sys.stderr.flush()
        os.write(verdict_end, verdict.value.encode())
        os._exit(0)

    def _make_group(self) -> None:
        # The child does the same; whichever comes first.
        try:
            os.setpgid(self._pid, self._pid)
        except (ProcessLookupError, PermissionError):
            return

    def _end(self) -> None:
        """Ask the process group to end, and kill its leader after a grace period."""
        self._signal_group(signal.SIGTERM)
        deadline = time.monotonic() + _GRACE.total_seconds()
        while time.monotonic() < deadline:
            if self._wait(os.WNOHANG):
                return
            time.sleep(0.05)
        self._signal_group(signal.SIGKILL)
        self._wait(0)

    def _wait(self, options: int) -> bool:
        """Return whether the process has ended; keep its status and processor time."""
        ended, self._status, usage = os.wait4(self._pid, options)
        self._processor_time = timedelta(seconds=usage.ru_utime + usage.ru_stime)
        return ended != 0

    def _finish(self, verdict: Verdict, reason: str) -> Result:
        self._signal_group(signal.SIGKILL)
        os.close(self._verdict_pipe)
        self._output.seek(0)
        output = self._output.read().decode(errors="replace")
        self._output.close()
        return Result(
            job=self._job,
            verdict=verdict,
            duration=self._measure_duration(),
            processor_time=self._processor_time,
            output=output,
            reason=reason if verdict is Verdict.DIED else "",
        )

    def _read_verdict(self) -> Verdict:
        try:
            word = os.read(self._verdict_pipe, _MAX_VERDICT_BYTES).decode()
        except BlockingIOError:
            word = ""
        return Verdict(word) if word else Verdict.DIED

    def _measure_duration(self) -> timedelta:
        return timedelta(seconds=time.monotonic() - self._started_at)

    def _signal_group(self, number: signal.Signals) -> None:
        try:
            os.killpg(self._pid, number)
        except (ProcessLookupError, PermissionError):
            # The group is empty.
            return


def _describe(status: int) -> str:
    if os.WIFSIGNALED(status):
        return f"its process was ended by signal {os.WTERMSIG(status)}"
    return f"its process exited with {os.WEXITSTATUS(status)} without a verdict"
