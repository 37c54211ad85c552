"""What goes wrong for good in a world of jobs, and the healing of the rest."""

from __future__ import annotations

from enum import StrEnum

from tests.support.job_world import JobWorld

__all__ = ["PermanentFault", "PermanentFaults"]


class PermanentFault(StrEnum):
    """Ways to be lost for good.

    The first four are of a worker, `DEAD` and `FROZEN` of a daemon, and `CUT` is of
    either: of all that a daemon could reach, something is out of its reach.
    """

    GONE = "gone"
    SILENT = "silent"
    DRAINING = "draining"
    DEAD = "dead"
    FROZEN = "frozen"
    CUT = "cut"


class PermanentFaults:
    """Brings about what never heals, and keeps one entry and one worker sound.

    A worker and its attendant share their name, and neither is sound without the other.
    """

    def __init__(self, *, world: JobWorld) -> None:
        self._world = world
        self._lost: set[tuple[str, PermanentFault]] = set()
        self._links: set[frozenset[str]] = set()

    def is_sound(self, name: str) -> bool:
        """Whether all that is wrong with an entry or a worker can heal."""
        return all(name != other for other, _ in self._lost)

    def sound_entry(self) -> str:
        """Return the first entry that is sound."""
        return next(filter(self.is_sound, self._world.cell.entry_by_name))

    def may_lose(self, name: str) -> bool:
        """Whether another of its kind is sound."""
        cell = self._world.cell
        is_entry = name in cell.entry_by_name
        kind = cell.entry_by_name if is_entry else cell.worker_by_name
        return any(self.is_sound(other) for other in kind if other != name)

    def is_ended(self, process: str) -> bool:
        """Whether a daemon is dead or frozen for good."""
        return self._has(process, PermanentFault.DEAD) or self._has(
            process, PermanentFault.FROZEN
        )

    def is_mute(self, worker: str) -> bool:
        """Whether a worker answers nobody for good."""
        return self._has(worker, PermanentFault.GONE) or self._has(
            worker, PermanentFault.SILENT
        )

    def is_leaving(self, worker: str) -> bool:
        """Whether a worker says for good that it leaves."""
        return self._has(worker, PermanentFault.DRAINING)

    def lose_worker(self, worker: str, loss: PermanentFault) -> None:
        """Lose a worker; its attendant lives on."""
        self._lost.add((worker, loss))
        machine = self._world.cell.worker_by_name[worker]
        if loss is PermanentFault.GONE:
            machine.vanish()
        elif loss is PermanentFault.SILENT:
            machine.is_dark = True
        else:
            machine.is_draining = True

    def end_daemon(self, process: str, loss: PermanentFault) -> None:
        """End a daemon: what is sent to a dead one fails, to a frozen one hangs."""
        self._lost.add((process, loss))
        if loss is PermanentFault.DEAD:
            self._world.kill_daemon(process)
        else:
            self._world.fabric.faults(process).pause()

    def cut(self, process: str, other: str) -> None:
        """Put something out of a daemon's reach."""
        self._lost.add((process, PermanentFault.CUT))
        self._links.add(frozenset((process, other)))
        self._world.fabric.cut |= self._links

    def mend(self, links: set[frozenset[str]]) -> None:
        """Mend links, but for those that are cut for good."""
        self._world.fabric.cut -= links - self._links

    def heal_rest(self) -> None:
        """Heal everything that is not lost for good."""
        cell = self._world.cell
        self.mend(set(self._world.fabric.cut))
        cell.rows.faults.is_down = False
        for process in list(self._world.fabric.faults_by_process):
            if not self.is_ended(process):
                self._world.resume(process)
        for name, worker in cell.worker_by_name.items():
            worker.is_dark = self.is_mute(name)
            worker.is_draining = self.is_leaving(name)

    def _has(self, name: str, loss: PermanentFault) -> bool:
        return (name, loss) in self._lost
