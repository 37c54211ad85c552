"""Errors that carry the step and the peer at which they arose."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["ColtsfoottrayError", "CommunicationError", "ExchangeStep", "InputError"]


class ExchangeStep(enum.Enum):
    """How far an exchange with a peer had come when it failed."""

    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    DECODE = "decode"


class ColtsfoottrayError(Exception):
    """Base of every error this package raises."""


@dataclass(kw_only=True)
class CommunicationError(ColtsfoottrayError):
    """An exchange with a peer that did not complete.

    Parameters
    ----------
    step : ExchangeStep
        The step that failed. Only `ExchangeStep.CONNECT` proves that the peer has
        seen nothing of the exchange.
    peer : str
        The peer's address or name.
    detail : str
        What the library underneath said.
    is_refused : bool
        The peer's VM answered, and nobody listens there.
    received_bytes : int
        How much of the answer had come.
    """

    step: ExchangeStep
    peer: str
    detail: str
    is_refused: bool = False
    received_bytes: int = 0

    def __str__(self) -> str:
        text = f"{self.step.value} to {self.peer} failed: {self.detail}"
        if self.received_bytes:
            text += f" after {self.received_bytes} bytes of the answer"
        return text

    @property
    def is_unseen(self) -> bool:
        """Whether the peer certainly saw nothing of the exchange."""
        return self.step is ExchangeStep.CONNECT


@dataclass(kw_only=True)
class InputError(ColtsfoottrayError):
    """Input that was refused.

    Parameters
    ----------
    field : str
        The field at fault, as a dotted path.
    value : object
        What was given.
    expected : str
        What would be accepted.
    """

    field: str
    value: object
    expected: str

    def __str__(self) -> str:
        return f"{self.field}: got {self.value!r}, expected {self.expected}"
