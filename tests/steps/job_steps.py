"""Steps about jobs in an in-memory world."""

from __future__ import annotations

import base64
import json
from collections import Counter

from behave import given, step, then, when

from coltsfoottray.clock import Clock, as_milliseconds
from coltsfoottray.daemons.common import CLOCK
from tests.support.job_world import JobWorld, job_id, make_steps


@given("two entries and {count:d} workers for jobs")
def make_world(context, count):
    context.world = JobWorld(workers=count)
    context.closers.append(context.world.close)
    context.world.wait_until(lambda: context.world.cell.scheduler() != "")
    context.world.advance(3)


@step(
    'the job "{label}" of {steps:d} steps with {tasks:d} tasks of {seconds:d} s '
    "is submitted at {entry}"
)
def submit(context, label, steps, tasks, seconds, entry):
    if entry == "the other entry":
        entry = _other_entry(context)
    if entry == "the new scheduler":
        entry = context.world.cell.scheduler()
    if entry == "that entry":
        entry = context.scheduler
    shape = make_steps(steps, tasks, seconds)
    status = context.world.submit_job(entry, label, shape, work_s=seconds)
    assert status == 200, status


@when(
    'the job "{label}" of {tasks:d} small tasks of {seconds:d} s '
    "is submitted at {entry}"
)
def submit_small(context, label, tasks, seconds, entry):
    shape = make_steps(1, tasks, seconds, cpu=10)
    status = context.world.submit_job(entry, label, shape, work_s=seconds)
    assert status == 200, status


@when(
    'the failing job "{label}" of {steps:d} steps with {tasks:d} tasks of '
    "{seconds:d} s is submitted at {entry}"
)
def submit_failing(context, label, steps, tasks, seconds, entry):
    shape = make_steps(steps, tasks, seconds)
    status = context.world.submit_job(entry, label, shape, work_s=seconds, fails=True)
    assert status == 200, status


@when(
    'the checkpointing job "{label}" of {steps:d} steps with {tasks:d} tasks of '
    "{seconds:d} s is submitted at {entry}"
)
def submit_checkpointing(context, label, steps, tasks, seconds, entry):
    shape = make_steps(steps, tasks, seconds, checkpointing=True)
    status = context.world.submit_job(entry, label, shape, work_s=seconds, saves=True)
    assert status == 200, status


@when(
    'the long-running job "{label}" of {steps:d} steps with {tasks:d} tasks of '
    "{seconds:d} s is submitted at {entry}"
)
def submit_long_running(context, label, steps, tasks, seconds, entry):
    shape = make_steps(steps, tasks, seconds, longRunning=True)
    status = context.world.submit_job(entry, label, shape, lasts=True)
    assert status == 200, status


@when('the gang "{label}" of {tasks:d} tasks of {seconds:d} s is submitted at {entry}')
def submit_gang(context, label, tasks, seconds, entry):
    shape = make_steps(1, tasks, seconds, gang=True)
    status = context.world.submit_job(entry, label, shape, work_s=seconds)
    assert status == 200, status


@when(
    'the failing gang "{label}" of {tasks:d} tasks of {seconds:d} s '
    "is submitted at {entry}"
)
def submit_failing_gang(context, label, tasks, seconds, entry):
    shape = make_steps(1, tasks, seconds, gang=True)
    status = context.world.submit_job(entry, label, shape, work_s=seconds, fails=True)
    assert status == 200, status


@when(
    'the job "{label}" is submitted at {entry} to run {times:d} times, '
    "every {seconds:d} s"
)
def submit_repeated(context, label, entry, times, seconds):
    world = context.world
    clock = world.cell.entry_by_name[entry].kernel.find(CLOCK, Clock)

    async def read():
        return as_milliseconds(clock.now())

    context.first_ms = world.run(read) + 2000
    context.started_at = world.now() + 2.0
    context.interval_s = seconds
    body = {
        "spec": json.dumps({"work_s": 0.5}),
        "steps": make_steps(1, 1, 1),
        "repetitions": times,
        "firstRunMs": context.first_ms,
        "intervalMs": seconds * 1000,
    }
    assert world.call("POST", entry, job_id(label), body).status == 200
    context.start_by_occurrence = {}
    observer = world.cell.observer
    begin = observer.begin

    def record_start(task, run, worker, **details):
        context.start_by_occurrence[int(task.split(".")[1])] = world.now()
        begin(task, run, worker, **details)

    observer.begin = record_start


