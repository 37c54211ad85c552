"""Networks between the processes of a cell: loopback sockets, or in memory."""

from __future__ import annotations

import abc
import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

import trio

from coltsfoottray.clock import Clock, TrioClock
from coltsfoottray.daemons.common import CLOCK, LISTENERS, PEERS, RANDOM, TRANSPORT
from coltsfoottray.daemons.listeners import ListenerFactory, SocketListeners
from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import (
    Handler,
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpTransport,
)
from coltsfoottray.http.common import (
    DEFAULT_TIMEOUT,
    MAX_BODY_BYTES,
    TOO_LARGE,
    OnResponseStart,
)
from coltsfoottray.http.pool import ConnectionPool
from coltsfoottray.http.problem import call_handler
from coltsfoottray.intake import IntakeObserver, PortLimits
from coltsfoottray.kernel import Kernel, Listener
from coltsfoottray.peers import Call, CallHandlers, PeerClient
from coltsfoottray.types import Address
from standins.connections import Direction, MemoryConnection
from standins.links import AccessLink

__all__ = ["Fabric", "LoopbackFabric", "MemoryFabric"]

_LATENCY_S = 0.0005
REQUEST_DELAY_S = 3.0
_VIRTUAL_START = datetime(2026, 1, 1, tzinfo=UTC)


class Fabric(abc.ABC):
    """Provides each process with its servers and clients."""

    @abc.abstractmethod
    def kernel(self, process: str) -> Kernel:
        """Return a kernel with what `process` needs to use this network."""

    @abc.abstractmethod
    def listeners(self, process: str) -> ListenerFactory:
        """Return the factory of the servers of `process`."""

    @abc.abstractmethod
    def transport(self, process: str) -> HttpTransport:
        """Return the HTTP client of `process`."""


class LoopbackFabric(Fabric):
    """TCP sockets on the loopback address."""

    def kernel(self, process: str) -> Kernel:  # noqa: D102
        return Kernel()

    def listeners(self, process: str) -> ListenerFactory:  # noqa: D102
        return SocketListeners()

    def transport(self, process: str) -> HttpTransport:  # noqa: D102
        return HttpClient()


@dataclass(kw_only=True)
class ProcessFaults:
    """Faults of one process and of the network around it.

    Parameters
    ----------
    lost_replies : int
        Number of requests to this process that it will carry out without the reply
        reaching the sender.
    lost_requests : int
        Number of requests to this process that will be dropped without an error.
    late_requests : int
        Number of requests to this process that will arrive after `REQUEST_DELAY_S`,
        long after their sender has timed out.
    running : trio.Event
        Set unless the process is paused.
    time_of_day_offset : timedelta
        Error of the time of day of the process; its steady clock has none.
    link : AccessLink
        Carries the requests and responses that the process receives.
    """

    lost_replies: int = 0
    lost_requests: int = 0
    late_requests: int = 0
    running: trio.Event = field(default_factory=trio.Event)
    time_of_day_offset: timedelta = timedelta(0)
    link: AccessLink = field(default_factory=AccessLink)

    def __post_init__(self) -> None:
        self.running.set()

    def pause(self) -> None:
        """Freeze the process: it receives, sends and executes nothing."""
        if self.running.is_set():
            self.running = trio.Event()

    def resume(self) -> None:
        """Continue a paused process where it was frozen."""
        self.running.set()


class _PausableClock(Clock):
    """Clock of a process; during a pause, time passes but sleeps do not end."""

    def __init__(self, faults: ProcessFaults) -> None:
        self._faults = faults
        self._clock = TrioClock()

    def now(self) -> datetime:
        offset = self._faults.time_of_day_offset
        return _VIRTUAL_START + self._clock.elapsed() + offset

    def elapsed(self) -> timedelta:
        return self._clock.elapsed()

    async def sleep(self, duration: timedelta) -> None:
        await self._clock.sleep(duration)
        await self._faults.running.wait()


