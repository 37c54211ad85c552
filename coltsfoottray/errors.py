"""Errors of the package, with the details that a caller needs to handle them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["ColtsfoottrayError", "CommunicationError", "ExchangeStep", "InputError"]


class ExchangeStep(enum.Enum):
    """The step at which an exchange with a peer failed."""

    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    DECODE = "decode"


class ColtsfoottrayError(Exception):
    """Base class of all errors that this package raises."""


@dataclass(kw_only=True)
class CommunicationError(ColtsfoottrayError):
    """Raised when an exchange with a peer does not complete.

    Parameters
    ----------
    step : ExchangeStep
        The step that failed. Only `ExchangeStep.CONNECT` proves that the peer has
        not seen any of the exchange.
    peer : str
        Address or name of the peer.
    detail : str
        Error message of the underlying library.
    is_refused : bool
        Whether the peer's VM refused the connection, because no process listens.
    received_bytes : int
        Size of the part of the response that was received.
    is_too_large : bool
        Whether the response is larger than can be received.
    """

    step: ExchangeStep
    peer: str
    detail: str
    is_refused: bool = False
    received_bytes: int = 0
    is_too_large: bool = False

    def __str__(self) -> str:
        text = f"{self.step.value} to {self.peer} failed: {self.detail}"
        if self.received_bytes:
            text += f" after {self.received_bytes} bytes of the response"
        return text

    @property
    def is_unseen(self) -> bool:
        """Whether the peer has certainly not seen any of the exchange."""
        return self.step is ExchangeStep.CONNECT


@dataclass(kw_only=True)
class InputError(ColtsfoottrayError):
    """Raised when input is rejected.

    Parameters
    ----------
    field : str
        Dotted path of the invalid field.
    value : object
        The value that was given.
    expected : str
        Description of a valid value.
    """

    field: str
    value: object
    expected: str

    def __str__(self) -> str:
        return f"{self.field}: got {self.value!r}, expected {self.expected}"
