"""Base class of the daemons of upstream and worker attendants."""

from __future__ import annotations

from coltsfoottray.daemons.common import Daemon
from coltsfoottray.kernel import ServiceName
from coltsfoottray.membership import Announcer, EntryDirectory

__all__ = ["ANNOUNCER", "DIRECTORY", "AttendantDaemon"]

DIRECTORY = ServiceName("entry-directory")
ANNOUNCER = ServiceName("announcer")


class AttendantDaemon(Daemon):
    """A daemon that discovers the entries and announces itself to each of them."""

    def register_membership(self) -> None:
        """Register the entry directory and the announcer.

        They must start after the servers, whose addresses they announce.
        """
        timing = self.settings.timing
        self.directory = EntryDirectory(
            table=self.table,
            clock=self.clock,
            interval=timing.lease / 3,
            seeds=self.settings.seeds,
        )
        self.kernel.register(DIRECTORY, self.directory)
        self.announcer = Announcer(
            peers=self.peers,
            directory=self.directory,
            clock=self.clock,
            holder=self.holder,
            describe=self.describe,
            hold=timing.hold,
        )
        self.kernel.register(ANNOUNCER, self.announcer)
