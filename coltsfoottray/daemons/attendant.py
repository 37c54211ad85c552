"""What the attendants of upstreams and of workers share."""

from __future__ import annotations

from coltsfoottray.daemons.common import Daemon
from coltsfoottray.kernel import ServiceName
from coltsfoottray.membership import Announcer, EntryDirectory

__all__ = ["ANNOUNCER", "DIRECTORY", "AttendantDaemon"]

DIRECTORY = ServiceName("entry-directory")
ANNOUNCER = ServiceName("announcer")


class AttendantDaemon(Daemon):
    """Finds the entries and announces itself to each of them."""

    def register_membership(self) -> None:
        """Register what is started after the servers."""
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
