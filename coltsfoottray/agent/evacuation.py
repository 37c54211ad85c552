"""The decision whether the evacuation of data centres permits a start.

The load pattern is an operator who evacuates a data centre while starts are on the way
to its workers: sent before the request, retried, or sent by a scheduler that has not
read the request yet. The attendant is the last to decide.
"""

from __future__ import annotations

import enum
from datetime import timedelta

from coltsfoottray.clock import as_duration
from coltsfoottray.jobs.evacuations import EvacuationNotice
from coltsfoottray.logs import log_event
from coltsfoottray.metrics import Metrics

__all__ = ["EvacuationGuard", "StartPermission"]

# The rest of the time in which an evacuation takes effect is left to the start itself.
_MAX_AGE_SHARE = 0.75


class StartPermission(enum.Enum):
    """Whether a run may be started now."""

    GIVEN = "given"
    EVACUATED = "evacuated"
    OUTDATED = "outdated"
    """An evacuation may be in force that is not known here yet."""


class EvacuationGuard:
    """Judges starts by the last notice of evacuations.

    Parameters
    ----------
    data_centre : str
        The data centre of the worker.
    in_force_within : timedelta
        Time after the operator's request from which nothing may be started.
    """

    def __init__(
        self, *, data_centre: str, in_force_within: timedelta, metrics: Metrics
    ) -> None:
        self._data_centre = data_centre
        self._max_age = in_force_within * _MAX_AGE_SHARE
        self._metrics = metrics
        self._as_of: timedelta | None = None
        self.data_centres: frozenset[str] = frozenset()

    def apply(self, notice: EvacuationNotice | None, *, sent_at: timedelta) -> None:
        """Apply a notice from the reply to a report that was sent at `sent_at`.

        Parameters
        ----------
        notice : EvacuationNotice, optional
            None if the scheduler is of a version that knows no evacuations.
        """
        if notice is None:
            self._as_of = None
            self.data_centres = frozenset()
            return
        as_of = sent_at - as_duration(notice.age_ms)
        if self._as_of is not None and as_of < self._as_of:
            # A new scheduler may have read the operator's rows less recently.
            return
        was_evacuated = self._data_centre in self.data_centres
        self._as_of = as_of
        self.data_centres = frozenset(notice.data_centres)
        is_evacuated = self._data_centre in self.data_centres
        self._metrics.gauge("evacuation_notice_age_seconds", notice.age_ms / 1000)
        if is_evacuated is not was_evacuated:
            log_event(
                "evacuation:in-force" if is_evacuated else "evacuation:ended",
                data_centre=self._data_centre,
                age_s=notice.age_ms / 1000,
            )

    def age_s(self, now: timedelta) -> float:
        """Return the age in seconds of what is known, 0 if nothing is."""
        return 0.0 if self._as_of is None else (now - self._as_of).total_seconds()

    def judge(self, now: timedelta) -> StartPermission:
        """Return whether a run may be started on the worker at `now`."""
        if self._data_centre in self.data_centres:
            return StartPermission.EVACUATED
        # A scheduler of an earlier version sends no notices.
        if self._as_of is not None and now - self._as_of > self._max_age:
            return StartPermission.OUTDATED
        return StartPermission.GIVEN
