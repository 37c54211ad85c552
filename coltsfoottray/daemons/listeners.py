"""Factories for the servers of a daemon, which tests can replace."""

from __future__ import annotations

import abc

from coltsfoottray.http import Handler, HttpServer
from coltsfoottray.intake import IntakeObserver, PortLimits
from coltsfoottray.kernel import Listener
from coltsfoottray.peers import CallHandlers
from coltsfoottray.peers.grpc import GrpcPeerServer
from coltsfoottray.types import Address

__all__ = ["ListenerFactory", "SocketListeners"]


class ListenerFactory(abc.ABC):
    """Creates the HTTP and peer servers of a daemon."""

    @abc.abstractmethod
    def http(
        self,
        address: Address,
        handler: Handler,
        *,
        limits: PortLimits | None = None,
        observer: IntakeObserver | None = None,
    ) -> Listener:
        """Return an HTTP server on `address`; see `HttpServer`."""

    @abc.abstractmethod
    def peers(
        self,
        address: Address,
        handlers: CallHandlers,
        *,
        limits: PortLimits | None = None,
        observer: IntakeObserver | None = None,
    ) -> Listener:
        """Return a server of peer calls on `address`."""


class SocketListeners(ListenerFactory):
    """Creates servers on TCP sockets."""

    def http(  # noqa: D102
        self,
        address: Address,
        handler: Handler,
        *,
        limits: PortLimits | None = None,
        observer: IntakeObserver | None = None,
    ) -> Listener:
        return HttpServer(
            address=address, handler=handler, limits=limits, observer=observer
        )

    def peers(  # noqa: D102
        self,
        address: Address,
        handlers: CallHandlers,
        *,
        limits: PortLimits | None = None,
        observer: IntakeObserver | None = None,
    ) -> Listener:
        return GrpcPeerServer(
            address=address, handlers=handlers, limits=limits, observer=observer
        )
