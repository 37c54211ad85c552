"""Steps on attributing jobs' time by their log lines."""

from __future__ import annotations

import json
import math
import tempfile
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from coltsfoottray.cli.main import app
from coltsfoottray.explain.history import History
from coltsfoottray.explain.logfiles import read_lines
from coltsfoottray.explain.losses import Part, find_losses
from tests.steps.job_steps import make_world, submit
from tests.support.job_world import job_id
from tests.support.log_lines import record_log_lines


@given("two entries and {count:d} workers for jobs, whose log lines are recorded")
def make_logged_world(context, count):
    make_world(context, count)
    context.messages = []

    def record(message):
        # eliot stamps messages with the wall clock; the scenario runs on virtual time.
        context.messages.append({**message, "timestamp": context.world.now()})

    record_log_lines(context, record)


@when(
    'the scheduler is killed just before the job "{label}" of 1 task of 1 s is '
    "submitted"
)
def kill_scheduler(context, label):
    name = context.world.cell.scheduler()
    context.world.kill_daemon(name)
    submit_at_other(context, label, name)


@when(
    'the scheduler freezes just before the job "{label}" of 1 task of 1 s is submitted'
)
def freeze_scheduler(context, label):
    name = context.world.cell.scheduler()
    context.world.fabric.faults(name).pause()
    submit_at_other(context, label, name)


def submit_at_other(context, label, name):
    cell = context.world.cell
    other = next(each for each in cell.entry_by_name if each != name)
    submit(context, label, 1, 1, 1, other)


@given("log lines of a job whose task failed after 2 s and then took 3 s at half speed")
def write_failed(context):
    context.messages = [
        _line(10.0, "decision:submit", job="aa", queue="q", verdict="done"),
        _line(10.0, "decision:place", step="aa.0.0", workers=["0@w"], waiting=0),
        _line(10.0, "worker:started", run="aa.0.0.0#1"),
        _line(12.0, "decision:ends", ends=["aa.0.0.0#1 failed"]),
        _line(12.0, "decision:place", step="aa.0.0", workers=["0@w"], waiting=0),
        _line(12.0, "worker:started", run="aa.0.0.0#2"),
        _line(12.0, "decision:pace", run="aa.0.0.0#2", percent=50.0),
        _line(15.0, "decision:ends", ends=["aa.0.0.0#2 done"]),
        _line(15.0, "decision:completed", job="aa"),
    ]


@given("log lines of a job whose cancellation was refused after 1 s and which took 3 s")
def write_refused_cancellation(context):
    context.messages = [
        _line(10.0, "decision:submit", job="aa", queue="q", verdict="done"),
        _line(10.0, "decision:place", step="aa.0.0", workers=["0@w"], waiting=0),
        _line(10.0, "worker:started", run="aa.0.0.0#1"),
        _line(11.0, "decision:cancel", job="aa", verdict="not-done"),
        _line(13.0, "decision:ends", ends=["aa.0.0.0#1 done"]),
        _line(13.0, "decision:completed", job="aa"),
    ]


@given("a line about the placement of a batch task")
def add_batch_task(context):
    context.messages.append(_line(11.0, "decision:place", task="t", worker="w"))


@given("log lines of a service that was stopped after 4 s and started again 1 s later")
def write_service(context):
    place = {"step": "aa.0.0", "workers": ["0@w"], "waiting": 0, "lasts": True}
    context.messages = [
        _line(10.0, "decision:submit", job="aa", queue="q", verdict="done"),
        _line(10.0, "decision:place", **place),
        _line(10.0, "worker:started", run="aa.0.0.0#1"),
        _line(14.0, "decision:ends", ends=["aa.0.0.0#1 stopped"]),
        _line(14.5, "decision:place", **place),
        _line(15.0, "worker:started", run="aa.0.0.0#2"),
        _line(17.0, "decision:cancel", job="aa"),
    ]


@given("log lines of a job without those of its worker")
def write_without_worker(context):
    context.messages = [
        _line(10.0, "decision:submit", job="aa", queue="q", verdict="done"),
        _line(10.0, "decision:place", step="aa.0.0", workers=["0@w"], waiting=0),
        _line(15.0, "decision:ends", ends=["aa.0.0.0#1 done"]),
        _line(15.0, "decision:completed", job="aa"),
    ]


