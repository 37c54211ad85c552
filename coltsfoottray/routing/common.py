"""The base class of routing policies and the registry of their names."""

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
    """An instance that may take a request, as its entry sees it.

    Parameters
    ----------
    in_flight : int
        The entry's own requests there, and the others' by the last report.
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
    """A policy's choice and the candidates it passed over."""

    candidate: Candidate
    reason: str
    runners_up: list[RunnerUp]


class Router(abc.ABC):
    """A routing policy.

    Parameters
    ----------
    data_centre : DataCentre
        Where the entry is.
    random : Random
        The source of chance, seeded by tests.
    """

    def __init__(self, *, data_centre: DataCentre, random: Random) -> None:
        self.data_centre = data_centre
        self.random = random

    @abc.abstractmethod
    def choose(self, kind: Kind, candidates: Sequence[Candidate]) -> Choice:
        """Return the choice among `candidates`, of which there is one or more."""


_router_by_name: dict[str, Callable[..., Router]] = {}


def register_router(name: str, factory: Callable[..., Router]) -> None:
    """Make a policy known to the settings as `name`."""
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
