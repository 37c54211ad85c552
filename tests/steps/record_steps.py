"""Steps about the stored records of tasks."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from coltsfoottray.jobs.records import TaskRecord

_RUNS = st.lists(st.integers(min_value=1, max_value=6))


@then("each failed run counts once, in whatever order the ends arrive")
def check_counts(context):
    @settings(derandomize=True, database=None)
    @for_all(runs=_RUNS)
    def check(runs):
        record = TaskRecord()
        for run in runs:
            record.count_failure(run)
            record = msgspec.json.decode(msgspec.json.encode(record), type=TaskRecord)
        assert record.failures == len(set(runs)), record

    check()


@given(
    "a task record of an earlier version with {failures:d} failures, the last of run "
    "{run:d}"
)
def make_earlier_record(context, failures, run):
    row = msgspec.json.encode([0, run, failures, "", "", "", run])
    context.record = msgspec.json.decode(row, type=TaskRecord)


@when("the failures of the runs 1, 2 and 3 are counted")
def count_failures(context):
    for run in (1, 2, 3):
        context.record.count_failure(run)


@then("the task record has {failures:d} failures")
def check_failures(context, failures):
    assert context.record.failures == failures, context.record
