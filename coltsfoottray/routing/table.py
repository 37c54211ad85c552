"""The instances an entry may route to, with its own count of load."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from coltsfoottray.membership import LoadReport, Member, Registry
from coltsfoottray.requests.messages import Place
from coltsfoottray.routing.common import Candidate
from coltsfoottray.types import AttendantId, Kind, Role

__all__ = ["RoutingTable"]

# Assumed until an instance has reported a kind's service time.
DEFAULT_SERVICE_S = 0.05


@dataclass(frozen=True, kw_only=True)
class _Seen:
    """The newest load report and the entry's own share in it."""

    load: LoadReport
    own: int


class RoutingTable:
    """Joins announcements, reports on answers, and the entry's own requests."""

    def __init__(self, *, registry: Registry) -> None:
        self._registry = registry
        self._own_by_place: Counter[Place] = Counter()
        self._seen_by_place: dict[Place, _Seen] = {}

    def candidates(self, kind: Kind, *, skip: set[Place]) -> dict[Place, Candidate]:
        """Return the instances that take new work, by place."""
        found: dict[Place, Candidate] = {}
        for member in self._registry.members(Role.UPSTREAM):
            place = place_of(member)
            if not member.announcement.is_draining and place not in skip:
                candidate = self._as_candidate(place, member, kind)
                if candidate.in_flight < candidate.connections:
                    found[place] = candidate
        self._forget_gone()
        return found

    def begin(self, place: Place) -> None:
        """Count a request sent to `place`."""
        self._own_by_place[place] += 1

    def end(self, place: Place, load: LoadReport | None) -> None:
        """Count a request as over and take the report that came with it."""
        self._own_by_place[place] -= 1
        if load is not None:
            own = self._own_by_place[place]
            self._seen_by_place[place] = _Seen(load=load, own=own)

    def _as_candidate(self, place: Place, member: Member, kind: Kind) -> Candidate:
        announced = member.announcement.load
        assert announced is not None
        seen = self._seen_by_place.get(place)
        load = announced if seen is None else seen.load
        others = max(0, load.in_flight - (0 if seen is None else seen.own))
        service = load.service_s_by_kind or announced.service_s_by_kind
        return Candidate(
            attendant=place.attendant,
            data_centre=member.announcement.data_centre,
            slots=load.slots,
            connections=load.connections,
            in_flight=others + self._own_by_place[place],
            service_s=service.get(kind, DEFAULT_SERVICE_S),
        )

    def _forget_gone(self) -> None:
        present = {place_of(m) for m in self._registry.members(Role.UPSTREAM)}
        for place in set(self._seen_by_place) - present:
            del self._seen_by_place[place]


def place_of(member: Member) -> Place:
    """Return where `member` can be reached, in its present life."""
    announcement = member.announcement
    return Place(
        attendant=AttendantId(announcement.daemon),
        incarnation=announcement.incarnation,
        address=announcement.http,
    )