class MemoryFabric(Fabric):
    """Network in memory that delivers messages by function calls and injects faults.

    Attributes
    ----------
    faults_by_process : dict
        Faults by name of the process.
    cut : set of frozenset of str
        Pairs of processes whose messages are dropped.
    refusing : set of frozenset of str
        Pairs of processes that live and refuse connections to one another.
    resetting : set of frozenset of str
        Pairs of processes that live and whose connections are reset as they are used.
    listener_by_address : dict
        Servers that accept messages.
    opened : Counter
        Number of connections opened, by opener and process at the other end.
    largest_by_path : Counter
        Size in bytes of the largest request or response of each kind, by path.
    """

    def __init__(self) -> None:
        self.faults_by_process: dict[str, ProcessFaults] = {}
        self.cut: set[frozenset[str]] = set()
        self.refusing: set[frozenset[str]] = set()
        self.resetting: set[frozenset[str]] = set()
        self._pool_by_sender: dict[str, ConnectionPool[MemoryConnection]] = defaultdict(
            ConnectionPool
        )
        self._ends: set[tuple[str, Address]] = set()
        self._open: set[MemoryConnection] = set()
        self.opened: Counter[tuple[str, str]] = Counter()
        self.largest_by_path: Counter[str] = Counter()
        self.listener_by_address: dict[Address, _MemoryListener] = {}
        self._ports = itertools.count(20_000)

    def kernel(self, process: str) -> Kernel:  # noqa: D102
        kernel = Kernel()
        kernel.register(PEERS, _MemoryPeers(self, process))
        self.register_parts(kernel, process)
        return kernel

    def register_parts(self, kernel: Kernel, process: str) -> None:
        """Register everything that `process` needs except its peer client.

        A process that starts has no open connections.
        """
        self._pool_by_sender[process].close()
        kernel.register(CLOCK, _PausableClock(self.faults(process)))
        kernel.register(TRANSPORT, self.transport(process))
        kernel.register(RANDOM, Random(process))
        kernel.register(LISTENERS, self.listeners(process))

    def listeners(self, process: str) -> ListenerFactory:  # noqa: D102
        return _MemoryListeners(self, process)

    def transport(self, process: str) -> HttpTransport:  # noqa: D102
        return _MemoryTransport(self, process)

    def faults(self, process: str) -> ProcessFaults:
        """Return the faults of `process`, to be changed by the caller."""
        return self.faults_by_process.setdefault(process, ProcessFaults())

    def free_address(self) -> Address:
        """Return an address that has not been used before."""
        return Address(host="127.0.0.1", port=next(self._ports))

    def silence_links(
        self, senders: str, *, direction: Direction = Direction.BOTH
    ) -> None:
        """Make open connections silent whose opener's name starts with `senders`.

        This models a device between the two ends that has lost the state of the
        connections: nothing arrives, and no error is reported. New connections work.

        Parameters
        ----------
        direction : Direction
            What is lost.
        """
        for connection in self._open:
            if connection.sender.startswith(senders):
                connection.silent = direction

    def fill_pools(self, count: int) -> None:
        """Leave `count` idle connections behind, as a burst does.

        They connect each process to each peer that it has called before.
        """
        for sender, address in self._ends:
            pool = self._pool_by_sender[sender]
            for _ in range(count - pool.count(address)):
                pool.put(address, self._open_connection(sender, address))

    def open_senders(self) -> list[str]:
        """Return the opener of each open connection."""
        return [connection.sender for connection in self._open]

    def _open_connection(self, sender: str, address: Address) -> MemoryConnection:
        listener = self.listener_by_address.get(address)
        if listener is not None:
            self.opened[sender, listener.process] += 1
        return MemoryConnection(
            sender=sender,
            address=address,
            listener_by_address=self.listener_by_address,
            open_connections=self._open,
        )

    async def exchange(
        self,
        sender: str,
        address: Address,
        message: Any,
        timeout: timedelta,
        on_response_start: OnResponseStart | None = None,
    ) -> Any:
        """Send `message` to `address` over one connection and return the reply.

        As in the real clients, a connection carries one exchange at a time, and is
        reused until an exchange on it fails.
        """
        self._ends.add((sender, address))
        pool = self._pool_by_sender[sender]
        connection = pool.take(address, now=trio.current_time())
        if connection is None:
            connection = self._open_connection(sender, address)
        sent_at = trio.current_time()
        is_complete = False
        try:
            reply = await self._exchange_on(
                connection, message, timeout, on_response_start
            )
            connection.received_at = trio.current_time()
            is_complete = True
        except (_ExchangeTimeout, trio.Cancelled):
            pool.close_suspects(sent_at=sent_at, now=trio.current_time())
            raise
        finally:
            if is_complete:
                pool.put(address, connection)
            else:
                connection.close()
        return reply

    async def _exchange_on(
        self,
        connection: MemoryConnection,
        message: Any,
        timeout: timedelta,
        on_response_start: OnResponseStart | None,
    ) -> Any:
        sender, address = connection.sender, connection.address
        await self.faults(sender).running.wait()
        await trio.sleep(_LATENCY_S)
        listener = self.listener_by_address.get(address)
        if listener is None or frozenset((sender, listener.process)) in self.refusing:
            raise CommunicationError(
                step=ExchangeStep.CONNECT,
                peer=str(address),
                detail="no listener at this address",
                is_refused=True,
            )
        if frozenset((sender, listener.process)) in self.resetting:
            raise _error(ExchangeStep.RECEIVE, address, "connection reset by peer")
        pending = _Pending()
        is_complete = False
        with trio.move_on_after(timeout.total_seconds()) as limit:
            is_cut = frozenset((sender, listener.process)) in self.cut
            if is_cut or connection.silent is Direction.BOTH:
                await trio.sleep_forever()
            await self.faults(listener.process).link.receive_request(_size(message))
            if self.listener_by_address.get(address) is not listener:
                raise _error(ExchangeStep.RECEIVE, address, "closed")
            if self._record_size(message, message) > listener.body_limit(message):
                # As the real server does.
                pending.reply = HttpResponse(status=TOO_LARGE)
                pending.done.set()
            else:
                listener.accept(message, pending)
            await pending.done.wait()
            if self._record_size(message, pending.reply) > _max_answer(message):
                raise CommunicationError(
                    step=ExchangeStep.RECEIVE,
                    peer=str(address),
                    detail="the body is too large",
                    is_too_large=True,
                )
            if connection.silent:
                await trio.sleep_forever()
            if on_response_start is not None and isinstance(
                pending.reply, HttpResponse
            ):
                on_response_start(pending.reply.status)
            await self.faults(sender).link.receive(_size(pending.reply), limit)
            is_complete = True
            await self.faults(sender).running.wait()
        if pending.error is not None:
            raise _error(ExchangeStep.RECEIVE, address, pending.error)
        if connection.silent or not is_complete:
            raise _ExchangeTimeout(
                step=ExchangeStep.RECEIVE, peer=str(address), detail="timeout"
            )
        return pending.reply

    def _record_size(self, request: Any, message: Any) -> int:
        """Record and return the size of a request or of the response to it."""
        size = _size(message)
        if isinstance(request, HttpRequest):
            known = self.largest_by_path[request.path]
            self.largest_by_path[request.path] = max(known, size)
        return size


