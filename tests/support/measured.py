"""What a process holds, as the kernel counts it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

__all__ = ["MeasuredProcess"]

_KB = 1024
_MB = 1_000_000
_LISTEN = "0A"


@dataclass(kw_only=True)
class MeasuredProcess:
    """The largest figures of a process that were seen so far.

    Parameters
    ----------
    ports : set of int
        Ports on which it listens.
    """

    pid: int
    ports: set[int]
    unread_bytes: int = 0
    descriptors: int = 0

    def look(self) -> None:
        """Read what the process holds now."""
        self.unread_bytes = max(self.unread_bytes, self._count_unread())
        self.descriptors = max(self.descriptors, self._count_descriptors())

    @property
    def memory_mb(self) -> float:
        """Peak of the resident memory, and of what was received and not yet read."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        line = next(each for each in status.splitlines() if each.startswith("VmHWM"))
        return (int(line.split()[1]) * _KB + self.unread_bytes) / _MB

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return False
        return stat.rpartition(")")[2].split()[0] not in "ZX"

    def _count_descriptors(self) -> int:
        return len(list(Path(f"/proc/{self.pid}/fd").iterdir()))

    def _count_unread(self) -> int:
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if state != _LISTEN and int(local.rpartition(":")[2], 16) in self.ports:
                unread += int(queues.partition(":")[2], 16)
        return unread
