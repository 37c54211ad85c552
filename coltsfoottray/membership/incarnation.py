"""Ids that distinguish a restarted process from its earlier incarnations."""

from __future__ import annotations

import secrets

from coltsfoottray.clock import Clock
from coltsfoottray.types import Incarnation

__all__ = ["make_incarnation"]


def make_incarnation(clock: Clock) -> Incarnation:
    """Return an id that sorts after those of earlier incarnations.

    Wall-clock time gives the order; the random part distinguishes two starts in
    the same microsecond.
    """
    started = clock.now().strftime("%Y%m%dT%H%M%S.%f")
    return Incarnation(f"{started}-{secrets.token_hex(4)}")
