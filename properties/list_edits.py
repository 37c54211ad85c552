"""List edits under concurrent operators, lost replies, outages and retries."""

from __future__ import annotations

import itertools

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Success
from trio.testing import MockClock

from coltsfoottray.clock import TrioClock
from coltsfoottray.lists import Edit, EditRecord, ListEditor, ListHolder, ListName
from coltsfoottray.platform import TableUnavailable
from coltsfoottray.platform.http import HttpTable
from coltsfoottray.types import ListVersion
from standins.fabric import MemoryFabric
from standins.table import TableStandIn

__all__ = ["ListEdits"]

_COMMIT_TIMEOUT_S = 30.0
OPERATORS = st.sampled_from([0, 1, 2])


class ListEdits(RuleBasedStateMachine):
    """Compares the history with the accepted edits, whose number is the version."""

    def __init__(self) -> None:
        super().__init__()
        self.table = TableStandIn()
        self._holders = [ListHolder() for _ in range(3)]
        self._version_read = [0, 0, 0]
        self._edit_by_operator: dict[int, Edit] = {}
        self._version_by_token: dict[str, int] = {}
        self._last_version = [0, 0, 0]
        self._tokens = itertools.count()

    @rule(operator=OPERATORS)
    def read(self, operator: int) -> None:
        """An operator reads the newest version."""
        self._version_read[operator] = self._head_version()

    @rule(operator=OPERATORS, value=st.integers(1, 9))
    def prepare_edit(self, operator: int, value: int) -> None:
        """An operator prepares an edit based on the version that it has read."""
        token = f"token-{next(self._tokens)}"
        self._edit_by_operator[operator] = Edit(
            list=ListName.ALLOWANCES,
            change={f"plan-{operator}": {"processors": value, "memory_gb": 1}},
            based_on=ListVersion(self._version_read[operator]),
            author=f"operator-{operator}",
            token=token,
        )

    @rule(operator=OPERATORS)
    def send(self, operator: int) -> None:
        """An operator sends its edit, for the first time or again."""
        edit = self._edit_by_operator.get(operator)
        if edit is None:
            return
        version = self._commit(operator, edit)
        if version is not None:
            assert self._version_by_token.setdefault(edit.token, version) == version

    @rule(is_down=st.booleans())
    def set_down(self, is_down: bool) -> None:
        """The table becomes unavailable or available again."""
        self.table.faults.is_down = is_down

    @rule()
    def lose_answer(self) -> None:
        """The next write takes effect, but its response is lost."""
        self.table.faults.lost_answers = 1

    @invariant()
    def check_safety(self) -> None:
        """Each accepted edit is in the history once; versions never decrease."""
        tokens = [record.edit.token for record in self._history()]
        assert len(tokens) == len(set(tokens)) == self._head_version()
        for token, version in self._version_by_token.items():
            assert tokens[version - 1] == token, (token, tokens)
        for index, holder in enumerate(self._holders):
            assert holder.current.version >= self._last_version[index]
            self._last_version[index] = holder.current.version

    def _commit(self, operator: int, edit: Edit) -> int | None:
        return trio.run(
            self._send, operator, edit, clock=MockClock(autojump_threshold=0)
        )

    async def _send(self, operator: int, edit: Edit) -> int | None:
        fabric = MemoryFabric()
        async with trio.open_nursery() as nursery:
            server = fabric.listeners("table").http(
                fabric.free_address(), self.table.handle
            )
            await nursery.start(server.run)
            table = HttpTable(
                address=server.bound_address, client=fabric.transport("entry")
            )
            editor = ListEditor(
                table=table, clock=TrioClock(), holder=self._holders[operator]
            )
            version = None
            with trio.move_on_after(_COMMIT_TIMEOUT_S):
                try:
                    outcome = await editor.commit(edit)
                    if isinstance(outcome, Success):
                        version = outcome.unwrap().version
                except TableUnavailable:
                    version = None
            nursery.cancel_scope.cancel()
        return version

    def _head_version(self) -> int:
        row = self.table.row_by_key.get("lists/head")
        return 0 if row is None else row.version

    def _history(self) -> list[EditRecord]:
        return [
            self.table.row_by_key[key].decode(EditRecord)
            for key in sorted(self.table.row_by_key)
            if key.startswith("lists/history/")
        ]
