"""Runs on the in-memory worker of the platform."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["UNLIMITED_S", "JobRun"]

UNLIMITED_S = 1e9
"""Work of a run that lasts until it is stopped."""

# Usage that a running task reports at full speed.
_USED_MILLICORES = 1000
_SERVICE_START_S = 0.3


@dataclass(kw_only=True)
class JobRun:
    """A run on the stand-in of a worker.

    Parameters
    ----------
    percent : int
        Share of its full speed at which it works.
    stops_at_s : float, optional
        When it ends, once it has been told to stop.
    checkpoint_length : int
        Least length of its checkpoints in characters.
    """

    task: str
    number: int
    work_s: float
    fails: bool
    saves_checkpoints: bool
    latency_ms: float
    share: float = 1.0
    done_s: float = 0.0
    percent: int = 100
    stops_at_s: float | None = None
    checkpoint_length: int = 0

    @property
    def figure(self) -> float:
        """Tail latency in ms of a service's run, or millicores in use of any other."""
        return self.latency_ms or _USED_MILLICORES * self.percent / 100

    @property
    def checkpoint(self) -> str:
        """The checkpoint that a later run can resume from, empty for none."""
        has_one = self.saves_checkpoints and self.done_s >= 1
        return str(int(self.done_s)).zfill(self.checkpoint_length) if has_one else ""

    @property
    def progress_percent(self) -> float:
        """Its progress; a service shows 100 once it is at work."""
        if self.work_s >= UNLIMITED_S:
            return 100.0 if self.done_s > _SERVICE_START_S else 0.0
        if self.done_s >= self.work_s:
            return 100.0
        return 100.0 * self.done_s / self.work_s
