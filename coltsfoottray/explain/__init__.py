"""Decisions, kept and logged so that each can be explained."""

from __future__ import annotations

from coltsfoottray.explain.journal import Decision, Journal, RunnerUp, Verb

__all__ = ["Decision", "Journal", "RunnerUp", "Verb"]
