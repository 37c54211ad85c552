"""Plans of faults, drawn from a seed."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

__all__ = ["Fault", "FaultKind", "make_plan"]

# Time in which the processes start, without faults.
_QUIET_S = 2.0
_SERIES_PER_S = 0.6
_MAX_SERIES_LENGTH = 4
_MAX_COUNT = 5


class FaultKind(StrEnum):
    """Kinds of fault."""

    PROGRAM_KILL = "program-kill"
    PROGRAM_PAUSE = "program-pause"
    PROGRAM_TERMINATE = "program-terminate"
    PROGRAM_GONE = "program-gone"
    WORKER_CRASH = "worker-crash"
    WORKER_REFUSE = "worker-refuse"
    WORKER_LATE = "worker-late"
    WORKER_UNANSWERED = "worker-unanswered"
    WORKER_SILENT = "worker-silent"
    WORKER_GONE = "worker-gone"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOST_ANSWERS = "store-lost-answers"
    STORE_LATE_WRITES = "store-late-writes"
    STORE_DROPPED_HISTORY = "store-dropped-history"
    CONFIG_EDIT = "config-edit"
    CONNECTIONS_SILENT = "connections-silent"
    STORE_REFUSED_ROWS = "store-refused-rows"
    STORE_FOREIGN_ROW = "store-foreign-row"
    WORKER_FOREIGN_REPORT = "worker-foreign-report"
    PROGRAM_CROWD = "program-crowd"
    PROGRAM_PARTED = "program-parted"

    @property
    def is_permanent(self) -> bool:
        """Whether it never heals."""
        return self in (FaultKind.PROGRAM_GONE, FaultKind.WORKER_GONE)

    @property
    def group(self) -> str:
        """What it affects: program, worker, store, config or connections."""
        return self.value.split("-")[0]


# How often each kind is drawn, in the order of `FaultKind`.
_WEIGHTS = (4, 4, 3, 1, 2, 1, 2, 2, 2, 1, 2, 1, 2, 2, 1, 1, 4, 3, 3, 3, 4, 6)


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of one target.

    Parameters
    ----------
    at_s : float
        When it begins, in seconds after the start of the soak.
    duration_s : float
        How long it lasts, or how long a process stays down before its restart.
    count : int
        How many orders or answers it affects.
    """

    kind: FaultKind
    target: str
    at_s: float
    duration_s: float
    count: int

    def __str__(self) -> str:
        return (
            f"{self.at_s:6.2f} s  {self.kind.value} {self.target} "
            f"for {self.duration_s:.2f} s, count {self.count}"
        )


def make_plan(
    seed: int, *, seconds: float, entries: Sequence[str], workers: Sequence[str]
) -> list[Fault]:
    """Return the faults of a soak, by time.

    One entry, and one worker with its attendant of the same name, never go for good.
    """
    random = Random(seed)
    sound = {random.choice(entries), random.choice(workers)}
    faults: list[Fault] = []
    for _ in range(max(1, round(seconds * _SERIES_PER_S))):
        kind = random.choices(list(FaultKind), weights=_WEIGHTS)[0]
        target = _draw_target(random, kind, entries, workers)
        if kind.is_permanent and target in sound:
            continue
        faults += _draw_series(random, kind, target, seconds)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_target(
    random: Random, kind: FaultKind, entries: Sequence[str], workers: Sequence[str]
) -> str:
    if kind.group in ("program", "connections"):
        return random.choice([*entries, *workers])
    return random.choice(workers) if kind.group == "worker" else kind.group


def _draw_series(
    random: Random, kind: FaultKind, target: str, seconds: float
) -> list[Fault]:
    """Return one fault, or the same one several times with short gaps."""
    at_s = random.uniform(min(_QUIET_S, seconds / 2), seconds)
    is_single = kind.is_permanent or random.random() < 0.5
    length = 1 if is_single else random.randint(2, _MAX_SERIES_LENGTH)
    series: list[Fault] = []
    for _ in range(length):
        duration_s = _draw_duration_s(random, kind)
        count = random.randint(1, _MAX_COUNT)
        series.append(
            Fault(
                kind=kind, target=target, at_s=at_s, duration_s=duration_s, count=count
            )
        )
        at_s += random.uniform(0.2, 3.0)
    return [fault for fault in series if fault.at_s < seconds]


def _draw_duration_s(random: Random, kind: FaultKind) -> float:
    if kind in (FaultKind.PROGRAM_KILL, FaultKind.PROGRAM_TERMINATE):
        return random.choice([0.0, 0.0, random.uniform(0.0, 3.0)])
    return random.uniform(0.5, 5.0)
