"""Why a client is turned away, and who is told of it."""

from __future__ import annotations

import abc
import enum
from dataclasses import dataclass

from coltsfoottray.errors import ColtsfoottrayError

__all__ = ["IntakeObserver", "RefusalReason", "RequestRefused", "SilentObserver"]


class RefusalReason(enum.Enum):
    """Why a request or a connection is refused."""

    BODY_TOO_LARGE = "body-too-large"
    HEAD_TOO_LARGE = "head-too-large"
    MALFORMED = "malformed"
    TOO_SLOW = "too-slow"
    NO_MEMORY = "no-memory"
    BUSY = "busy"
    NO_CONNECTION = "no-connection"
    """The port has as many connections as it may, and all are at work."""
    DISPLACED = "displaced"
    """Others need the place of a client that has long been waited for."""
    NO_DESCRIPTOR = "no-descriptor"

    @property
    def is_final(self) -> bool:
        """Whether the same request is refused again, however often it comes."""
        return self in _FINAL


_FINAL = (
    RefusalReason.BODY_TOO_LARGE,
    RefusalReason.HEAD_TOO_LARGE,
    RefusalReason.MALFORMED,
)


@dataclass(kw_only=True)
class RequestRefused(ColtsfoottrayError):
    """Raised when a request is not taken in; no handler has seen it.

    Parameters
    ----------
    detail : str
        Explanation for the client, one sentence.
    """

    reason: RefusalReason
    detail: str

    def __str__(self) -> str:
        return self.detail


class IntakeObserver(abc.ABC):
    """Is told of clients that are turned away."""

    @abc.abstractmethod
    def record_refused(self, reason: RefusalReason) -> None:
        """Record that a request or a connection was refused."""


class SilentObserver(IntakeObserver):
    """Records nothing."""

    def record_refused(self, reason: RefusalReason) -> None:  # noqa: D102
        return
