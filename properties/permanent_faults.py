"""Permanent faults of entries and workers, and recovery from transient ones."""

from __future__ import annotations

from enum import StrEnum

from tests.support.job_world import JobWorld

__all__ = ["PermanentFault", "PermanentFaults"]


class PermanentFault(StrEnum):
    """Kinds of permanent fault.

    `GONE`, `SILENT`, `DRAINING` and `HUNG` (its tasks stand still) affect a worker,
    `DEAD` and `FROZEN` a daemon. `CUT` affects either: the daemon has lost its link to
    one of its peers.
    """

    GONE = "gone"
    SILENT = "silent"
    DRAINING = "draining"
    HUNG = "hung"
    DEAD = "dead"
    FROZEN = "frozen"
    CUT = "cut"


class PermanentFaults:
    """Injects permanent faults.

    `may_fail` returns whether a further fault leaves one entry and one worker
    recoverable. A worker and its attendant share a name; a permanent fault of either
    makes both unrecoverable.
    """

    def __init__(self, *, world: JobWorld) -> None:
        self._world = world
        self._faults: set[tuple[str, PermanentFault]] = set()
        self._cut_links: set[frozenset[str]] = set()

    def is_recoverable(self, name: str) -> bool:
        """Return whether an entry or a worker has no permanent fault."""
        return all(name != other for other, _ in self._faults)

    def recoverable_entry(self) -> str:
        """Return the first entry that is recoverable."""
        return next(filter(self.is_recoverable, self._world.cell.entry_by_name))

    def may_fail(self, name: str) -> bool:
        """Return whether another entry, or another worker, is recoverable."""
        cell = self._world.cell
        is_entry = name in cell.entry_by_name
        kind = cell.entry_by_name if is_entry else cell.worker_by_name
        return any(self.is_recoverable(other) for other in kind if other != name)

    def is_stopped(self, process: str) -> bool:
        """Return whether a daemon is permanently dead or frozen."""
        return self._has(process, PermanentFault.DEAD) or self._has(
            process, PermanentFault.FROZEN
        )

    def is_unresponsive(self, worker: str) -> bool:
        """Return whether a worker permanently answers no requests."""
        return self._has(worker, PermanentFault.GONE) or self._has(
            worker, PermanentFault.SILENT
        )

    def is_leaving(self, worker: str) -> bool:
        """Return whether a worker permanently reports that it is draining."""
        return self._has(worker, PermanentFault.DRAINING)

    def lose_worker(self, worker: str, fault: PermanentFault) -> None:
        """Inject a fault into a worker; its attendant keeps running."""
        self._faults.add((worker, fault))
        machine = self._world.cell.worker_by_name[worker]
        if fault is PermanentFault.GONE:
            machine.destroy()
        elif fault is PermanentFault.SILENT:
            machine.is_unreachable = True
        elif fault is PermanentFault.HUNG:
            machine.is_hung = True
        else:
            machine.is_draining = True

    def stop_daemon(self, process: str, fault: PermanentFault) -> None:
        """Stop a daemon: requests to a dead one fail, to a frozen one hang."""
        self._faults.add((process, fault))
        if fault is PermanentFault.DEAD:
            self._world.kill_daemon(process)
        else:
            self._world.fabric.faults(process).pause()

    def cut(self, process: str, other: str) -> None:
        """Cut the link between a daemon and a peer permanently."""
        self._faults.add((process, PermanentFault.CUT))
        self._cut_links.add(frozenset((process, other)))
        self._world.fabric.cut |= self._cut_links

    def heal_links(self, links: set[frozenset[str]]) -> None:
        """Restore links, except those that are cut permanently."""
        self._world.fabric.cut -= links - self._cut_links

    def heal_transient(self) -> None:
        """Recover from every fault that is not permanent."""
        cell = self._world.cell
        self.heal_links(set(self._world.fabric.cut))
        self._world.fabric.refusing.clear()
        self._world.fabric.resetting.clear()
        cell.metadata_table.faults.is_down = False
        cell.metadata_table.refused_keys.clear()
        for process in list(self._world.fabric.faults_by_process):
            if not self.is_stopped(process):
                self._world.resume(process)
        for name, worker in cell.worker_by_name.items():
            worker.is_unreachable = self.is_unresponsive(name)
            worker.is_draining = self.is_leaving(name)
            worker.is_unhealthy = False

    def _has(self, name: str, fault: PermanentFault) -> bool:
        return (name, fault) in self._faults
