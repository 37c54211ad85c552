"""Selection of an upstream instance for each request."""

from __future__ import annotations

from coltsfoottray.routing.common import (
    Candidate,
    Choice,
    Router,
    make_router,
    register_router,
)
from coltsfoottray.routing.round_robin import RoundRobin
from coltsfoottray.routing.two_choices import TwoChoices

__all__ = [
    "Candidate",
    "Choice",
    "RoundRobin",
    "Router",
    "TwoChoices",
    "make_router",
    "register_router",
]