@then('each occurrence of "{label}" began at its time')
def check_times(context, label):
    assert len(context.start_by_occurrence) == 3, context.start_by_occurrence
    for number, started_at in context.start_by_occurrence.items():
        due = context.started_at + number * context.interval_s
        assert started_at >= due, (
            f"occurrence {number} began {due - started_at} s early"
        )
        assert started_at < due + 0.2, (
            f"occurrence {number} began {started_at - due} s late"
        )


@step("{seconds:d} s pass")
def let_seconds_pass(context, seconds):
    context.world.advance(seconds)


@step("{milliseconds:d} ms pass")
def let_milliseconds_pass(context, milliseconds):
    context.world.advance(milliseconds / 1000)


@when("{count:d} jobs of {tasks:d} task of {seconds:d} s are submitted, one a second")
def submit_series(context, count, tasks, seconds):
    for number in range(count):
        submit(context, f"s{number}", 1, tasks, seconds, "entry-1")
        context.world.advance(1)


@when("{count:d} jobs of 1 task are submitted over {seconds:d} s")
def submit_stream(context, count, seconds):
    context.scheduler = context.world.cell.scheduler()
    for number in range(count):
        submit(context, f"n{number}", 1, 1, 1, "entry-1")
        context.world.advance(seconds / count)


@then(
    'the summary of the job "{label}" was written at most {count:d} times, '
    "{size:d} bytes at most"
)
def check_summary_writes(context, label, count, size):
    metadata_table = context.world.cell.metadata_table
    written = [
        change
        for change in metadata_table.changes
        if change.ref.table == "state"
        and change.ref.part == "scheduler"
        and change.ref.key.endswith(job_id(label))
    ]
    assert 0 < len(written) <= count, len(written)
    sizes = [len(base64.b64decode(change.value)) for change in written]
    assert max(sizes) <= size, sizes


@then("the scheduler has not changed")
def check_scheduler(context):
    row = context.world.cell.metadata_table.value_of("state", "scheduler", "lease")
    assert row["epoch"] == 1, row


@then("all {count:d} jobs are completed within {seconds:d} s")
def wait_for_series(context, count, seconds):
    for number in range(count):
        wait_for_state(context, f"s{number}", "completed", seconds)


@step('the operator moves the queue to the path "{path}"')
def move_queue(context, path):
    async def write():
        context.world.cell.write_config(pathPrefix=path)

    context.world.run(write)


@step('the job "{label}" is cancelled at {entry} with status {status:d}')
def cancel(context, label, entry, status):
    if entry == "the scheduler":
        entry = context.world.cell.scheduler()
    if entry == "the other entry":
        entry = _other_entry(context)
    answered = context.world.cancel_job(entry, label)
    assert answered == status, answered


@then('the job "{label}" is "{state}" within {seconds:d} s at the other entry')
def wait_for_state_elsewhere(context, label, state, seconds):
    _wait_for_state(context, _other_entry(context), label, state, seconds)


@then('the job "{label}" is "{state}" within {seconds:d} s')
def wait_for_state(context, label, state, seconds):
    running = [
        name
        for name in context.world.cell.entry_by_name
        if name not in context.world.cell.killed
    ]
    _wait_for_state(context, running[0], label, state, seconds)


def _wait_for_state(context, entry, label, state, seconds):
    deadline = context.world.now() + seconds
    seen = ""
    while seen != state:
        assert context.world.now() < deadline, f"{label} is {seen}, not {state}"
        context.world.advance(0.25)
        seen = context.world.state_of(entry, label)


@then('the state of the job "{label}" at {entry} is "{state}"')
def check_state(context, label, entry, state):
    seen = context.world.state_of(entry, label)
    assert seen == state, seen


