"""The daemons, each of which connects its services by name and runs them."""

from __future__ import annotations

from coltsfoottray.daemons.entry import EntryDaemon
from coltsfoottray.daemons.upstream import UpstreamDaemon
from coltsfoottray.daemons.worker import WorkerDaemon

__all__ = ["EntryDaemon", "UpstreamDaemon", "WorkerDaemon"]
