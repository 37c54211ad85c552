"""Racing operators, lost answers, outages and edits sent again."""

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

_PATIENCE_S = 30.0
OPERATORS = st.sampled_from([0, 1, 2])


class ListEdits(RuleBasedStateMachine):
    """The oracle: the edits accepted, in order; their number is the version."""

    def __init__(self) -> None:
        super().__init__()
        self.table = TableStandIn()
        self._holders = [ListHolder() for _ in range(3)]
        self._read = [0, 0, 0]
        self._edit_by_operator: dict[int, Edit] = {}
        self._accepted: dict[str, int] = {}
        self._seen = [0, 0, 0]
        self._tokens = itertools.count()

    @rule(operator=OPERATORS)
    def read(self, operator: int) -> None:
        """An operator reads the newest version."""
        self._read[operator] = self._head()

    @rule(operator=OPERATORS, value=st.integers(1, 9))
    def begin(self, operator: int, value: int) -> None:
        """An operator writes a new edit against what was read."""
        token = f"token-{next(self._tokens)}"
        self._edit_by_operator[operator] = Edit(
            list=ListName.ALLOWANCES,
            change={f"plan-{operator}": {"processors": value, "memory_gb": 1}},
            based_on=ListVersion(self._read[operator]),
            author=f"operator-{operator}",
            token=token,
        )

    @rule(operator=OPERATORS)
    def send(self, operator: int) -> None:
        """An operator's tool sends the edit, for the first time or again."""
        edit = self._edit_by_operator.get(operator)
        if edit is None:
            return
        version = self._commit(operator, edit)
        if version is not None:
            assert self._accepted.setdefault(edit.token, version) == version

    @rule(is_down=st.booleans())
    def set_down(self, is_down: bool) -> None:
        """The table goes down or comes back."""
        self.table.faults.is_down = is_down

    @rule()
    def lose_answer(self) -> None:
        """The next write takes effect, and its answer is lost."""
        self.table.faults.lost_answers = 1

    @invariant()
    def judge(self) -> None:
        """Each accepted edit stands in the history once; versions only rise."""
        tokens = [record.edit.token for record in self._history()]
        assert len(tokens) == len(set(tokens)) == self._head()
        for token, version in self._accepted.items():
            assert tokens[version - 1] == token, (token, tokens)
        for index, holder in enumerate(self._holders):
            assert holder.current.version >= self._seen[index]
            self._seen[index] = holder.current.version

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
            with trio.move_on_after(_PATIENCE_S):
                try:
                    outcome = await editor.commit(edit)
                    if isinstance(outcome, Success):
                        version = outcome.unwrap().version
                except TableUnavailable:
                    version = None
            nursery.cancel_scope.cancel()
        return version

    def _head(self) -> int:
        row = self.table.row_by_key.get("lists/head")
        return 0 if row is None else row.version

    def _history(self) -> list[EditRecord]:
        return [
            self.table.row_by_key[key].decode(EditRecord)
            for key in sorted(self.table.row_by_key)
            if key.startswith("lists/history/")
        ]
