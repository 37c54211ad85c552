"""Keyed requests under lost messages, cuts, crashes, pauses and outages."""

from __future__ import annotations

import itertools
import json
from collections import defaultdict

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coltsfoottray.http import HttpResponse
from tests.support.world import World

__all__ = ["KeyedRequests"]

KEYS = st.sampled_from(["k1", "k2", "k3"])
ENTRIES = st.sampled_from(["entry-1", "entry-2", "entry-3"])
INSTANCES = st.sampled_from(["instance-01", "instance-02"])
# Callers repeat a key for at most this time. With the deadline of the last request
# added, it stays below the retention.
MAX_REPEAT_S = 45.0
PROCESSES = st.one_of(ENTRIES, INSTANCES)


class KeyedRequests(RuleBasedStateMachine):
    """Compares responses with an oracle of the runs per key that upstreams observed."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(entries=3, instances=2)
        self._labels = itertools.count()
        self._key_by_label: dict[str, str] = {}
        self._checked_labels: set[str] = set()
        self._generation_by_key: dict[str, int] = {}
        self._first_sent_by_key: dict[str, float] = {}

    def teardown(self) -> None:
        """Recover from all faults, let requests settle and check the responses."""
        try:
            self._heal_all()
            self.world.advance(25)
            self.check_safety()
            self._check_refused_keys()
        finally:
            self.world.close()

    @rule(key=KEYS, entry=ENTRIES, service_ms=st.sampled_from([5, 300, 2500]))
    def send(self, key: str, entry: str, service_ms: int) -> None:
        """A caller sends a request under a key, for the first time or again."""
        if entry not in self.world.cell.entry_by_name:
            return
        key = self._usable_key(key)
        label = f"{key}#{next(self._labels)}"
        self._key_by_label[label] = key
        self.world.send(label, entry, key, service_ms=service_ms, deadline_ms=8000)

    @rule(ms=st.sampled_from([1, 3, 30, 400, 2000, 7000, 25_000]))
    def advance(self, ms: int) -> None:
        """Let time pass."""
        self.world.advance(ms / 1000)

    @rule(process=PROCESSES, count=st.integers(1, 2))
    def lose_requests(self, process: str, count: int) -> None:
        """The next messages to a process are lost."""
        self.world.fabric.faults(process).lost_requests = count

    @rule(process=PROCESSES, count=st.integers(1, 2))
    def delay_requests(self, process: str, count: int) -> None:
        """The next messages to a process arrive late."""
        self.world.fabric.faults(process).late_requests = count

    @rule(process=PROCESSES, count=st.integers(1, 2))
    def lose_replies(self, process: str, count: int) -> None:
        """The next replies from a process are lost."""
        self.world.fabric.faults(process).lost_replies = count

    @rule(entry=ENTRIES)
    def cut_from_table(self, entry: str) -> None:
        """Cut one entry off from the table, which still serves the others."""
        self.world.fabric.cut.add(frozenset((entry, "table")))

    @rule(one=ENTRIES, other=PROCESSES)
    def cut(self, one: str, other: str) -> None:
        """Two processes cannot reach each other."""
        if one != other:
            self.world.fabric.cut.add(frozenset((one, other)))

    @rule()
    def heal_cuts(self) -> None:
        """All processes reach each other again."""
        self.world.fabric.cut.clear()

    @rule(process=PROCESSES)
    def pause(self, process: str) -> None:
        """Freeze a process."""
        self.world.fabric.faults(process).pause()

    @rule(process=PROCESSES)
    def resume(self, process: str) -> None:
        """Resume a frozen process."""
        self.world.resume(process)

    @rule(entry=ENTRIES)
    def kill_entry(self, entry: str) -> None:
        """An entry crashes."""
        if entry in self.world.cell.entry_by_name:
            self.world.kill(entry)

    @rule(entry=ENTRIES)
    def start_entry(self, entry: str) -> None:
        """A crashed entry restarts with empty memory."""
        is_down = self.world.cell.table.faults.is_down
        if entry not in self.world.cell.entry_by_name and not is_down:
            self.world.resume(entry)
            self.world.run(self.world.cell.start_entry, entry)

    @rule(instance=INSTANCES)
    def restart_attendant(self, instance: str) -> None:
        """An attendant restarts with empty memory; its upstream keeps running."""
        self.world.kill(instance)
        self.world.resume(instance)
        self.world.run(self.world.cell.start_attendant, instance)

    @rule(is_down=st.booleans())
    def table(self, is_down: bool) -> None:
        """The table becomes unavailable or available again."""
        self.world.cell.table.faults.is_down = is_down

    @rule()
    def lose_table_answer(self) -> None:
        """The next write takes effect, but its response is lost."""
        self.world.cell.table.faults.lost_answers = 1

    @invariant()
    def check_safety(self) -> None:
        """No request ran twice, and every response is correct."""
        assert not self.world.cell.observer.doubled, self.world.cell.observer.doubled
        for label, response in self.world.response_by_label.items():
            if response is not None and label not in self._checked_labels:
                self._checked_labels.add(label)
                self._check_response(label, response)

    def _check_refused_keys(self) -> None:
        """Check that a key never ran if all its requests were refused as not run."""
        statuses_by_key: dict[str, set[int]] = defaultdict(set)
        for label, response in self.world.response_by_label.items():
            status = 0 if response is None else response.status
            statuses_by_key[self._key_by_label[label]].add(status)
        for key, statuses in statuses_by_key.items():
            assert statuses != {503} or self.world.runs(key) == 0, key

    def _usable_key(self, key: str) -> str:
        """Return the current generation of a key that callers may still repeat."""
        generation = self._generation_by_key.setdefault(key, 0)
        now = self.world.now()
        name = f"{key}.{generation}"
        if now - self._first_sent_by_key.setdefault(name, now) > MAX_REPEAT_S:
            self._generation_by_key[key] += 1
            return self._usable_key(key)
        return name

    def _check_response(self, label: str, response: HttpResponse) -> None:
        key = self._key_by_label[label]
        runs = self.world.runs_at_response_by_label[label]
        if response.status == 200:
            assert response.body == f"answer to arolwg/{key}: {key}".encode(), response
            assert runs == 1, f"{key} ran {runs} times: {response}"
        elif response.status == 503:
            title = json.loads(response.body)["title"]
            assert title == "refused-not-run", response
            assert runs == 0, f"{key} ran but was refused: {response.body!r}"

    def _heal_all(self) -> None:
        self.world.fabric.cut.clear()
        self.world.cell.table.faults.is_down = False
        for process in list(self.world.fabric.faults_by_process):
            self.world.resume(process)
