"""Steps on the order of jobs and the total of a run."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

from behave import given, then, when

from tests.runner.commands import make_command_job
from tests.runner.jobs import Job, JobKind, Result, Verdict
from tests.runner.order import LONGEST_FILE, order_jobs, read_longest
from tests.runner.report import summarize
from tests.runner.suite import read_names

_TESTS = Path(__file__).parents[1]


@given('the scenarios "a", "b", "c" and "d", and "new" in a fuzz.feature')
def add_scenarios(context):
    context.jobs = [_make_job(name) for name in "abcd"]
    context.jobs.append(_make_job("new", place="tests/jobs/fuzz.feature:3"))


@given('a command and "programs" that takes 2 slots')
def add_others(context):
    context.jobs += [make_command_job("the command"), _make_job("programs", slots=2)]


@when('they are ordered with "d" and "b" as the longest')
def order(context):
    context.order = [job.name for job in order_jobs(context.jobs, ["d", "b"])]


@then('the order is "programs", the command, "d", "b", "new", "a", "c"')
def check_order(context):
    expected = ["programs", "the command", "d", "b", "new", "a", "c"]
    assert context.order == expected, context.order


@then("each name on the list of the longest is a scenario's")
def check_longest(context):
    unknown = set(read_longest(LONGEST_FILE)) - read_names(_TESTS)
    assert not unknown, unknown


@given('the results "a" passed and "b" {verdict:w}')
def add_results(context, verdict):
    context.known_red = {}
    context.results = [
        _make_result(_make_job("a"), Verdict.PASSED),
        _make_result(_make_job("b"), Verdict(verdict)),
    ]


@given('"{name}" is listed as known red')
def add_known_red(context, name):
    context.known_red[name] = f"{name} | cause | issue"


@given('the command "{command}" {verdict:w}')
def add_command(context, command, verdict):
    if "results" not in context:
        context.results = []
        context.known_red = {}
    result = _make_result(make_command_job(command), Verdict(verdict))
    context.results.append(result)


@then('the last line is "{line}" and the status is {status:d}')
def check_total(context, line, status):
    context.summary = summarize(context.results, context.known_red, {"a", "b"})
    assert context.summary.lines[-1] == line, context.summary
    assert context.summary.status == status, context.summary


@then('a line is "{line}"')
def check_line(context, line):
    assert line in context.summary.lines, context.summary


def _make_job(name, **extra):
    return Job(kind=JobKind.SCENARIO, name=name, run=lambda: Verdict.PASSED, **extra)


def _make_result(job, verdict):
    second = timedelta(seconds=1)
    return Result(
        job=job, verdict=verdict, duration=second, processor_time=second, output=""
    )