def _size(message: Any) -> int:
    """Return the size of a message on a link in bytes; peer calls count as 0."""
    is_http = isinstance(message, HttpRequest | HttpResponse)
    return len(message.body) if is_http else 0


def _max_answer(message: Any) -> int:
    """Return the size in bytes of the largest reply to a message."""
    is_http = isinstance(message, HttpRequest)
    return message.max_answer_bytes if is_http else MAX_BODY_BYTES


@dataclass(kw_only=True)
class _Pending:
    """An exchange that waits for its reply."""

    done: trio.Event = field(default_factory=trio.Event)
    reply: Any = None
    error: str | None = None


class _ExchangeTimeout(CommunicationError):
    """Raised when no reply has arrived in time."""


def _error(step: ExchangeStep, address: Address, detail: str) -> CommunicationError:
    return CommunicationError(step=step, peer=str(address), detail=detail)


class _MemoryListener(Listener):
    """Serves in its own nursery, so that a killed process sends no replies."""

    def __init__(
        self,
        fabric: MemoryFabric,
        process: str,
        address: Address,
        serve: Any,
        limits: PortLimits | None = None,
    ) -> None:
        self.process = process
        self._limits = limits or PortLimits()
        self.bound_address = fabric.free_address() if address.port == 0 else address
        self._fabric = fabric
        self._serve = serve
        # By how much each answer is late.
        self.delay_s = 0.0
        self._nursery: trio.Nursery | None = None
        self._open: list[_Pending] = []

    def body_limit(self, message: Any) -> int:
        """Return the size in bytes of the largest body for the target of a message."""
        target = message.target if isinstance(message, HttpRequest) else ""
        return self._limits.body_limit(target)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        self._fabric.listener_by_address[self.bound_address] = self
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await trio.sleep_forever()
        finally:
            del self._fabric.listener_by_address[self.bound_address]
            for pending in self._open:
                pending.error = "closed"
                pending.done.set()

    async def stop(self) -> None:
        while self._open:
            await trio.sleep(_LATENCY_S)

    def accept(self, message: Any, pending: _Pending) -> None:
        """Start to serve `message`."""
        assert self._nursery is not None
        self._nursery.start_soon(self._handle_message, message, pending)

    async def _handle_message(self, message: Any, pending: _Pending) -> None:
        faults = self._fabric.faults(self.process)
        if faults.lost_requests > 0:
            faults.lost_requests -= 1
            return
        if faults.late_requests > 0:
            faults.late_requests -= 1
            await trio.sleep(REQUEST_DELAY_S)
        await faults.running.wait()
        self._open.append(pending)
        try:
            reply = await self._serve(message)
            await trio.sleep(_LATENCY_S + self.delay_s)
            await faults.running.wait()
        except CommunicationError as error:
            self._open.remove(pending)
            pending.error = str(error)
            pending.done.set()
            return
        self._open.remove(pending)
        if faults.lost_replies > 0:
            faults.lost_replies -= 1
            return
        pending.reply = reply
        pending.done.set()


