"""Telling a restarted process from its former self."""

from __future__ import annotations

import secrets

from coltsfoottray.clock import Clock
from coltsfoottray.types import Incarnation

__all__ = ["make_incarnation"]


def make_incarnation(clock: Clock) -> Incarnation:
    """Return an id that sorts after those of earlier starts.

    The calendar gives the order and the random part keeps two starts in the
    same microsecond apart.
    """
    started = clock.now().strftime("%Y%m%dT%H%M%S.%f")
    return Incarnation(f"{started}-{secrets.token_hex(4)}")
