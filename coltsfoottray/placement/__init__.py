"""Policies that choose a worker for a batch task."""

from __future__ import annotations

from coltsfoottray.placement.common import (
    Placement,
    PlacementPolicy,
    WorkerView,
    make_policy,
    register_policy,
)
from coltsfoottray.placement.first_fit import FirstFit
from coltsfoottray.placement.tightest_fit import TightestFit

__all__ = [
    "FirstFit",
    "Placement",
    "PlacementPolicy",
    "TightestFit",
    "WorkerView",
    "make_policy",
    "register_policy",
]
