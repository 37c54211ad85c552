"""Remote calls between the daemons of the system."""

from __future__ import annotations

from coltsfoottray.peers.common import Call, CallHandlers, PeerClient

__all__ = ["Call", "CallHandlers", "PeerClient"]
