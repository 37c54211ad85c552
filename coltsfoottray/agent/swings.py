"""Prediction of margins whose load swings with a period of some seconds.

The load pattern is users who come in waves: a service's margin falls within a few
seconds from plenty to nearly nothing and returns, time after time. A trend sees a wave
only once it has begun. Here waves of several periods are fitted to the margins of the
past, and the one that has predicted best is used for as long as it predicts better
than the trend does.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = ["SwingPredictor"]

# Periods that are tried, in seconds: shorter ones are noise between two polls, and a
# longer one is a trend.
_SHORTEST_PERIOD_S = 5.0
_PERIOD_RATIO = 1.1
_PERIODS_S = [_SHORTEST_PERIOD_S * _PERIOD_RATIO**number for number in range(14)]
# Polls before which no wave is used, at two a second.
_MIN_POLLS = 12
# Weight that a poll keeps with each later one.
_RETENTION = 0.98
# Weight of the last error in the smoothed error of predictions.
_ERROR_SMOOTHING = 0.08
_INITIAL_ERROR = 0.3
# Standard deviation of a margin around its wave.
_NOISE = 0.2
# Standard deviations of the mean and the wave before the first poll.
_MEAN_SPREAD = 0.8
_WAVE_SPREAD = 1.0
# Bounds the uncertainty of what no poll has shown for long.
_MAX_VARIANCE = 4.0

_Vector = tuple[float, float, float]


@dataclass(kw_only=True)
class _Wave:
    """Least squares fit of a mean and of a wave with one period.

    Attributes
    ----------
    error : float
        Smoothed absolute error of its predictions from one poll to the next.
    """

    period_s: float
    mean: float
    error: float = _INITIAL_ERROR
    _weights: list[float] = field(default_factory=list)
    _cov: list[list[float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._weights = [self.mean, 0.0, 0.0]
        spreads = (_MEAN_SPREAD, _WAVE_SPREAD, _WAVE_SPREAD)
        self._cov = [
            [spread**2 if row == column else 0.0 for column in range(3)]
            for row, spread in enumerate(spreads)
        ]

    def predict(self, at_s: float) -> float:
        return sum(
            weight * factor
            for weight, factor in zip(self._weights, self._factors(at_s), strict=True)
        )

    def update(self, at_s: float, margin: float) -> None:
        factors = self._factors(at_s)
        error = margin - self.predict(at_s)
        self.error += (abs(error) - self.error) * _ERROR_SMOOTHING
        gains = [
            sum(each * factor for each, factor in zip(row, factors, strict=True))
            for row in self._cov
        ]
        variance = _NOISE**2 + sum(
            gain * factor for gain, factor in zip(gains, factors, strict=True)
        )
        for row, gain in enumerate(gains):
            self._weights[row] += gain / variance * error
            for column, other in enumerate(gains):
                updated = (
                    self._cov[row][column] - gain * other / variance
                ) / _RETENTION
                self._cov[row][column] = min(updated, _MAX_VARIANCE)

    def _factors(self, at_s: float) -> _Vector:
        angle = 2 * math.pi * at_s / self.period_s
        return 1.0, math.cos(angle), math.sin(angle)


class SwingPredictor:
    """Predicts the margin of one job's services without fillers.

    Parameters
    ----------
    margin : float
        The first margin.
    """

    def __init__(self, *, margin: float) -> None:
        self._waves = [_Wave(period_s=period, mean=margin) for period in _PERIODS_S]
        self._polls = 0
        self._trend_error = _INITIAL_ERROR
        self._by_trend: float | None = None
        self._updated_s = 0.0

    def update(self, at_s: float, margin: float, *, by_trend: float) -> None:
        """Add a margin.

        Parameters
        ----------
        at_s : float
            Time of the poll in seconds.
        by_trend : float
            The margin that the trend predicts for the next poll.
        """
        for wave in self._waves:
            wave.update(at_s, margin)
        if self._by_trend is not None:
            error = abs(margin - self._by_trend)
            self._trend_error += (error - self._trend_error) * _ERROR_SMOOTHING
        self._by_trend = by_trend
        self._polls += 1
        self._updated_s = at_s

    def predict(self, ahead_s: float) -> float | None:
        """Return the margin `ahead_s` seconds after the last poll.

        Returns
        -------
        float or None
            None if the trend has predicted better, or too little has been seen.
        """
        best = min(self._waves, key=lambda wave: wave.error)
        if self._polls < _MIN_POLLS or best.error >= self._trend_error:
            return None
        return best.predict(self._updated_s + ahead_s)
