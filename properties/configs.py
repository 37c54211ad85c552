"""Configs under cuts, slow links, outages, pauses and restarts.

The latest config that the operator wrote takes effect at each entry soon after the
last fault, and no entry returns to an older config.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coltsfoottray.daemons.job_entry import JobEntryDaemon
from tests.support.job_world import JobWorld

__all__ = ["Configs"]

_ENTRIES = ("entry-1", "entry-2")
ENTRIES = st.sampled_from(_ENTRIES)
ROUTES = st.sampled_from([0, 300, 1500])
KB_PER_S = st.sampled_from([None, 50, 300])
# Time within which one entry becomes the active scheduler.
_STARTUP_S = 3.0
# The bound on propagation applies once there has been no fault for this time.
_STABLE_S = 3.0
# Bound on the propagation of a config, excluding its transfer time on the link.
_PROPAGATION_S = 2.0
_BYTES_PER_KB = 1000.0
_MS_PER_S = 1000


class Configs(RuleBasedStateMachine):
    """Compares the config in force at each entry with the last one written."""

    def __init__(self) -> None:
        super().__init__()
        self.world = JobWorld(workers=1)
        self.world.advance(_STARTUP_S)
        self._last_version_by_daemon: dict[JobEntryDaemon, int] = {}

    def teardown(self) -> None:
        """Recover from all faults and check that the last config is in force."""
        try:
            self.check_propagation(0)
        finally:
            self.world.close()

    @rule(routes=ROUTES)
    def configure(self, routes: int) -> None:
        """The operator writes a config."""

        async def write() -> None:
            self.world.cell.write_config(unused_routes=routes)

        self.world.run(write)

    @rule(entry=ENTRIES, kilobytes=KB_PER_S)
    def change_link(self, entry: str, kilobytes: int | None) -> None:
        """Change the bandwidth of an entry's link until the next change."""
        rate = None if kilobytes is None else kilobytes * _BYTES_PER_KB
        self.world.fabric.faults(entry).link.bytes_per_s = rate

    @rule(entry=ENTRIES)
    def cut_from_store(self, entry: str) -> None:
        """An entry cannot reach the store."""
        self.world.fabric.cut.add(frozenset((entry, "store")))

    @rule()
    def cut_entries(self) -> None:
        """The entries cannot reach each other."""
        self.world.fabric.cut.add(frozenset(_ENTRIES))

    @rule()
    def heal_cuts(self) -> None:
        """All processes reach each other again."""
        self.world.fabric.cut.clear()

    @rule(entry=ENTRIES)
    def silence(self, entry: str) -> None:
        """The open connections of an entry carry nothing more; new ones work."""
        self.world.fabric.silence_links(entry)

    @rule(entry=ENTRIES)
    def pause(self, entry: str) -> None:
        """Freeze an entry."""
        self.world.fabric.faults(entry).pause()

    @rule(entry=ENTRIES)
    def resume(self, entry: str) -> None:
        """Resume a frozen entry."""
        self.world.resume(entry)

    @rule(entry=ENTRIES)
    def restart(self, entry: str) -> None:
        """An entry crashes and restarts without a config."""
        self.world.kill_daemon(entry)
        self.world.resume(entry)
        self.world.restart_daemon(entry)

    @rule(is_down=st.booleans())
    def store(self, is_down: bool) -> None:
        """The store becomes unavailable or available again."""
        self.world.cell.metadata_table.faults.is_down = is_down

    @rule()
    def drop_history(self) -> None:
        """The store discards its change history."""
        self.world.cell.metadata_table.drop_history()

    @rule(ms=st.sampled_from([100, 700, 2500]))
    def advance(self, ms: int) -> None:
        """Let time pass."""
        self.world.advance(ms / _MS_PER_S)

    @rule(routes=ROUTES)
    def check_propagation(self, routes: int) -> None:
        """A config written after recovery from all faults is in force in time."""
        self.heal_cuts()
        self.store(False)
        for entry in _ENTRIES:
            self.resume(entry)
        # The previous config may still be in transit over the same link.
        previous_bytes = self._config_bytes()
        self.world.advance(_STABLE_S)
        self.configure(routes)
        deadline = self.world.now() + _PROPAGATION_S
        for entry in _ENTRIES:
            rate = self.world.fabric.faults(entry).link.bytes_per_s
            transfer_s = (
                0.0 if rate is None else (previous_bytes + self._config_bytes()) / rate
            )
            self._wait_until_in_force(entry, deadline + transfer_s)

    def _wait_until_in_force(self, entry: str, deadline: float) -> None:
        newest = self._newest_version()
        while self._version(entry) < newest:
            message = f"{entry} has version {self._version(entry)}, expected {newest}"
            assert self.world.now() < deadline, message
            self.world.advance(0.05)

    @invariant()
    def check_safety(self) -> None:
        """No entry returns to an older config."""
        for entry, daemon in self.world.cell.entry_by_name.items():
            version = self._version(entry)
            assert version >= self._last_version_by_daemon.get(daemon, 0), entry
            self._last_version_by_daemon[daemon] = version

    def _version(self, entry: str) -> int:
        return self.world.cell.entry_by_name[entry].holder.current.version

    def _newest_version(self) -> int:
        config = self.world.cell.metadata_table.value_of("op", "", "config")
        assert isinstance(config, dict)
        return int(config["version"])

    def _config_bytes(self) -> int:
        """Return the size of the newest config in bytes."""
        rows = self.world.cell.metadata_table.current_by_ref.items()
        return sum(len(row.value) for ref, row in rows if ref.table == "op")
