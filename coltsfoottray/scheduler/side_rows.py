"""Rows that the scheduler stores beside those of jobs, for its successors."""

from __future__ import annotations

import abc
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import ClassVar

import msgspec

from coltsfoottray.agent.pressure import (
    ImagePair,
    Pressure,
    PressureTable,
    select_best,
)
from coltsfoottray.jobs.images import shorten_name
from coltsfoottray.jobs.keys import (
    PRESSURES_KEY,
    attendants_key,
)
from coltsfoottray.platform import MAX_VALUE_BYTES, Put, Row
from coltsfoottray.scheduler.fleet import Fleet
from coltsfoottray.types import Address

__all__ = ["AttendantRows", "PressureRow", "SideRows"]

# Interference between images is measured within seconds and changes little.
_PRESSURES_PERIOD = timedelta(seconds=4)
_MAX_PRESSURES = 400

# All attendants of a fleet can start in the same instant; those that report within
# this time are stored together.
_ATTENDANTS_PERIOD = timedelta(seconds=1)
# An attendant that has been silent for this long has left with its VM, or finds the
# next scheduler by itself.
_ATTENDANT_RETENTION = timedelta(minutes=1)
# Between a data centre's name and the number of a further row.
_PART_MARK = "#"


class SideRows(abc.ABC):
    """Rows that are compared at an interval with what they were last stored as.

    Attributes
    ----------
    is_urgent : bool
        Whether a change causes a write, instead of being stored with the next one.
    """

    is_urgent: ClassVar[bool] = True

    @abc.abstractmethod
    def due_puts(self, now: timedelta) -> list[Put]:
        """Return the writes that are due."""

    @abc.abstractmethod
    def mark_stored(self, version_by_key: Mapping[str, int]) -> None:
        """Record the versions of rows that have been written."""

    @abc.abstractmethod
    def mark_unstored(self, key: str) -> None:
        """Record that a row that was due has not been written, if it is one of these.

        It is due again with the next comparison.
        """


class PressureRow(SideRows):
    """The measured interference between images.

    If it were not stored, fillers such as builds would wait after a power loss until
    every pair of images has been measured again.
    """

    def __init__(self, *, table: PressureTable, now: timedelta) -> None:
        self._table = table
        self._checked_at = now
        self._version = 0
        self._stored: list[Pressure] = []

    def restore(self, row: Row) -> None:
        """Continue from the row that an earlier scheduler wrote."""
        self._version = row.version
        stored = row.try_decode(list[Pressure]) or []
        self._stored = [each for each in stored if each.is_plausible]
        self._table.restore([_with_short_names(each) for each in self._stored])

    def due_puts(self, now: timedelta) -> list[Put]:  # noqa: D102
        if now - self._checked_at < _PRESSURES_PERIOD:
            return []
        self._checked_at = now
        known = self._table.all()
        pressures = select_best(known, MAX_VALUE_BYTES)[:_MAX_PRESSURES]
        if not pressures or pressures == self._stored:
            return []
        self._stored = pressures
        return [Put.of(PRESSURES_KEY, self._version, pressures)]

    def mark_stored(self, version_by_key: Mapping[str, int]) -> None:  # noqa: D102
        self._version = version_by_key.get(PRESSURES_KEY, self._version)

    def mark_unstored(self, key: str) -> None:  # noqa: D102
        if key == PRESSURES_KEY:
            self._stored = []


def _with_short_names(pressure: Pressure) -> Pressure:
    """Return a stored pressure with the names that jobs have their images by."""
    pair = ImagePair(
        filler=shorten_name(pressure.pair.filler),
        service=shorten_name(pressure.pair.service),
    )
    return msgspec.structs.replace(pressure, pair=pair)


