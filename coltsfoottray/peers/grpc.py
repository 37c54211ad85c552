"""Peer calls over grpclib, encoded as msgpack, run on trio through trio-asyncio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, TypeVar

import msgspec
import trio
import trio_asyncio
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from coltsfoottray.decoding import decode_msgpack
from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.intake import IntakeObserver, PortLimits, SilentObserver
from coltsfoottray.kernel import Listener, Service
from coltsfoottray.peers.common import Call, CallHandlers, PeerClient, Reply, Request
from coltsfoottray.peers.grpc_intake import GrpcIntake, LimitedServer
from coltsfoottray.types import Address

__all__ = ["GrpcPeerClient", "GrpcPeerServer"]

T = TypeVar("T")


class _MsgpackCodec(CodecBase):
    """Encodes messages as msgpack; msgspec structs need no generated classes."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        return decode_msgpack(data, message_type)


class _Servable:
    """Adapts `CallHandlers` to the interface that grpclib expects of a service."""

    def __init__(self, handlers: CallHandlers, intake: GrpcIntake) -> None:
        self._handlers = handlers
        self._intake = intake

    def __mapping__(self) -> dict[str, Handler]:
        return {
            call.path: Handler(
                _make_stream_handler(handler, self._intake),
                Cardinality.UNARY_UNARY,
                call.request_type,
                call.reply_type,
            )
            for call, handler in self._handlers.handler_by_call.items()
        }


def _make_stream_handler(
    handler: Callable[[Any], Awaitable[Any]], intake: GrpcIntake
) -> Callable[[Stream[Any, Any]], Awaitable[None]]:
    """Return a grpclib handler that runs `handler` under trio."""
    run_under_trio = trio_asyncio.trio_as_aio(handler)

    async def serve(stream: Stream[Any, Any]) -> None:
        async with intake.receive(stream) as data:
            request = _MsgpackCodec().decode(data, stream._recv_type)
        await stream.send_message(await run_under_trio(request))

    return serve


class GrpcPeerServer(Listener):
    """Serves peer calls on `address`.

    With port 0 the system selects a free port; `bound_address` holds the actual
    address.

    Parameters
    ----------
    limits : PortLimits, optional
        What it takes from its clients.
    observer : IntakeObserver, optional
        Is told of clients that are turned away.
    """

    def __init__(
        self,
        *,
        address: Address,
        handlers: CallHandlers,
        limits: PortLimits | None = None,
        observer: IntakeObserver | None = None,
    ) -> None:
        self._address = address
        self._handlers = handlers
        self._intake = GrpcIntake(
            limits=limits or PortLimits(), observer=observer or SilentObserver()
        )
        self.bound_address = address

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio_asyncio.open_loop():
            server = LimitedServer(
                [_Servable(self._handlers, self._intake)],
                codec=_MsgpackCodec(),
                intake=self._intake,
            )
            start = trio_asyncio.aio_as_trio(server.start)
            await start(self._address.host, self._address.port)
            sockets = server._server.sockets  # type: ignore[union-attr]
            port = sockets[0].getsockname()[1]
            self.bound_address = Address(host=self._address.host, port=port)
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                server.close()


class GrpcPeerClient(PeerClient, Service):
    """Makes calls over gRPC, with one channel per peer."""

    def __init__(self) -> None:
        self._channel_by_address: dict[Address, Channel] = {}
        self._loop: Any = None

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio_asyncio.open_loop() as loop:
            self._loop = loop
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                for channel in self._channel_by_address.values():
                    channel.close()

    async def call(  # noqa: D102
        self,
        address: Address,
        call: Call[Request, Reply],
        request: Request,
        *,
        timeout: timedelta,
    ) -> Reply:
        token = trio_asyncio.current_loop.set(self._loop)
        channel = self._channel(address)
        method = UnaryUnaryMethod(
            channel, call.path, call.request_type, call.reply_type
        )
        step = ExchangeStep.RECEIVE
        try:
            with trio.fail_after(timeout.total_seconds()):
                try:
                    await trio_asyncio.aio_as_trio(channel.__connect__)()
                except OSError:
                    step = ExchangeStep.CONNECT
                    raise
                return await trio_asyncio.aio_as_trio(method)(request)  # type: ignore
        except (OSError, GRPCError, StreamTerminatedError, trio.TooSlowError) as error:
            self._discard_channel(address, channel)
            raise CommunicationError(
                step=step,
                peer=str(address),
                detail=str(error) or type(error).__name__,
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        finally:
            if self._channel_by_address.get(address) is not channel:
                # Another call discarded the channel while this one connected it. A
                # connection that is never closed raises an error when it is garbage
                # collected, which ends the process.
                channel.close()
            trio_asyncio.current_loop.reset(token)

    def _channel(self, address: Address) -> Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = Channel(
                address.host, address.port, codec=_MsgpackCodec(), loop=self._loop
            )
            self._channel_by_address[address] = channel
        return channel

    def _discard_channel(self, address: Address, channel: Channel) -> None:
        """Close a channel after an error, so that the next call opens a new one.

        A connection can stop transmitting permanently while new ones work, so a
        channel is not used again after an error.
        """
        if self._channel_by_address.get(address) is channel:
            del self._channel_by_address[address]
            channel.close()
