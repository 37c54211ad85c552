"""Choice of the entry through which requests to the table are relayed.

Load pattern: the table rejects a third of the entries and serves the others. A relay
that is rejected itself must cost one exchange, not a pause.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from datetime import timedelta
from random import Random

from coltsfoottray.types import Address

__all__ = ["RelayChoice"]

# An entry that the table rejects is likely to be rejected for seconds.
_EXCLUSION = timedelta(seconds=3)


class RelayChoice:
    """Prefers the relay that worked last, else a random one that has not failed."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._working: Address | None = None
        self._failed_at: dict[Address, timedelta] = {}

    def choose(
        self, entries: Sequence[Address], *, tried: Collection[Address], now: timedelta
    ) -> Address | None:
        """Return an entry that is not in `tried`, None if there is none."""
        untried = [entry for entry in entries if entry not in tried]
        if self._working in untried:
            return self._working
        fresh = [entry for entry in untried if not self._is_excluded(entry, now)]
        if not (fresh or untried):
            return None
        return self._random.choice(fresh or untried)

    def record_success(self, relay: Address) -> None:
        """Record that the table has served a request through `relay`."""
        self._working = relay
        self._failed_at.pop(relay, None)

    def record_failure(self, relay: Address, now: timedelta) -> None:
        """Record that `relay` did not answer, or that the table rejected it."""
        if self._working == relay:
            self._working = None
        self._failed_at[relay] = now

    def _is_excluded(self, entry: Address, now: timedelta) -> bool:
        failed_at = self._failed_at.get(entry)
        return failed_at is not None and now - failed_at < _EXCLUSION