class _MemoryListeners(ListenerFactory):
    def __init__(self, fabric: MemoryFabric, process: str) -> None:
        self._fabric = fabric
        self._process = process

    def http(
        self,
        address: Address,
        handler: Handler,
        *,
        limits: PortLimits | None = None,
        observer: IntakeObserver | None = None,
    ) -> Listener:
        async def serve(request: HttpRequest) -> HttpResponse:
            return await call_handler(handler, request, observer)

        return _MemoryListener(self._fabric, self._process, address, serve, limits)

    def peers(
        self,
        address: Address,
        handlers: CallHandlers,
        *,
        limits: PortLimits | None = None,
        observer: IntakeObserver | None = None,
    ) -> Listener:
        async def serve(message: tuple[Call[Any, Any], Any]) -> Any:
            call, request = message
            return await handlers.handler_by_call[call](request)

        return _MemoryListener(self._fabric, self._process, address, serve)


class _MemoryTransport(HttpTransport):
    def __init__(self, fabric: MemoryFabric, process: str) -> None:
        self._fabric = fabric
        self._process = process

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        on_response_start: OnResponseStart | None = None,
    ) -> HttpResponse:
        response = await self._fabric.exchange(
            self._process, address, request, timeout, on_response_start
        )
        assert isinstance(response, HttpResponse)
        return response


class _MemoryPeers(PeerClient):
    def __init__(self, fabric: MemoryFabric, process: str) -> None:
        self._fabric = fabric
        self._process = process

    async def call(
        self, address: Address, call: Any, request: Any, *, timeout: timedelta
    ) -> Any:
        message = (call, request)
        return await self._fabric.exchange(self._process, address, message, timeout)
