"""The pressures that an attendant needs and does not have yet.

Load pattern: some 30 images of fillers beside 16 of services make 480 pairs, and each
of hundreds of attendants reports once a second. A reply therefore contains only pairs
with services on the worker, and of these only what has changed noticeably.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from operator import itemgetter

import msgspec

from coltsfoottray.agent.pressure import ImagePair, Pressure, PressureTable

__all__ = ["PressureFeed", "PressureUpdate"]

# Far more changes than one scheduler sees, so that every revision of a later epoch
# exceeds all those of an earlier one.
_REVISIONS_PER_EPOCH = 1 << 32
# A reply has 0.8 s to arrive, and the replies to many attendants share one link. The
# rest follows with the next reply.
_MAX_UPDATE_BYTES = 48_000
# Values are 0 to 20, with a spread of 0.7 or more.
_VALUE_DIGITS = 1
# Two numbers and the punctuation of one pressure.
_ENTRY_BYTES = 20
_WEIGHT_DIGITS = 1


class PressureUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """Changed pressures, and the latest revision by the image of the service."""

    pressures: list[Pressure]
    revision_by_service: dict[str, int]


class PressureFeed:
    """Numbers the noticeable changes of the pressures.

    Parameters
    ----------
    epoch : int
        Epoch of the lease row.
    """

    def __init__(self, *, table: PressureTable, epoch: int) -> None:
        self._table = table
        # Pressures that an earlier scheduler stored are known to the attendants that it
        # had: their revisions are below those of any epoch.
        self._revision = 0
        self._first_revision = epoch * _REVISIONS_PER_EPOCH
        self._seen = table.revision
        self._pressure_by_pair: dict[ImagePair, Pressure] = {}
        self._revision_by_pair: dict[ImagePair, int] = {}
        self._pairs_by_service: dict[str, list[ImagePair]] = {}

    def restore(self) -> None:
        """Take what the table has for known to the attendants of earlier epochs."""
        self._apply(self._table.all())

    def changes_for(
        self, services: Iterable[str], known: Mapping[str, int]
    ) -> PressureUpdate:
        """Return what an attendant lacks, the oldest changes first.

        If that is too much for one reply, the next one contains the rest.

        Parameters
        ----------
        services : iterable of str
            Images of the services on its worker.
        known : mapping
            For each image of a service, the latest revision that it has received.
        """
        if self._seen != self._table.revision:
            self._revision = max(self._revision, self._first_revision)
            self._apply(self._table.all())
        lacking = [
            (self._revision_by_pair[pair], pair)
            for service in services
            for pair in self._pairs_by_service.get(service, [])
            if self._revision_by_pair[pair] > known.get(service, 0)
        ]
        lacking.sort(key=itemgetter(0))
        pressures: list[Pressure] = []
        revision_by_service: dict[str, int] = {}
        size_bytes = 0
        for revision, pair in lacking:
            size_bytes += _ENTRY_BYTES + len(pair.filler) + len(pair.service)
            if size_bytes > _MAX_UPDATE_BYTES:
                break
            pressures.append(self._pressure_by_pair[pair])
            revision_by_service[pair.service] = revision
        return PressureUpdate(
            pressures=pressures, revision_by_service=revision_by_service
        )

    def _apply(self, pressures: Iterable[Pressure]) -> None:
        self._seen = self._table.revision
        current = list(pressures)
        self._forget_missing(current)
        for each in current:
            rounded = Pressure(
                pair=each.pair,
                value=round(each.value, _VALUE_DIGITS),
                weight=round(each.weight, _WEIGHT_DIGITS) or each.weight,
            )
            if self._pressure_by_pair.get(each.pair) == rounded:
                continue
            if each.pair not in self._pressure_by_pair:
                service = each.pair.service
                self._pairs_by_service.setdefault(service, []).append(each.pair)
            self._revision += 1
            self._pressure_by_pair[each.pair] = rounded
            self._revision_by_pair[each.pair] = self._revision

    def _forget_missing(self, current: Iterable[Pressure]) -> None:
        """Forget the pairs that no worker knows any more.

        Each release of an image has a new name, so that pairs come and go for ever.
        """
        present = {each.pair for each in current}
        for pair in [pair for pair in self._revision_by_pair if pair not in present]:
            del self._revision_by_pair[pair]
            del self._pressure_by_pair[pair]
            self._pairs_by_service[pair.service].remove(pair)
            if not self._pairs_by_service[pair.service]:
                del self._pairs_by_service[pair.service]
