"""Limits of one port, and how the limits of a machine are divided among ports."""

from __future__ import annotations

import resource
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["KIB", "MIB", "MachineLimits", "PortLimits"]

KIB = 1024
MIB = 1024 * KIB

# What an open connection costs besides larger bodies: its task, a head or a small
# body, and what the kernel has received for it.
_CONNECTION_BYTES = 48 * KIB
# Shares of the memory for the connections of one large port, and for its bodies.
_CONNECTIONS_SHARE = 1 / 8
_BODIES_SHARE = 1 / 16
# Shares of the descriptors. The rest is for connections that the process opens itself:
# each request may need one.
_LARGE_PORT_SHARE = 0.25
_SMALL_PORT_SHARE = 0.04
# Of the connections of a port, those whose requests may be handled at a time.
_HANDLERS_SHARE = 0.75
# What a process opens besides connections, and what the platform reserves for that.
_OWN_DESCRIPTORS = 64
_RESERVED_DESCRIPTORS = 200
_MIN_CONNECTIONS = 4
_BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, kw_only=True)
class PortLimits:
    """What one port takes.

    Parameters
    ----------
    body_bytes : int
        Largest body; 0 for a port that needs none.
    body_bytes_by_path : Mapping
        Largest body of single paths.
    head_bytes, head_lines : int
        Largest head of a request, and the number of its lines.
    connections : int
        Open connections. Beyond it, who was waited for longest gives way.
    handlers : int
        Requests that are handled at a time.
    held_bytes : int
        Sum of the bodies beyond the first `ByteAccount.UNCHARGED_BYTES` of each.
    request_time : timedelta
        Time for a request to arrive, from the answer to the one before, and for its
        answer to leave.
    """

    body_bytes: int = 8 * MIB
    body_bytes_by_path: Mapping[str, int] = field(default_factory=dict)
    head_bytes: int = 16 * KIB
    head_lines: int = 100
    connections: int = 1024
    handlers: int = 1024
    held_bytes: int = 64 * MIB
    request_time: timedelta = timedelta(minutes=2)

    def body_limit(self, target: str) -> int:
        """Return the size in bytes of the largest body for a target."""
        path = target.partition("?")[0]
        return self.body_bytes_by_path.get(path, self.body_bytes)


@dataclass(frozen=True, kw_only=True)
class MachineLimits:
    """What the machine allows the process, divided among its ports.

    Parameters
    ----------
    memory_mb : float
        Memory of the process.
    descriptors : int, optional
        Its file descriptors; by default, and at most, those that the system allows it.
    connections, head_bytes, request_time
        Upper bounds on those of each port, see `PortLimits`.
    """

    memory_mb: float
    descriptors: int | None
    connections: int
    head_bytes: int
    request_time: timedelta

    def large_port(
        self, body_bytes: int, by_path: Mapping[str, int] | None = None
    ) -> PortLimits:
        """Return the limits of a port that takes bodies."""
        memory = self.memory_mb * _BYTES_PER_MB
        by_memory = int(memory * _CONNECTIONS_SHARE / _CONNECTION_BYTES)
        by_descriptors = int(self._sockets() * _LARGE_PORT_SHARE)
        connections = self._connections(min(by_memory, by_descriptors))
        return PortLimits(
            body_bytes=body_bytes,
            body_bytes_by_path=by_path or {},
            head_bytes=self.head_bytes,
            connections=connections,
            handlers=max(1, int(connections * _HANDLERS_SHARE)),
            # The largest body alone is taken on any machine.
            held_bytes=max(int(memory * _BODIES_SHARE), body_bytes),
            request_time=self.request_time,
        )

    def small_port(self) -> PortLimits:
        """Return the limits of a port whose requests have no body."""
        connections = self._connections(int(self._sockets() * _SMALL_PORT_SHARE))
        return PortLimits(
            body_bytes=0,
            head_bytes=self.head_bytes,
            connections=connections,
            handlers=connections,
            held_bytes=0,
            request_time=self.request_time,
        )

    def _connections(self, share: int) -> int:
        return max(_MIN_CONNECTIONS, min(self.connections, share))

    def _sockets(self) -> int:
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed == resource.RLIM_INFINITY:
            allowed = 1 << 20
        sockets = allowed - _OWN_DESCRIPTORS
        if self.descriptors is not None:
            sockets = min(sockets, self.descriptors - _RESERVED_DESCRIPTORS)
        return max(sockets, 0)
