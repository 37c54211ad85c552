"""The journal of decisions, and the analysis of log files."""

from __future__ import annotations

from coltsfoottray.explain.journal import Decision, Journal, RunnerUp, Verb

__all__ = ["Decision", "Journal", "RunnerUp", "Verb"]
