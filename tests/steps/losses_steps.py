"""Steps on where log lines say that jobs' time went."""

from __future__ import annotations

import json
import math
import tempfile
from pathlib import Path

import eliot
from behave import given, then, when
from typer.testing import CliRunner

from coltsfoottray.cli.main import app
from coltsfoottray.explain.history import History
from coltsfoottray.explain.logfiles import read_lines
from coltsfoottray.explain.losses import Part, find_losses
from tests.steps.job_steps import make_world, submit
from tests.support.job_world import job_id


@given("two entries and {count:d} workers for jobs, whose lines are kept")
def make_logged_world(context, count):
    make_world(context, count)
    context.kept = []

    def keep(message):
        # Lines are stamped with the wall clock, and the world has its own.
        context.kept.append({**message, "timestamp": context.world.now()})

    eliot.add_destinations(keep)
    context.closers.append(lambda: eliot.remove_destination(keep))


@when('the scheduler dies just before the job "{label}" of 1 task of 1 s is submitted')
def lose_scheduler(context, label):
    cell = context.world.cell
    name = cell.scheduler()
    context.world.kill_daemon(name)
    other = next(each for each in cell.entry_by_name if each != name)
    submit(context, label, 1, 1, 1, other)


@given("log lines of a job whose task failed after 2 s and then took 3 s at half speed")
def write_failed(context):
    context.kept = [
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


@given("log lines of a service that was stopped after 4 s and started again 1 s later")
def write_service(context):
    place = {"step": "aa.0.0", "workers": ["0@w"], "waiting": 0, "lasts": True}
    context.kept = [
        _line(10.0, "decision:submit", job="aa", queue="q", verdict="done"),
        _line(10.0, "decision:place", **place),
        _line(10.0, "worker:started", run="aa.0.0.0#1"),
        _line(14.0, "decision:ends", ends=["aa.0.0.0#1 stopped"]),
        _line(14.5, "decision:place", **place),
        _line(15.0, "worker:started", run="aa.0.0.0#2"),
        _line(17.0, "decision:cancel", job="aa"),
    ]


@given("log lines of a job without those of its worker")
def write_missing(context):
    context.kept = [
        _line(10.0, "decision:submit", job="aa", queue="q", verdict="done"),
        _line(10.0, "decision:place", step="aa.0.0", workers=["0@w"], waiting=0),
        _line(15.0, "decision:ends", ends=["aa.0.0.0#1 done"]),
        _line(15.0, "decision:completed", job="aa"),
    ]


@given("half a line behind them")
def add_half_line(context):
    context.half = '{"timestamp": 15.1, "message_'


@when("the time of jobs is told from them")
def tell(context):
    lines = read_lines([_write_file(context)]).lines
    context.losses = find_losses(History(lines))


def _write_file(context):
    path = Path(tempfile.mkdtemp()) / "process.log"
    lines = [json.dumps(message, default=str) for message in context.kept]
    path.write_text("\n".join([*lines, getattr(context, "half", "")]))
    return path


@when('"losses" is called with their file')
def call_command(context):
    _call(context, str(_write_file(context)))


@when('"losses" is called with their file and "--json"')
def call_for_machines(context):
    _call(context, str(_write_file(context)), "--json")


@when('"losses" is called with their file and a picture to draw')
def call_to_draw(context):
    file = _write_file(context)
    context.picture = file.with_suffix(".svg")
    _call(context, str(file), "--plot", str(context.picture))


@then('the picture names the queue "{queue}" and the parts "{one}" and "{two}"')
def check_picture(context, queue, one, two):
    assert context.result.exit_code == 0, context.result.output
    # The letters are drawn as outlines; each text stands beside them as a comment.
    texts = context.picture.read_text()
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


@then('its object says that the job "{name}" spent {seconds:g} s on "{part}"')
def check_object(context, name, seconds, part):
    told = json.loads(context.result.output)
    job = next(job for job in told["jobs"] if job["id"] == name)
    assert job["seconds_by_part"][part] == seconds, job


@then(
    'by the lines the job "{label}" lost {least:d} to {most:d} s to "{part}", '
    "and ran {seconds:d} s"
)
def check_lost(context, label, least, most, part, seconds):
    tell(context)
    spent = _job(context, job_id(label)).seconds_by_part
    assert least <= spent[Part(part)] <= most, dict(spent)
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


@then("the parts of every job add up to its time")
def check_sums(context):
    assert context.losses.jobs
    for job in context.losses.jobs:
        total = sum(job.seconds_by_part.values())
        assert math.isclose(total, job.total_s, abs_tol=1e-6), job
    windows = context.losses.seconds_by_window.values()
    told = sum(sum(seconds.values()) for seconds in windows)
    total = sum(job.total_s for job in context.losses.jobs)
    assert math.isclose(told, total, abs_tol=1e-6), (told, total)


def _job(context, name):
    return next(job for job in context.losses.jobs if job.id == name)


def _line(stamp, event, **fields):
    return {"timestamp": stamp, "message_type": event, **fields}
