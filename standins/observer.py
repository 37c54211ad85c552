"""What upstreams and workers really saw: the judge of lost and doubled work."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

__all__ = ["Observer"]


@dataclass(kw_only=True)
class Observer:
    """Counts executions by id, as the back ends see them."""

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
        """Note that an upstream starts to run `request`.

        An idempotent one may run again later, but never in two places at once.
        """
        self.runs_by_request[request] += 1
        self.running_by_request[request] += 1
        is_repeated = self.runs_by_request[request] > 1 and not is_idempotent
        if is_repeated or self.running_by_request[request] > 1:
            self.doubled.add(request)

    def end_request(self, request: str) -> None:
        """Note that the run has ended."""
        self.running_by_request[request] -= 1

    def begin_task(self, task: str, attempt: int, *, is_resumed: bool) -> None:
        """Note that a worker runs `task` from now on."""
        self.running_by_task[task] += 1
        self.starts_by_attempt[f"{task}#{attempt}"] += not is_resumed
        is_repeated = self.starts_by_attempt[f"{task}#{attempt}"] > 1
        if self.running_by_task[task] > 1 or is_repeated:
            self.doubled.add(task)

    def end_task(self, task: str) -> None:
        """Note that a worker runs `task` no more."""
        self.running_by_task[task] -= 1

    def record_start(self, task: str, done_s: float) -> None:
        """Note from how far on an attempt starts."""
        self.done_s_at_starts_by_task[task].append(done_s)

    def finish_task(self, task: str) -> None:
        """Note that `task` has come to its good end."""
        self.finishes_by_task[task] += 1
        if self.finishes_by_task[task] - self.lost_results_by_task[task] > 1:
            self.doubled.add(task)

    def lose_result(self, task: str) -> None:
        """Note that a VM vanished with an end that nobody may have heard of.

        Such a task rightly runs again, so a second end is no double.
        """
        self.lost_results_by_task[task] += 1

    def record_allocation(self, *, is_overcommitted: bool) -> None:
        """Note what a worker is committed to after a start."""
        self.overcommitted += is_overcommitted
