"""Kalman filter over the margins of services and the pressures of fillers."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["MarginFilter"]


class MarginFilter:
    """Kalman filter with named scalar states, observed through weighted sums of them.

    Attributes
    ----------
    mean : dict
        Estimated value of each state.
    """

    def __init__(self) -> None:
        self.mean: dict[str, float] = {}
        self._cov: dict[str, dict[str, float]] = {}

    def add(self, state: str, mean: float, spread: float) -> None:
        """Add a state with no covariance to others; has no effect on a known state."""
        if state in self.mean:
            return
        self.mean[state] = mean
        for other in self._cov:
            self._cov[other][state] = 0.0
        self._cov[state] = dict.fromkeys(self.mean, 0.0)
        self._cov[state][state] = spread**2

    def remove(self, state: str) -> None:
        """Remove a state."""
        self.mean.pop(state, None)
        self._cov.pop(state, None)
        for row in self._cov.values():
            row.pop(state, None)

    def variance(self, state: str) -> float:
        """Return the variance of a state."""
        return max(self._cov[state][state], 0.0)

    def add_variance(self, state: str, variance: float, limit: float) -> None:
        """Increase the variance of a state by `variance`, up to `limit`."""
        before = self._cov[state][state]
        self._cov[state][state] = max(before, min(before + variance, limit))

    def advance(self, state: str, slope: str, span_s: float) -> None:
        """Advance a state by `span_s` seconds at the rate of the state `slope`."""
        self.mean[state] += span_s * self.mean[slope]
        slope_row = self._cov[slope]
        row = self._cov[state]
        for other in row:
            row[other] += span_s * slope_row[other]
        for other_row in self._cov.values():
            other_row[state] += span_s * other_row[slope]

    def decay(self, state: str, ratio: float) -> None:
        """Multiply a state by `ratio`."""
        self.mean[state] *= ratio
        row = self._cov[state]
        for other in row:
            row[other] *= ratio
        for other_row in self._cov.values():
            other_row[state] *= ratio

    def predict(self, factors: Mapping[str, float]) -> float:
        """Return the expected sum of states times `factors`."""
        return sum(self.mean[state] * each for state, each in factors.items())

    def update(
        self, observed: float, factors: Mapping[str, float], noise: float
    ) -> None:
        """Update the states with an observed sum of states times `factors`.

        Parameters
        ----------
        noise : float
            Standard deviation of the observation.
        """
        gains = {
            state: sum(row[other] * factor for other, factor in factors.items())
            for state, row in self._cov.items()
        }
        innovation_variance = sum(
            gains[state] * factor for state, factor in factors.items()
        )
        innovation_variance += noise**2
        innovation = observed - self.predict(factors)
        for state, gain in gains.items():
            self.mean[state] += gain / innovation_variance * innovation
            row = self._cov[state]
            for other, other_gain in gains.items():
                row[other] -= gain * other_gain / innovation_variance
