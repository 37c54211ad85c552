"""Steps about reading many rows in pages."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import trio
from behave import given, then, when
from trio.testing import MockClock

from coltsfoottray.clock import TrioClock
from coltsfoottray.jobs.paging import RowReader
from coltsfoottray.platform import Page, Row, TableUnavailable

_LATENCY_S = 0.004


class _PagedTable:
    """A table whose rows arrive at a rate; only its pages can be read."""

    def __init__(self, *, rows: int, rows_per_s: float) -> None:
        self.rows = rows
        self.rows_per_s = rows_per_s
        self.later_from = rows
        self.later_rows_per_s = rows_per_s
        self.failing_each = 0
        self.page_seconds: list[float] = []
        self.sent_rows = 0

    async def page(self, prefix: str, *, first: str, limit: int) -> Page:
        start = int(first or 0)
        names = range(start, min(start + limit, self.rows))
        is_later = start >= self.later_from
        rate = self.later_rows_per_s if is_later else self.rows_per_s
        seconds = _LATENCY_S + len(names) / rate
        await trio.sleep(seconds)
        self.page_seconds.append(seconds)
        self.sent_rows += len(names)
        if self.failing_each and len(self.page_seconds) % self.failing_each == 0:
            raise TableUnavailable(detail="lost", is_unwritten=True)
        return Page(
            rows=[_row(prefix, name) for name in names],
            version=1,
            next_first=str(names.stop) if names.stop < self.rows else None,
        )


def _row(prefix: str, name: int) -> Row:
    return Row(key=f"{prefix}{name}", value=msgspec.Raw(b"1"), version=1)


@given("a table of {rows:d} rows that arrive at {rate:d} rows a second")
def make_table(context, rows, rate):
    context.paged_table = _PagedTable(rows=rows, rows_per_s=rate)


@given("rows after the first {count:d} arrive at {rate:d} rows a second")
def slow_down(context, count, rate):
    context.paged_table.later_from = count
    context.paged_table.later_rows_per_s = rate


@given("each third page fails")
def fail_pages(context):
    context.paged_table.failing_each = 3


@when("all rows are read")
def read_rows(context):
    async def read():
        reader = RowReader(
            table=context.paged_table, clock=TrioClock(), on_failure=lambda error: None
        )
        return await reader.read("group/shard/")

    clock = MockClock(autojump_threshold=0)
    context.read_rows = trio.run(read, clock=clock).rows


@then("each row has arrived once")
def check_rows(context):
    keys = [row.key for row in context.read_rows]
    expected = [f"group/shard/{name}" for name in range(context.paged_table.rows)]
    assert keys == expected, len(keys)


@then("no page after the first takes longer than {seconds:g} s")
def check_durations(context, seconds):
    longest = timedelta(seconds=max(context.paged_table.page_seconds[1:]))
    assert longest <= timedelta(seconds=seconds), longest


@then("at most {count:d} pages take longer than {seconds:g} s")
def check_long_pages(context, count, seconds):
    longer = [each for each in context.paged_table.page_seconds if each > seconds]
    assert len(longer) <= count, longer


@then("at most {count:d} pages were requested")
def check_pages(context, count):
    pages = len(context.paged_table.page_seconds)
    assert pages <= count, pages


@then("at most {count:d} rows were sent")
def check_sent(context, count):
    assert context.paged_table.sent_rows <= count, context.paged_table.sent_rows
