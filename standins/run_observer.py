"""Observer that checks the runs on all workers of a deployment."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["RunObserver"]


@dataclass(kw_only=True)
class RunObserver:
    """Records the runs on all workers, and violations of the rules for runs.

    Parameters
    ----------
    violations : list of str
        Descriptions of two runs of a task at the same time, and of starts after a
        task has succeeded.
    done : set of str
        Tasks that have succeeded, without those whose end was unacknowledged when
        their worker's incarnation or lease ended. It is not checked whether another
        process has learned of such an end.
    ever_done : set of str
        All tasks that have ever succeeded.
    """

    running_by_task: Counter[str] = field(default_factory=Counter)
    done: set[str] = field(default_factory=set)
    ever_done: set[str] = field(default_factory=set)
    starts: list[tuple[str, int, str]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def begin(self, task: str, run: int, worker: str) -> None:
        """Record the start of `run` of `task` on `worker`."""
        self.starts.append((task, run, worker))
        self.running_by_task[task] += 1
        if self.running_by_task[task] > 1:
            self.violations.append(f"{task} runs twice at once, last on {worker}")
        if task in self.done:
            self.violations.append(f"{task} started on {worker} after it had succeeded")

    def end(self, task: str) -> None:
        """Record the end of a run of `task`, for whatever reason."""
        self.running_by_task[task] -= 1
