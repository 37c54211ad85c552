"""Hooks around each scenario."""

from __future__ import annotations

import trio
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


def before_scenario(context, scenario):
    """Make the order in which trio runs tasks reproducible."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(0)
    context.closers = []


def after_scenario(context, scenario):
    """Close what the scenario started."""
    for close in reversed(context.closers):
        close()
