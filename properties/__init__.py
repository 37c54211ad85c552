"""Stateful fuzzing by hypothesis, each machine against a small oracle."""

from __future__ import annotations