@given("a truncated line after them")
def add_truncated_line(context):
    context.truncated_line = '{"timestamp": 15.1, "message_'


@when("the time of jobs is computed from these lines")
def compute_losses(context):
    lines = read_lines([_write_file(context)]).lines
    context.losses = find_losses(History(lines))


def _write_file(context):
    path = Path(tempfile.mkdtemp()) / "process.log"
    lines = [json.dumps(message, default=str) for message in context.messages]
    path.write_text("\n".join([*lines, getattr(context, "truncated_line", "")]))
    return path


@when('"losses" is called with the log file')
def call_command(context):
    _call(context, str(_write_file(context)))


@when('"losses" is called with the log file and "--json"')
def call_for_json(context):
    _call(context, str(_write_file(context)), "--json")


@when('"losses" is called with the log file and a plot to write')
def call_for_plot(context):
    file = _write_file(context)
    context.plot_path = file.with_suffix(".svg")
    _call(context, str(file), "--plot", str(context.plot_path))


@then('the plot names the queue "{queue}" and the parts "{one}" and "{two}"')
def check_plot(context, queue, one, two):
    assert context.result.exit_code == 0, context.result.output
    # Texts are drawn as outlines; matplotlib adds each of them as a comment.
    texts = context.plot_path.read_text()
    for text in (queue, one, two):
        assert f"<!-- {text} -->" in texts, text


@when('"losses" is called with the file "{name}"')
def call_with_file(context, name):
    _call(context, name)


def _call(context, file, *options):
    context.result = CliRunner().invoke(app, ["losses", "--logs", file, *options])


@then('it prints "{text}"')
def check_printed(context, text):
    assert context.result.exit_code == 0, context.result.output
    assert text in context.result.output, context.result.output


@then('it fails with "{text}"')
def check_failed(context, text):
    assert context.result.exit_code == 2, context.result.exit_code
    assert text in context.result.output, context.result.output


@then('the JSON object says that the job "{name}" spent {seconds:g} s on "{part}"')
def check_json(context, name, seconds, part):
    reported = json.loads(context.result.output)
    job = next(job for job in reported["jobs"] if job["id"] == name)
    assert job["seconds_by_part"][part] == seconds, job


@then(
    'by the log lines the job "{label}" lost {min_s:g} to {max_s:g} s to "{part}" '
    "and ran for {seconds:d} s"
)
def check_lost(context, label, min_s, max_s, part, seconds):
    compute_losses(context)
    spent = _job(context, job_id(label)).seconds_by_part
    assert min_s <= spent[Part(part)] <= max_s, dict(spent)
    assert math.isclose(spent[Part.RUNNING], seconds, abs_tol=0.2), dict(spent)


@then(
    'the job "{job}" spent {first:g} s on "{one}", {second:g} s on "{two}" and '
    '{third:g} s on "{three}"'
)
def check_three(context, job, first, one, second, two, third, three):
    for seconds, part in ((first, one), (second, two), (third, three)):
        check_spent(context, job, seconds, part)


@then('the job "{job}" spent {seconds:g} s on "{part}"')
def check_spent(context, job, seconds, part):
    spent = _job(context, job).seconds_by_part
    assert math.isclose(spent[Part(part)], seconds, abs_tol=1e-6), dict(spent)


@then("the parts of each job add up to its total time")
def check_sums(context):
    assert context.losses.jobs
    for job in context.losses.jobs:
        total = sum(job.seconds_by_part.values())
        assert math.isclose(total, job.total_s, abs_tol=1e-6), job
    windows = context.losses.seconds_by_window.values()
    reported = sum(sum(seconds.values()) for seconds in windows)
    total = sum(job.total_s for job in context.losses.jobs)
    assert math.isclose(reported, total, abs_tol=1e-6), (reported, total)


def _job(context, name):
    return next(job for job in context.losses.jobs if job.id == name)


def _line(timestamp, event, **fields):
    return {"timestamp": timestamp, "message_type": event, **fields}
