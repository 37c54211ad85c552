"""The base class of placement policies and the registry of their names."""

from __future__ import annotations

import abc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from coltsfoottray.errors import InputError
from coltsfoottray.explain import RunnerUp
from coltsfoottray.tasks.rows import TaskSpec
from coltsfoottray.types import AttendantId, Kind, Resources

__all__ = [
    "Placement",
    "PlacementPolicy",
    "WorkerView",
    "make_policy",
    "register_policy",
]


@dataclass(frozen=True, kw_only=True)
class WorkerView:
    """A worker as an owner knows it from a delayed report and its own proposals.

    Parameters
    ----------
    kinds : list of Kind
        The kinds of the tasks that run on the worker.
    tasks_in_rack : int
        The number of tasks that run in the worker's rack.
    """

    worker: AttendantId
    capacity: Resources
    free: Resources
    kinds: list[Kind] = field(default_factory=list)
    tasks_in_rack: int = 0


@dataclass(frozen=True, kw_only=True)
class Placement:
    """The worker that a policy chose, and the runners-up."""

    worker: AttendantId
    reason: str
    runners_up: list[RunnerUp]


class PlacementPolicy(abc.ABC):
    """Base class of placement policies."""

    @abc.abstractmethod
    def choose(
        self, spec: TaskSpec, candidates: Sequence[WorkerView]
    ) -> Placement | None:
        """Return a placement of `spec` on a worker with room, None if there is none."""

    def record_slowdown(  # noqa: B027  optional for a policy
        self, kind: Kind, colocated: Sequence[Kind], slowdown: float
    ) -> None:
        """Record how much a task of `kind` is slowed down by colocated kinds.

        Parameters
        ----------
        slowdown : float
            The factor by which the run time grows, from a delayed report; 1
            means no slowdown.
        """


_policy_by_name: dict[str, Callable[[], PlacementPolicy]] = {}


def register_policy(name: str, factory: Callable[[], PlacementPolicy]) -> None:
    """Register a policy under the `name` that the settings use for it."""
    _policy_by_name[name] = factory


def make_policy(name: str) -> PlacementPolicy:
    """Return a new policy registered as `name`."""
    factory = _policy_by_name.get(name)
    if factory is None:
        raise InputError(
            field="placement",
            value=name,
            expected=f"one of the registered policies {sorted(_policy_by_name)}",
        )
    return factory()
