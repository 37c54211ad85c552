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
    """A worker as an owner sees it: a late report, and its own proposals.

    Parameters
    ----------
    kinds : list of Kind
        The kinds of the tasks that run there.
    tasks_in_rack : int
        How many tasks run in the worker's rack.
    """

    worker: AttendantId
    capacity: Resources
    free: Resources
    kinds: list[Kind] = field(default_factory=list)
    tasks_in_rack: int = 0


@dataclass(frozen=True, kw_only=True)
class Placement:
    """A policy's choice and the workers it passed over."""

    worker: AttendantId
    reason: str
    runners_up: list[RunnerUp]


class PlacementPolicy(abc.ABC):
    """A placement policy."""

    @abc.abstractmethod
    def choose(
        self, spec: TaskSpec, candidates: Sequence[WorkerView]
    ) -> Placement | None:
        """Return a worker that has room for `spec`, None if there is none."""

    def record_slowdown(  # noqa: B027  a policy may do without
        self, kind: Kind, beside: Sequence[Kind], slowdown: float
    ) -> None:
        """Learn from a late report how `kind` fared beside other kinds."""


_policy_by_name: dict[str, Callable[[], PlacementPolicy]] = {}


def register_policy(name: str, factory: Callable[[], PlacementPolicy]) -> None:
    """Make a policy known to the settings as `name`."""
    _policy_by_name[name] = factory


def make_policy(name: str) -> PlacementPolicy:
    """Return a new policy of the registered `name`."""
    factory = _policy_by_name.get(name)
    if factory is None:
        raise InputError(
            field="placement",
            value=name,
            expected=f"one of the registered policies {sorted(_policy_by_name)}",
        )
    return factory()
