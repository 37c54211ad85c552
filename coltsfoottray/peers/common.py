"""Typed remote calls between daemons, independent of the protocol."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Generic, TypeVar

import msgspec

from coltsfoottray.types import Address

__all__ = ["Call", "CallHandlers", "PeerClient"]

Request = TypeVar("Request", bound=msgspec.Struct)
Reply = TypeVar("Reply", bound=msgspec.Struct)


@dataclass(frozen=True, kw_only=True)
class Call(Generic[Request, Reply]):
    """The name of a call with the types of its request and reply.

    Parameters
    ----------
    max_request_bytes : int, optional
        Largest request; None for that of the port.
    check_request : callable, optional
        Raises `MalformedData` for a request that would be too dear to decode. Called
        only for large ones.
    """

    name: str
    request_type: type[Request]
    reply_type: type[Reply]
    max_request_bytes: int | None = None
    check_request: Callable[[bytes], None] | None = None

    @property
    def path(self) -> str:
        """The path that identifies the call on the wire."""
        return f"/coltsfoottray.Peers/{self.name}"


class CallHandlers:
    """The calls that a daemon handles, each with its handler."""

    def __init__(self) -> None:
        self.handler_by_call: dict[Call[Any, Any], Callable[[Any], Awaitable[Any]]] = {}

    def add(
        self,
        call: Call[Request, Reply],
        handler: Callable[[Request], Awaitable[Reply]],
    ) -> None:
        """Register `handler` for `call`."""
        self.handler_by_call[call] = handler


class PeerClient(abc.ABC):
    """Makes calls to other daemons."""

    @abc.abstractmethod
    async def call(
        self,
        address: Address,
        call: Call[Request, Reply],
        request: Request,
        *,
        timeout: timedelta,
    ) -> Reply:
        """Make one call and return its reply.

        Raises
        ------
        CommunicationError
            If no valid reply arrives within `timeout`. With any step but `CONNECT`
            the peer may have handled the call.
        """