@then(
    'the job "{label}" of {steps:d} steps with {tasks:d} tasks of {seconds:d} s '
    "is refused at {entry}"
)
def check_refused(context, label, steps, tasks, seconds, entry):
    started_at = context.world.now()
    answer = context.world.call(
        "POST",
        entry,
        job_id(label),
        {"spec": "{}", "steps": make_steps(steps, tasks, seconds)},
    )
    assert answer.status == 503, answer.status
    assert int(answer.header_by_name["retry-after"]) >= 1
    context.answer = answer
    context.refused_after_s = context.world.now() - started_at
    assert context.refused_after_s < 0.5, f"after {context.refused_after_s} s"


@then("the refusal took less than {milliseconds:d} ms")
def check_refusal_time(context, milliseconds):
    assert context.refused_after_s * 1000 < milliseconds, context.refused_after_s


@step(
    'the job "{label}" of {steps:d} steps with {tasks:d} tasks of {seconds:d} s '
    "is answered {status:d} at {entry}"
)
def check_answer(context, label, steps, tasks, seconds, status, entry):
    if entry == "that entry":
        entry = context.scheduler
    shape = make_steps(steps, tasks, seconds)
    answered = context.world.submit_job(entry, label, shape, work_s=seconds)
    assert answered == status, answered


@then(
    'the job "{label}" submitted at {entry} with {milliseconds:d} ms left '
    "is answered {status:d}"
)
def check_late_answer(context, label, entry, milliseconds, status):
    body = {"spec": json.dumps({"work_s": 1}), "steps": make_steps(1, 1, 1)}
    answer = context.world.call(
        "POST", entry, job_id(label), body, deadline_ms=milliseconds
    )
    assert answer.status == status, answer.status


@then(
    'the job "{label}" of {steps:d} steps with {tasks:d} tasks of {seconds:d} s '
    "is not found at {entry}"
)
def check_not_found(context, label, steps, tasks, seconds, entry):
    shape = make_steps(steps, tasks, seconds)
    status = context.world.submit_job(entry, label, shape, work_s=seconds)
    assert status == 404, status


@then('a job whose step comes after itself is rejected naming "{field}"')
def check_invalid(context, field):
    body = {"spec": "", "steps": [{"count": 1, "after": [0]}]}
    answer = context.world.call("POST", "entry-1", job_id("bad"), body)
    assert answer.status == 400, answer.status
    assert field in answer.body.decode(), answer.body
    assert context.world.state_of("entry-1", "bad") == "410"


@then("{count:d} tasks were started, each once")
def check_starts(context, count):
    starts = context.world.cell.observer.starts
    by_task = Counter(task for task, _, _ in starts)
    assert len(by_task) == count, starts
    assert all(number == 1 for number in by_task.values()), by_task


@then("{count:d} tasks were started in total")
def check_all_starts(context, count):
    starts = context.world.cell.observer.starts
    assert len(starts) == count, starts


@then('the task of "{label}" was started {count:d} times')
def check_starts_of(context, label, count):
    starts = [
        each
        for each in context.world.cell.observer.starts
        if each[0].startswith(job_id(label))
    ]
    assert len(starts) == count, starts


@then('no task of "{label}" was started')
def check_no_start(context, label):
    check_starts_of(context, label, 0)


@then('the store holds no row of "{label}"')
def check_no_rows(context, label):
    rows = context.world.cell.metadata_table.current_by_ref
    held = [ref for ref in rows if job_id(label) in ref.key]
    assert not held, held


@then("nothing runs")
def check_idle(context):
    check_running(context, 0)


@then("{count:d} tasks run")
def check_running(context, count):
    workers = context.world.cell.worker_by_name.values()
    running = [task for worker in workers for task in worker.run_by_task]
    assert len(running) == count, running


@then("no task ran twice at the same time or after its end")
def check_violations(context):
    violations = context.world.cell.observer.violations
    assert not violations, violations


def _other_entry(context):
    names = [name for name in context.world.cell.entry_by_name]
    return next(name for name in names if name != context.scheduler)


@then("{entry} counts {count:d} pending jobs")
def check_pending(context, entry, count):
    if entry == "the other entry":
        entry = _other_entry(context)
    response = context.world.call("GET", entry, "")
    assert json.loads(response.body) == {"pending": count}, response
