"""Steps on reading log files and writing log lines."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from coltsfoottray.cli.main import app
from coltsfoottray.explain.logfiles import read_lines_about
from coltsfoottray.logs import LineWriter


def _folder(context):
    if not hasattr(context, "folder"):
        context.folder = Path(tempfile.mkdtemp())
    return context.folder


def _line(timestamp, event, **fields):
    return json.dumps({"timestamp": timestamp, "message_type": event, **fields})


@given('a log file "{name}" with lines about the jobs "{first}" and "{second}"')
def write_entry_log(context, name, first, second):
    lines = [
        _line(10.0, "decision:submit", job=first, verdict="done"),
        _line(11.0, "decision:submit", job=second, verdict="done"),
        _line(12.0, "decision:completed", job=first),
    ]
    (_folder(context) / name).write_text("\n".join(lines) + "\n")


@given('a log file "{name}" with an earlier line about "{job}" and a truncated line')
def write_worker_log(context, name, job):
    complete = _line(9.0, "worker:started", run=f"{job}.0.0.0#1")
    truncated = _line(13.0, "worker:stopped", run=f"{job}.0.0.0#1")[:40]
    (_folder(context) / name).write_text(f"{complete}\n{truncated}")


@given('a log file "{name}" of a collector with a line of "{process}" about "{job}"')
def write_collected_log(context, name, process, job):
    line = _line(9.0, "worker:started", run=f"{job}.0.0.0#1")
    (_folder(context) / name).write_text(f" -0.5000 {process} {line}\n")


@given('a log file "{name}" that holds the text "{text}"')
def write_other_file(context, name, text):
    context.log_path = _folder(context) / name
    context.log_path.write_text(f"{text}\n")


@when("the losses by this file are shown")
def show_losses(context):
    context.result = CliRunner().invoke(app, ["losses", str(context.log_path)])


@then('the command fails and names "{count}" and "{text}"')
def check_failure(context, count, text):
    assert context.result.exit_code == 1, context.result
    assert count in context.result.output, context.result.output
    assert text in context.result.output, context.result.output


@then('the line is one of "{process}"')
def check_source(context, process):
    assert [line.source for line in context.lines] == [process], context.lines


@when('the lines about "{job}" are read from both files')
def search(context, job):
    context.lines = read_lines_about(job, sorted(_folder(context).iterdir()))


@then('the events are "{first}", "{second}", "{third}"')
def check_events(context, first, second, third):
    events = [line.event for line in context.lines]
    assert events == [first, second, third], events


@then("there are no events")
def check_no_events(context):
    assert context.lines == []


_ENTRY_SETTINGS = """
role: entry
name: entry-1
data_centre: caerdydd
http: 127.0.0.1:1
peers: 127.0.0.1:2
claims: 127.0.0.1:3
table: 127.0.0.1:4
objects: 127.0.0.1:4
"""
_LOG_LINES = """
import gc, sys
from coltsfoottray.logs import log_event, start_logging
from coltsfoottray.settings import LogSettings

start_logging(LogSettings(), file=sys.argv[1])
for number in range(int(sys.argv[2])):
    gc.collect()
    log_event("test:line", number=number)
"""


@when("a process logs {count:d} lines to a file")
def log_to_file(context, count):
    context.path = _folder(context) / "process.log"
    command = [sys.executable, "-c", _LOG_LINES, str(context.path), str(count)]
    subprocess.run(command, check=True)


@then("the file has {count:d} lines")
def check_file(context, count):
    lines = context.path.read_text().splitlines()
    assert [json.loads(line)["number"] for line in lines] == list(range(count)), lines


@when('an entry is started with the log {option} "{value}"')
def start_with_option(context, option, value):
    settings = _folder(context) / "entry.yaml"
    settings.write_text(_ENTRY_SETTINGS)
    flag = f"--log-{option}"
    context.result = CliRunner().invoke(app, ["entry", str(settings), flag, value])


@then('it exits with {code:d} and "{text}"')
def check_exit(context, code, text):
    result = context.result
    assert result.exit_code == code, result
    assert text in result.output, result.output


@given("a pipe that nobody reads")
def make_pipe(context):
    context.reader, writer = os.pipe()
    context.closers.append(lambda: os.close(context.reader))
    context.closers.append(lambda: os.close(writer))
    context.seconds = 0.0
    context.writer = LineWriter(descriptor=writer, monotonic=lambda: context.seconds)


@when("{count:d} log lines are written to it")
def write_lines(context, count):
    for _ in range(count):
        context.seconds += 0.01
        context.writer.write(b"x" * 100)


@then("lines are dropped and no write blocks")
def check_dropped(context):
    assert context.writer.dropped > 0


@when("the pipe is emptied and one more line is written")
def empty_pipe(context):
    os.set_blocking(context.reader, False)
    context.seconds += 1.0
    context.read = b""
    for _ in range(50):
        try:
            context.read += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            context.writer.write(b"one more")


@then("the pipe contains the number of dropped lines")
def check_dropped_count(context):
    assert b'"message_type":"log:dropped"' in context.read
