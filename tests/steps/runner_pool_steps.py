"""Steps on jobs in processes of their own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from datetime import timedelta
from pathlib import Path

from behave import given, then, when

from tests.runner.jobs import Job, JobKind, Verdict
from tests.runner.pool import run_jobs

_PRINTS = 20
# Reached only by a program that was not ended.
_END_TIMEOUT_S = 30.0
_SLEEP_S = 600.0


@given('the job "{name}" whose process exits with status 0')
def add_exit(context, name):
    _add(context, name, lambda: os._exit(0))


@given('the job "{name}" whose process is killed')
def add_kill(context, name):
    _add(context, name, lambda: os.kill(os.getpid(), signal.SIGKILL))


@given('the job "{name}" that passes')
def add_pass(context, name):
    _add(context, name, lambda: Verdict.PASSED)


@given('the job "{name}" that raises')
def add_raise(context, name):
    def fail():
        raise RuntimeError("broken")

    _add(context, name, fail)


@given(
    'the job "{name}" that starts a program and sleeps, with a limit of {limit_s:d} s'
)
def add_hang(context, name, limit_s):
    def hang():
        _start_program(context)
        time.sleep(_SLEEP_S)

    _make_folder(context)
    _add(context, name, hang, time_limit=timedelta(seconds=limit_s))


@given('the job "{name}" that starts a program and passes')
def add_leave(context, name):
    def leave():
        _start_program(context)
        return Verdict.PASSED

    _make_folder(context)
    _add(context, name, leave)


@given("{count:d} jobs that print their names in turns")
def add_prints(context, count):
    def make_print(name):
        def print_often():
            for _ in range(_PRINTS):
                os.write(1, f"{name}\n".encode())
                time.sleep(0.01)
            return Verdict.PASSED

        return print_often

    for number in range(count):
        _add(context, f"job {number}", make_print(f"job {number}"))


@given('the job "{name}" that takes {slots:d} slots')
def add_wide(context, name, slots):
    _add_measured(context, name, slots)


@given("{count:d} jobs that take 1 slot")
def add_narrow(context, count):
    for number in range(count):
        _add_measured(context, f"narrow {number}", 1)


@when("the jobs run in {slots:d} slots")
def run(context, slots):
    results = run_jobs(context.jobs, slots)
    context.result_by_name = {result.job.name: result for result in results}


@then('"{name}" died: "{reason}"')
def check_death(context, name, reason):
    result = context.result_by_name[name]
    assert result.verdict is Verdict.DIED, result
    assert result.reason == reason, result


@then('"{name}" is {verdict:w}')
def check_verdict(context, name, verdict):
    result = context.result_by_name[name]
    assert result.verdict is Verdict(verdict), result


@then('the output of "{name}" contains "{text}"')
def check_output(context, name, text):
    assert text in context.result_by_name[name].output, context.result_by_name[name]


@then('the program that "{name}" started has ended')
def check_program(context, name):
    process = Path("/proc") / (context.folder / "pid").read_text()
    deadline = time.monotonic() + _END_TIMEOUT_S
    while _is_running(process):
        assert time.monotonic() < deadline, f"{process} still runs"
        time.sleep(0.05)


@then("each job's output has its own name only")
def check_outputs(context):
    for name, result in context.result_by_name.items():
        assert result.output == f"{name}\n" * _PRINTS, result


@then("at most {most:d} slots were taken at a time")
def check_slots(context, most):
    assert len(context.result_by_name) == len(context.jobs)
    changes = []
    for path in context.folder.iterdir():
        slots, started_at, ended_at = path.read_text().split()
        changes += [(float(started_at), int(slots)), (float(ended_at), -int(slots))]
    taken = 0
    for _, change in sorted(changes):
        taken += change
        assert taken <= most, changes


def _add(context, name, run, **extra):
    if "jobs" not in context:
        context.jobs = []
    context.jobs.append(Job(kind=JobKind.SCENARIO, name=name, run=run, **extra))


def _add_measured(context, name, slots):
    path = _make_folder(context) / name

    def measure():
        started_at = time.monotonic()
        time.sleep(0.1)
        path.write_text(f"{slots} {started_at} {time.monotonic()}")
        return Verdict.PASSED

    _add(context, name, measure, slots=slots)


def _start_program(context):
    sleep = f"import time; time.sleep({_SLEEP_S})"
    program = subprocess.Popen([sys.executable, "-c", sleep])
    (context.folder / "pid").write_text(str(program.pid))


def _make_folder(context):
    if "folder" not in context:
        context.folder = Path(tempfile.mkdtemp())
    return context.folder


def _is_running(process):
    """Return whether a process runs; one that nobody has waited for does not."""
    try:
        state = (process / "stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"
