"""Base class of the routing policies, and the registry of their names."""

from __future__ import annotations

import abc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from coltsfoottray.errors import InputError
from coltsfoottray.explain import RunnerUp
from coltsfoottray.types import AttendantId, DataCentre, Kind

__all__ = ["Candidate", "Choice", "Router", "make_router", "register_router"]


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """An instance that can receive a request, as the entry knows it.

    Parameters
    ----------
    in_flight : int
        Number of requests there: the entry's own, and other entries' as last reported.
    service_s : float
        Expected time in a slot for the request's kind, in seconds.
    """

    attendant: AttendantId
    data_centre: DataCentre
    slots: int
    connections: int
    in_flight: int
    service_s: float


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The chosen candidate, and the candidates that were compared with it."""

    candidate: Candidate
    reason: str
    runners_up: list[RunnerUp]


class Router(abc.ABC):
    """A routing policy.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of the entry.
    random : Random
        Random generator; tests pass a seeded one.
    """

    def __init__(self, *, data_centre: DataCentre, random: Random) -> None:
        self.data_centre = data_centre
        self.random = random

    @abc.abstractmethod
    def choose(self, kind: Kind, candidates: Sequence[Candidate]) -> Choice:
        """Return the choice among `candidates`, which must not be empty."""


_router_by_name: dict[str, Callable[..., Router]] = {}


def register_router(name: str, factory: Callable[..., Router]) -> None:
    """Register a policy under the `name` that the settings use."""
    _router_by_name[name] = factory


def make_router(name: str, *, data_centre: DataCentre, random: Random) -> Router:
    """Return a new policy of the registered `name`."""
    factory = _router_by_name.get(name)
    if factory is None:
        raise InputError(
            field="routing",
            value=name,
            expected=f"one of the registered policies {sorted(_router_by_name)}",
        )
    return factory(data_centre=data_centre, random=random)
