"""Data centres that the operator evacuates: nothing new may be started there."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import timedelta

import msgspec

from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics

__all__ = ["EvacuationNotice", "Evacuations"]

_MS_PER_S = 1000


class EvacuationNotice(msgspec.Struct, frozen=True, kw_only=True):
    """The evacuated data centres, as known to the sender.

    Parameters
    ----------
    data_centres : list of str
        The evacuated data centres, sorted.
    age_ms : int
        An evacuation that was confirmed longer ago than this is in the list.
    """

    data_centres: list[str] = []
    age_ms: int


class Evacuations:
    """Holds the evacuations in force according to the copy of the operator's rows.

    Parameters
    ----------
    known_data_centres : collection of str
        The data centres of the deployment, empty if they are not known.
    age : callable
        Returns an upper bound on the age of the copy.
    """

    def __init__(
        self,
        *,
        known_data_centres: Collection[str],
        age: Callable[[], timedelta],
        metrics: Metrics,
    ) -> None:
        self._known_data_centres = known_data_centres
        self._age = age
        self._metrics = metrics
        self.data_centres: frozenset[str] = frozenset()

    def set_evacuated(self, data_centre: str, *, is_evacuated: bool) -> None:
        """Record that a data centre is evacuated, or that it is in use again."""
        if is_evacuated == (data_centre in self.data_centres):
            return
        if is_evacuated:
            self.data_centres |= {data_centre}
        else:
            self.data_centres -= {data_centre}
        self._metrics.gauge("data_centres_evacuated", len(self.data_centres))
        age_s = round(self._age().total_seconds(), 3)
        event = "evacuation:in-force" if is_evacuated else "evacuation:ended"
        log_event(event, data_centre=data_centre, age_s=age_s)
        if self._known_data_centres and data_centre not in self._known_data_centres:
            log_event(
                "evacuation:unknown-data-centre",
                data_centre=data_centre,
                known=sorted(self._known_data_centres),
            )

    def notice(self) -> EvacuationNotice:
        """Return what is known, for an attendant."""
        return EvacuationNotice(
            data_centres=sorted(self.data_centres),
            age_ms=int(self._age().total_seconds() * _MS_PER_S) + 1,
        )
