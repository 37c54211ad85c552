"""Configs under cuts, slow links, outages, pauses and restarts.

What an operator has been told to stand is in force at each entry soon after all is
calm, and never gives way to an older one.
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
# By then one entry schedules.
_START_S = 3.0
# The bounds count for what has been calm for so long.
_CALM_S = 3.0
# A config is in force within it, beside the time that its link takes for it.
_IN_FORCE_S = 2.0
_KB = 1000.0
_MILLI = 1000


class Configs(RuleBasedStateMachine):
    """The oracle: what was written last, and what each entry goes by."""

    def __init__(self) -> None:
        super().__init__()
        self.world = JobWorld(instances=1, workers=1)
        self.world.advance(_START_S)
        self._seen_by_daemon: dict[JobEntryDaemon, int] = {}

    def teardown(self) -> None:
        """Let calm come, and the last config be in force."""
        try:
            self.expect_in_time(0)
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
        """An entry's link carries more or less, for good."""
        rate = None if kilobytes is None else kilobytes * _KB
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
        """All reach each other again."""
        self.world.fabric.cut.clear()

    @rule(entry=ENTRIES)
    def silence(self, entry: str) -> None:
        """An entry's open connections go silent, and new ones work."""
        self.world.fabric.silence_links(entry)

    @rule(entry=ENTRIES)
    def pause(self, entry: str) -> None:
        """Freeze an entry."""
        self.world.fabric.faults(entry).pause()

    @rule(entry=ENTRIES)
    def resume(self, entry: str) -> None:
        """Let it go on."""
        self.world.resume(entry)

    @rule(entry=ENTRIES)
    def restart(self, entry: str) -> None:
        """An entry dies and starts anew, knowing no config."""
        self.world.kill_daemon(entry)
        self.world.resume(entry)
        self.world.restart_daemon(entry)

    @rule(is_down=st.booleans())
    def store(self, is_down: bool) -> None:
        """The store goes down or comes back."""
        self.world.cell.metadata_table.faults.is_down = is_down

    @rule()
    def drop_history(self) -> None:
        """The store forgets what changed."""
        self.world.cell.metadata_table.drop_history()

    @rule(ms=st.sampled_from([100, 700, 2500]))
    def advance(self, ms: int) -> None:
        """Let time pass."""
        self.world.advance(ms / _MILLI)

    @rule(routes=ROUTES)
    def expect_in_time(self, routes: int) -> None:
        """All heals; a config written once it is calm is in force in time."""
        self.heal_cuts()
        self.store(False)
        for entry in _ENTRIES:
            self.resume(entry)
        # One may still be on its way, over the same link.
        before = self._size()
        self.world.advance(_CALM_S)
        self.configure(routes)
        give_up = self.world.now() + _IN_FORCE_S
        for entry in _ENTRIES:
            rate = self.world.fabric.faults(entry).link.bytes_per_s
            takes_s = 0.0 if rate is None else (before + self._size()) / rate
            self._wait(entry, give_up + takes_s)

    def _wait(self, entry: str, give_up: float) -> None:
        newest = self._newest()
        while self._version(entry) < newest:
            late = f"{entry} goes by {self._version(entry)} for {newest}"
            assert self.world.now() < give_up, late
            self.world.advance(0.05)

    @invariant()
    def judge(self) -> None:
        """No entry goes back to an older config."""
        for entry, daemon in self.world.cell.entry_by_name.items():
            version = self._version(entry)
            assert version >= self._seen_by_daemon.get(daemon, 0), entry
            self._seen_by_daemon[daemon] = version

    def _version(self, entry: str) -> int:
        return self.world.cell.entry_by_name[entry].holder.current.version

    def _newest(self) -> int:
        config = self.world.cell.metadata_table.value_of("op", "", "config")
        assert isinstance(config, dict)
        return int(config["version"])

    def _size(self) -> int:
        """Return how many bytes the newest config takes on a link."""
        rows = self.world.cell.metadata_table.current_by_ref.items()
        return sum(len(row.value) for ref, row in rows if ref.table == "op")
