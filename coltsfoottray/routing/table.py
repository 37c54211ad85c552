"""The instances to which an entry can route, with their estimated load."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from coltsfoottray.membership import LoadReport, Member, Registry
from coltsfoottray.requests.messages import Place
from coltsfoottray.routing.common import Candidate
from coltsfoottray.types import AttendantId, Kind, Role

__all__ = ["RoutingTable"]

# Assumed until an instance reports a service time for the kind.
DEFAULT_SERVICE_S = 0.05


@dataclass(frozen=True, kw_only=True)
class _ReceivedLoad:
    """The newest load report, and how many of the entry's own requests it includes."""

    load: LoadReport
    own_in_flight: int


class RoutingTable:
    """Combines announcements, load reports in replies, and the entry's own requests."""

    def __init__(self, *, registry: Registry) -> None:
        self._registry = registry
        self._own_in_flight_by_place: Counter[Place] = Counter()
        self._received_by_place: dict[Place, _ReceivedLoad] = {}

    def candidates(self, kind: Kind, *, skip: set[Place]) -> dict[Place, Candidate]:
        """Return the instances that accept new requests, by place."""
        found: dict[Place, Candidate] = {}
        for member in self._registry.members(Role.UPSTREAM):
            place = place_of(member)
            if not member.announcement.is_draining and place not in skip:
                candidate = self._make_candidate(place, member, kind)
                if candidate.in_flight < candidate.connections:
                    found[place] = candidate
        self._remove_departed()
        return found

    def begin(self, place: Place) -> None:
        """Count a request sent to `place`."""
        self._own_in_flight_by_place[place] += 1

    def end(self, place: Place, load: LoadReport | None) -> None:
        """Count a request as ended, and store the load report of its reply."""
        self._own_in_flight_by_place[place] -= 1
        if load is not None:
            own_in_flight = self._own_in_flight_by_place[place]
            self._received_by_place[place] = _ReceivedLoad(
                load=load, own_in_flight=own_in_flight
            )

    def _make_candidate(self, place: Place, member: Member, kind: Kind) -> Candidate:
        announced = member.announcement.load
        assert announced is not None
        received = self._received_by_place.get(place)
        load = announced if received is None else received.load
        others_in_flight = max(
            0, load.in_flight - (0 if received is None else received.own_in_flight)
        )
        service_times = load.service_s_by_kind or announced.service_s_by_kind
        return Candidate(
            attendant=place.attendant,
            data_centre=member.announcement.data_centre,
            slots=load.slots,
            connections=load.connections,
            in_flight=others_in_flight + self._own_in_flight_by_place[place],
            service_s=service_times.get(kind, DEFAULT_SERVICE_S),
        )

    def _remove_departed(self) -> None:
        present = {place_of(m) for m in self._registry.members(Role.UPSTREAM)}
        for place in set(self._received_by_place) - present:
            del self._received_by_place[place]


def place_of(member: Member) -> Place:
    """Return the place of `member` in its current incarnation."""
    announcement = member.announcement
    return Place(
        attendant=AttendantId(announcement.daemon),
        incarnation=announcement.incarnation,
        address=announcement.http,
    )
