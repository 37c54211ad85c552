"""Clients of gRPC that keep to no limits but those of the protocol's flow control."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import h2.config
import h2.connection
import h2.events
import h2.exceptions

from tests.support.crowd import Client, Payload

__all__ = ["CALL_PATH", "GrpcClient"]

CALL_PATH = "/coltsfoottray.Peers/Watch"
_PREFIX = struct.Struct(">?I")
_READ_BYTES = 65536
_ENDS = (
    h2.events.StreamEnded,
    h2.events.StreamReset,
    h2.events.ConnectionTerminated,
)
_FRAME = b"x" * 16384


def _make_protocol() -> h2.connection.H2Connection:
    config = h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
    return h2.connection.H2Connection(config)


@dataclass(kw_only=True)
class GrpcClient(Client):
    """One connection with one call.

    Parameters
    ----------
    message : bytes
        The message, as far as it is sent before `fill_bytes` of filler.
    rest : bytes
        The rest of the message, which is sent as flow control allows.
    announced : int
        Length of the message by its prefix.
    """

    payload: Payload = field(default_factory=lambda: Payload(head=b""))
    announced: int
    message: bytes = b""
    rest: bytes = b""
    fill_bytes: int = 0
    path: str = CALL_PATH
    status: str | None = None
    protocol: h2.connection.H2Connection = field(default_factory=_make_protocol)
    outgoing: bytes = b""

    def connect(self, port: int) -> None:
        """Open the connection and begin the call."""
        super().connect(port)
        self.protocol.initiate_connection()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", self.path),
            (":authority", "x"),
            ("content-type", "application/grpc+msgpack"),
            ("te", "trailers"),
        ]
        self.protocol.send_headers(1, headers)
        prefix = _PREFIX.pack(False, self.announced)
        self.protocol.send_data(1, prefix + self.message)
        if len(self.message) == self.announced:
            self.protocol.end_stream(1)

    def _send(self) -> bool:
        self._fill()
        self.outgoing += self.protocol.data_to_send()
        if not self.outgoing:
            return False
        sent = self.socket.send(self.outgoing)
        self.outgoing = self.outgoing[sent:]
        return True

    def _fill(self) -> None:
        """Send what flow control allows of the rest of the message, then filler."""
        if self.outgoing or not (self.rest or self.fill_bytes):
            return
        try:
            window = self.protocol.local_flow_control_window(1)
            size = min(window, len(_FRAME))
            frame = self.rest[:size] or _FRAME[: min(size, self.fill_bytes)]
            if frame:
                self._send_frame(frame)
        except h2.exceptions.ProtocolError:
            self.rest, self.fill_bytes = b"", 0

    def _send_frame(self, frame: bytes) -> None:
        self.protocol.send_data(1, frame)
        if not self.rest:
            self.fill_bytes -= len(frame)
            return
        self.rest = self.rest[len(frame) :]
        if not self.rest:
            self.protocol.end_stream(1)

    def _receive(self) -> bool:
        data = self.socket.recv(_READ_BYTES)
        if not data:
            self._end()
            return True
        try:
            events = self.protocol.receive_data(data)
        except h2.exceptions.ProtocolError:
            self._end()
            return True
        for event in events:
            if isinstance(event, h2.events.TrailersReceived):
                self.status = dict(event.headers).get("grpc-status")
                self._end()
            elif isinstance(event, h2.events.ResponseReceived):
                self.status = dict(event.headers).get("grpc-status", self.status)
            elif isinstance(event, _ENDS):
                self._end()
        return True
