"""The scheduler: one entry at a time decides which task runs where."""

from __future__ import annotations
