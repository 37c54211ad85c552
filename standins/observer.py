"""Record of what upstreams and workers executed, to detect lost and doubled work."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

__all__ = ["Observer"]


@dataclass(kw_only=True)
class Observer:
    """Counts executions by id, as seen by the stand-ins that execute them.

    Parameters
    ----------
    done_s_at_starts_by_task : dict
        Progress in seconds from which each attempt of a task started.
    doubled : set of str
        Ids of the requests and tasks that ran more often than they may.
    overcommitted : int
        Number of starts that overcommitted their worker.
    """

    runs_by_request: Counter[str] = field(default_factory=Counter)
    runs_by_instance: Counter[str] = field(default_factory=Counter)
    running_by_request: Counter[str] = field(default_factory=Counter)
    running_by_task: Counter[str] = field(default_factory=Counter)
    finishes_by_task: Counter[str] = field(default_factory=Counter)
    lost_results_by_task: Counter[str] = field(default_factory=Counter)
    starts_by_attempt: Counter[str] = field(default_factory=Counter)
    done_s_at_starts_by_task: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    doubled: set[str] = field(default_factory=set)
    overcommitted: int = 0

    def begin_request(self, request: str, *, is_idempotent: bool) -> None:
        """Record that an upstream starts to run `request`.

        An idempotent request may run again later, but never twice at the same time.
        """
        self.runs_by_request[request] += 1
        self.running_by_request[request] += 1
        is_repeated = self.runs_by_request[request] > 1 and not is_idempotent
        if is_repeated or self.running_by_request[request] > 1:
            self.doubled.add(request)

    def end_request(self, request: str) -> None:
        """Record that a run of `request` has ended."""
        self.running_by_request[request] -= 1

    def begin_task(self, task: str, attempt: int, *, is_resumed: bool) -> None:
        """Record that a worker starts or resumes `task`."""
        self.running_by_task[task] += 1
        self.starts_by_attempt[f"{task}#{attempt}"] += not is_resumed
        is_repeated = self.starts_by_attempt[f"{task}#{attempt}"] > 1
        if self.running_by_task[task] > 1 or is_repeated:
            self.doubled.add(task)

    def end_task(self, task: str) -> None:
        """Record that a worker no longer runs `task`."""
        self.running_by_task[task] -= 1

    def record_start(self, task: str, done_s: float) -> None:
        """Record the progress, in seconds, from which an attempt starts."""
        self.done_s_at_starts_by_task[task].append(done_s)

    def finish_task(self, task: str) -> None:
        """Record that `task` has succeeded."""
        self.finishes_by_task[task] += 1
        if self.finishes_by_task[task] - self.lost_results_by_task[task] > 1:
            self.doubled.add(task)

    def lose_result(self, task: str) -> None:
        """Record that a success of `task` was lost, perhaps before it was reported.

        Such a task has to run again, so a second success is not counted as doubled.
        """
        self.lost_results_by_task[task] += 1

    def record_allocation(self, *, is_overcommitted: bool) -> None:
        """Record whether a start has overcommitted its worker."""
        self.overcommitted += is_overcommitted
