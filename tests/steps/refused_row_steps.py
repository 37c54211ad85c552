"""Steps about writes that the store refuses for themselves."""

from __future__ import annotations

from collections import Counter

import msgspec
from behave import step, then, when

from coltsfoottray.jobs.keys import accepted_key, cancel_key, record_key, summary_key
from tests.support.job_world import job_id, make_steps
from tests.support.log_lines import record_log_lines

_KEY_BY_ROW = {
    "record": record_key,
    "summary": summary_key,
    "acceptance": accepted_key,
    "cancellation": cancel_key,
}


@step('the store refuses each write of "{row}" from now on')
def refuse_row(context, row):
    context.world.cell.metadata_table.refused_keys.add(row)


@step('the store refuses each write of the {row} of the job "{label}"')
def refuse_job_row(context, row, label):
    context.messages = []
    record_log_lines(context, context.messages.append)
    refuse_row(context, _KEY_BY_ROW[row](job_id(label)))


@step('the store refuses each deletion of the acceptance of the job "{label}"')
def refuse_deletion(context, label):
    table = context.world.cell.metadata_table
    table.undeletable_keys.add(accepted_key(job_id(label)))


@step("the store refuses nothing any more")
def refuse_nothing(context):
    context.world.cell.metadata_table.refused_keys.clear()


@when("a worker and an entry restart")
def restart_some(context):
    world = context.world
    workers = world.cell.worker_by_name.values()
    idle = next(worker for worker in workers if not worker.run_by_task)

    async def crash():
        idle.crash()

    world.run(crash)
    entries = world.cell.entry_by_name
    other = next(name for name in entries if name != world.cell.scheduler())
    world.kill_daemon(other)
    world.restart_daemon(other)
    world.advance(4)


@then("no entry takes itself for the scheduler")
def check_no_scheduler(context):
    entries = context.world.cell.entry_by_name
    active = [name for name, entry in entries.items() if entry.scheduler.active]
    assert not active, active


@then("the store was asked at most {count:d} times for what it refuses")
def check_refused_calls(context, count):
    refused = context.world.cell.metadata_table.refused
    assert 0 < refused <= count, refused


@then('the log tells that the job "{label}" is withheld')
def check_withheld_line(context, label):
    lines = [
        each
        for each in context.messages
        if each["message_type"] == "decision:withhold" and each["job"] == job_id(label)
    ]
    assert lines
    assert "status 400" in lines[0]["reason"], lines[0]


@then(
    'the log tells at most {count:d} times that tasks of the job "{label}" are placed'
)
def check_placements(context, count, label):
    context.placed = [
        f"{each['step']}.{text.partition('@')[0]}"
        for each in context.messages
        if each["message_type"] == "decision:place"
        and each["step"].startswith(job_id(label))
        for text in each["workers"]
    ]
    rounds = Counter(context.placed)
    assert 0 < max(rounds.values()) <= count, rounds


@then("the log tells of each that it is withdrawn")
def check_withdrawals(context):
    withdrawn = [
        each["run"].partition("#")[0]
        for each in context.messages
        if each["message_type"] == "decision:withdraw"
    ]
    assert Counter(withdrawn) == Counter(context.placed), (withdrawn, context.placed)


@then('the log tells that the job "{label}" is stored again')
def check_stored_line(context, label):
    assert any(
        each["message_type"] == "decision:stored-again" and each["job"] == job_id(label)
        for each in context.messages
    )


@then("the refusal names {seconds:d} s as the time to come back")
def check_return_time(context, seconds):
    assert context.answer.header_by_name["retry-after"] == str(seconds)


@when("a job with a payload of {size:d} bytes is submitted at {entry}")
def submit_large(context, size, entry):
    body = {"spec": "x" * size, "steps": make_steps(1, 1, 1)}
    context.answer = context.world.call("POST", entry, job_id("large"), body)


@then('it is answered {status:d} with "{text}"')
def check_answer_text(context, status, text):
    assert context.answer.status == status, context.answer
    assert text in context.answer.body.decode(), context.answer.body


@when("a job of {count:d} tasks is submitted at {entry}")
def submit_wide(context, count, entry):
    body = {"spec": "{}", "steps": make_steps(1, count, 1)}
    context.answer = context.world.call("POST", entry, job_id("wide"), body)


@when(
    "a job of {count:d} tasks that was due {times:d} times by now is submitted at "
    "{entry}"
)
def submit_overdue(context, count, times, entry):
    steps = make_steps(1, count, 1, cpu=10)
    spec = msgspec.json.encode({"work_s": 1, "share": 0.01}).decode()
    repetition = {"repetitions": times, "firstRunMs": 1, "intervalMs": 1}
    body = {"spec": spec, "steps": steps, **repetition}
    answer = context.world.call("POST", entry, job_id("due"), body)
    assert answer.status == 200, answer


@when("the store's transactions are counted for {seconds:d} s")
def count_transactions(context, seconds):
    table = context.world.cell.metadata_table
    before = table.transactions_by_part["scheduler"]
    context.world.advance(seconds)
    context.transactions = table.transactions_by_part["scheduler"] - before


@then("the store has executed at most {count:d} transactions of the scheduler")
def check_transactions(context, count):
    assert context.transactions <= count, context.transactions
