"""Margins of a job's services without fillers over time: usual, least and swing."""

from __future__ import annotations

from coltsfoottray.agent.swings import SwingPredictor

__all__ = ["JobMargin"]

# Weight of a poll in the usual margin, which averages out swings of 10 s and more.
_USUAL_SMOOTHING = 0.04

# Share of its distance to the usual margin by which the least margin recovers per poll.
_LEAST_RECOVERY = 0.02


class JobMargin:
    """Follows the margin without fillers of one job's services on a worker.

    Parameters
    ----------
    margin : float
        The first margin.

    Attributes
    ----------
    usual : float
        Average margin.
    least : float
        Margin at load peaks.
    """

    def __init__(self, *, margin: float) -> None:
        self.usual = margin
        self.least = margin
        self._swing: SwingPredictor | None = None

    def update(self, margin: float) -> None:
        """Add a margin to the usual and the least one."""
        recovered = self.least + max(self.usual - self.least, 0.0) * _LEAST_RECOVERY
        self.least = min(margin, recovered)
        self.usual += (margin - self.usual) * _USUAL_SMOOTHING

    def update_swing(self, at_s: float, margin: float, *, by_trend: float) -> None:
        """Add a margin to the swing; see `SwingPredictor.update`."""
        if self._swing is None:
            self._swing = SwingPredictor(margin=margin)
        self._swing.update(at_s, margin, by_trend=by_trend)

    def predict_swing(self, ahead_s: float) -> float | None:
        """Return the margin in `ahead_s` seconds, None if the trend predicts better."""
        return None if self._swing is None else self._swing.predict(ahead_s)
