"""Handling of callers' requests at an entry, from admission to the final response."""

from __future__ import annotations

from coltsfoottray.requests.attendant_client import AttendantClient
from coltsfoottray.requests.messages import Place, RunOutcome, RunReply, RunRequest

__all__ = ["AttendantClient", "Place", "RunOutcome", "RunReply", "RunRequest"]