class _Attendant(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What is stored of an attendant. Earlier versions store and read an `Address`.

    Parameters
    ----------
    host, port : str, int
        Its address.
    life : str
        The incarnation of its worker that is settled; see `WorkerLeases`.
    """

    host: str
    port: int
    life: str = ""

    def __post_init__(self) -> None:
        Address(host=self.host, port=self.port)


class AttendantRows(SideRows):
    """The addresses of all attendants and the settled incarnations of their workers.

    There is one row per data centre, or more if they do not fit into one. The next
    scheduler announces itself to the attendants. It could not wait for their reports: a
    scheduler that is only cut off from the table goes on answering these.
    """

    def __init__(self, *, fleet: Fleet, now: timedelta) -> None:
        self._fleet = fleet
        self._checked_at = now
        self._restored_at = now
        self._restored_by_key: dict[str, dict[str, _Attendant]] = {}
        self._stored_by_key: dict[str, dict[str, _Attendant]] = {}
        self._version_by_key: dict[str, int] = {}

    def restore(self, rows: Iterable[Row]) -> dict[str, Address]:
        """Continue from the rows of an earlier scheduler.

        Returns
        -------
        dict
            The address of each worker's attendant.
        """
        for row in rows:
            self._version_by_key[row.key] = row.version
            stored = row.try_decode(dict[str, _Attendant])
            if stored is None:
                # Left as it is unless the name is needed for attendants that report.
                continue
            self._stored_by_key[row.key] = stored
        self._restored_by_key = dict(self._stored_by_key)
        return {
            worker: Address(host=each.host, port=each.port)
            for stored in self._restored_by_key.values()
            for worker, each in stored.items()
        }

    def settled_life_by_worker(self) -> dict[str, str]:
        """Return the settled incarnations that were restored, empty for none."""
        return {
            worker: each.life
            for stored in self._restored_by_key.values()
            for worker, each in stored.items()
        }

    def due_puts(self, now: timedelta) -> list[Put]:  # noqa: D102
        if now - self._checked_at < _ATTENDANTS_PERIOD:
            return []
        self._checked_at = now
        current = self._current_by_key(now)
        changed = [
            key
            for key in current.keys() | self._stored_by_key.keys()
            if current.get(key, {}) != self._stored_by_key.get(key, {})
        ]
        for key in changed:
            self._stored_by_key[key] = current.get(key, {})
        return [
            Put.of(key, self._version_by_key.get(key, 0), self._stored_by_key[key])
            for key in sorted(changed)
        ]

    def mark_stored(self, version_by_key: Mapping[str, int]) -> None:  # noqa: D102
        for key, version in version_by_key.items():
            if key in self._stored_by_key:
                self._version_by_key[key] = version

    def mark_unstored(self, key: str) -> None:  # noqa: D102
        self._stored_by_key.pop(key, None)

    def _current_by_key(self, now: timedelta) -> dict[str, dict[str, _Attendant]]:
        """Return the attendants by the key of their row, and then by worker."""
        key_by_worker: dict[str, str] = {}
        attendants: dict[str, _Attendant] = {}
        if now - self._restored_at < _ATTENDANT_RETENTION:
            for key, stored in self._restored_by_key.items():
                attendants.update(stored)
                first_key = key.split(_PART_MARK)[0]
                key_by_worker.update(dict.fromkeys(stored, first_key))
        for worker in self._fleet.worker_by_id.values():
            is_recent = now - worker.last_heard < _ATTENDANT_RETENTION
            if worker.address is not None and worker.data_centre and is_recent:
                attendants[worker.id] = _Attendant(
                    host=worker.address.host,
                    port=worker.address.port,
                    life=worker.leases.settled_life or "",
                )
                key_by_worker[worker.id] = attendants_key(worker.data_centre)
        by_key: dict[str, dict[str, _Attendant]] = {}
        for name in sorted(attendants):
            by_key.setdefault(key_by_worker[name], {})[name] = attendants[name]
        return {
            part_key: part
            for key, whole in by_key.items()
            for part_key, part in _split_row(key, whole).items()
        }


def _split_row(
    key: str, whole: Mapping[str, _Attendant]
) -> dict[str, dict[str, _Attendant]]:
    """Return the rows that hold a data centre's attendants, by key."""
    parts: list[dict[str, _Attendant]] = [{}]
    size_bytes = 0
    for worker, each in whole.items():
        entry_bytes = len(msgspec.json.encode({worker: each}))
        if parts[-1] and size_bytes + entry_bytes > MAX_VALUE_BYTES:
            parts.append({})
            size_bytes = 0
        parts[-1][worker] = each
        size_bytes += entry_bytes
    return {f"{key}{_PART_MARK}{n}" if n else key: part for n, part in enumerate(parts)}
