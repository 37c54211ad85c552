"""The pressures that an attendant needs and does not have yet.

Load pattern: some 30 images of fillers beside 16 of services make 480 pairs, and each
of hundreds of attendants reports once a second. A reply therefore contains only pairs
with services on the worker, and of these only what has changed noticeably.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from coltsfoottray.agent.pressure import ImagePair, Pressure, PressureTable

__all__ = ["PressureFeed", "PressureUpdate"]

# Far more changes than one scheduler sees, so that every revision of a later epoch
# exceeds all those of an earlier one.
_REVISIONS_PER_EPOCH = 1 << 32
# Pressures that an earlier scheduler stored are known to the attendants that it had.
_RESTORED_REVISION = 1
# Values are 0 to 20, with a spread of 0.7 or more.
_VALUE_DIGITS = 1
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
        self._revision = epoch * _REVISIONS_PER_EPOCH
        self._seen = table.revision
        self._pressure_by_pair: dict[ImagePair, Pressure] = {}
        self._revision_by_pair: dict[ImagePair, int] = {}
        self._pairs_by_service: dict[str, list[ImagePair]] = {}

    def restore(self) -> None:
        """Take what the table has for known to the attendants of earlier epochs."""
        self._apply(self._table.all(), _RESTORED_REVISION)

    def changes_for(
        self, services: Iterable[str], known: Mapping[str, int]
    ) -> PressureUpdate:
        """Return what an attendant lacks.

        Parameters
        ----------
        services : iterable of str
            Images of the services on its worker.
        known : mapping
            For each image of a service, the latest revision that it has received.
        """
        if self._seen != self._table.revision:
            self._revision += 1
            self._apply(self._table.all(), self._revision)
        pressures: list[Pressure] = []
        revision_by_service: dict[str, int] = {}
        for service in services:
            since = known.get(service, 0)
            for pair in self._pairs_by_service.get(service, []):
                revision = self._revision_by_pair[pair]
                if revision > since:
                    pressures.append(self._pressure_by_pair[pair])
                    latest = revision_by_service.get(service, 0)
                    revision_by_service[service] = max(latest, revision)
        return PressureUpdate(
            pressures=pressures, revision_by_service=revision_by_service
        )

    def _apply(self, pressures: Iterable[Pressure], revision: int) -> None:
        self._seen = self._table.revision
        for each in pressures:
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
            self._pressure_by_pair[each.pair] = rounded
            self._revision_by_pair[each.pair] = revision
