"""Observer that checks the runs on all workers of a deployment."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["RunObserver"]


@dataclass(kw_only=True)
class _Event:
    """The start of a run, or its failure."""

    run: int
    has_failed: bool = False
    is_acknowledged: bool = False


@dataclass(kw_only=True)
class RunObserver:
    """Records the runs on all workers, and violations of the rules for runs.

    Parameters
    ----------
    violations : list of str
        Descriptions of two runs of a task at the same time, of starts after a task has
        succeeded, and of starts after its last failure allowed.
    done : set of str
        Tasks that have succeeded, without those whose end was unacknowledged when
        their worker's incarnation or lease ended. It is not checked whether another
        process has learned of such an end.
    ever_done : set of str
        All tasks that have ever succeeded.
    max_attempts : int
        How often a task may fail; 0 for no limit.
    failed_runs_by_task : dict
        Runs that have failed, by task.
    """

    max_attempts: int = 0

    running_by_task: Counter[str] = field(default_factory=Counter)
    done: set[str] = field(default_factory=set)
    ever_done: set[str] = field(default_factory=set)
    starts: list[tuple[str, int, str]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    failed_runs_by_task: dict[str, list[int]] = field(default_factory=dict)
    _history_by_task: dict[str, list[_Event]] = field(default_factory=dict)

    def begin(
        self, task: str, run: int, worker: str, *, has_limit: bool = False
    ) -> None:
        """Record the start of `run` of `task` on `worker`.

        Parameters
        ----------
        has_limit : bool
            Whether a start after `max_attempts` failures is a violation.
        """
        self.starts.append((task, run, worker))
        if has_limit:
            self._history_by_task.setdefault(task, []).append(_Event(run=run))
            self._check_attempts(task)
        self.running_by_task[task] += 1
        if self.running_by_task[task] > 1:
            self.violations.append(f"{task} runs twice at once, last on {worker}")
        if task in self.done:
            self.violations.append(f"{task} started on {worker} after it had succeeded")

    def end(self, task: str) -> None:
        """Record the end of a run of `task`, for whatever reason."""
        self.running_by_task[task] -= 1

    def fail(self, task: str, run: int) -> None:
        """Record that a run of `task` has failed."""
        self.failed_runs_by_task.setdefault(task, []).append(run)
        event = _Event(run=run, has_failed=True)
        self._history_by_task.setdefault(task, []).append(event)

    def acknowledge(self, task: str, run: int) -> None:
        """Record that the failure of a run has been acknowledged.

        It counts from the moment at which the run failed, also for starts between the
        two.
        """
        for event in self._history_by_task.get(task, []):
            if event.has_failed and event.run == run:
                event.is_acknowledged = True
        self._check_attempts(task)

    def _check_attempts(self, task: str) -> None:
        """Record a violation if a start followed the last failure allowed."""
        failures = 0
        for event in self._history_by_task[task]:
            failures += event.is_acknowledged
            if event.has_failed or not 0 < self.max_attempts <= failures:
                continue
            text = f"{task}#{event.run} started after {failures} failures"
            if text not in self.violations:
                self.violations.append(text)
