"""Calls between the system's own processes."""

from __future__ import annotations

from coltsfoottray.peers.common import Call, CallHandlers, PeerClient

__all__ = ["Call", "CallHandlers", "PeerClient"]
