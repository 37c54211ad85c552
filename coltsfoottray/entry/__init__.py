"""The HTTP API of an entry for callers, batch tasks and operators."""

from __future__ import annotations

from coltsfoottray.entry.api import EntryApi
from coltsfoottray.entry.batch import BatchApi
from coltsfoottray.entry.callers import CallerApi
from coltsfoottray.entry.operators import OperatorApi

__all__ = ["BatchApi", "CallerApi", "EntryApi", "OperatorApi"]
