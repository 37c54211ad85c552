"""Stateful fuzzing with hypothesis; an oracle checks each state machine."""

from __future__ import annotations
