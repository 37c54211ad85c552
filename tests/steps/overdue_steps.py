"""Steps about tasks that do not run, and runs that their attendant does not know."""

from __future__ import annotations

import eliot
from behave import given, step, then, when

from tests.support.job_world import job_id, make_steps


@given("log lines are recorded")
def record_log_lines(context):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    # The first destination also receives buffered lines of earlier scenarios.
    context.messages.clear()
    context.closers.append(lambda: eliot.remove_destination(context.messages.append))


@step("{name}'s attendant ignores its orders")
def ignore_orders(context, name):
    attendant = context.world.cell.attendant_by_name[name].attendant
    attendant._execute = lambda orders: None


@when(
    'the service "{label}" of {tasks:d} tasks that need {millicores:d} of 8000 '
    "millicores is submitted"
)
def submit_wide_service(context, label, tasks, millicores):
    shape = make_steps(1, tasks, 1, longRunning=True, cpu=millicores, memoryLimitMb=100)
    cell = context.world.cell
    entry = next(name for name in cell.entry_by_name if name not in cell.killed)
    status = context.world.submit_job(entry, label, shape, lasts=True)
    assert status == 200, status


@when('the service "{label}" of {tasks:d} tasks that need a ticket is submitted')
def submit_service_with_tickets(context, label, tasks):
    _submit_with_tickets(context, label, tasks, cpu=100)


@when(
    'the service "{label}" of {tasks:d} tasks that need a ticket and a processor '
    "is submitted"
)
def submit_large_service_with_tickets(context, label, tasks):
    _submit_with_tickets(context, label, tasks, cpu=1000)


def _submit_with_tickets(context, label, tasks, cpu):
    shape = make_steps(1, tasks, 1, longRunning=True, cpu=cpu, memoryLimitMb=100)
    status = context.world.submit_job(
        "entry-1", label, shape, lasts=True, needs_ticket=True
    )
    assert status == 200, status


@then('the scheduler\'s metrics show {count:d} overdue tasks held by "{holder}"')
def check_overdue_metric(context, count, holder):
    cell = context.world.cell
    metrics = cell.entry_by_name[cell.scheduler()].metrics
    values = _values(metrics, "coltsfoottray_tasks_overdue", held_by=holder)
    assert values == [count], values


@then('a log line names the tasks of "{label}" as held by "{holder}"')
def check_overdue_line(context, label, holder):
    lines = _lines(context, "scheduler:overdue")
    assert lines, "no line"
    for line in lines:
        assert line["held_by"] == holder, line
        assert all(task.startswith(job_id(label)) for task in line["tasks"]), line


@then('a log line says that "{label}" waits for "{reason}"')
def check_wait_line(context, label, reason):
    lines = _lines(context, "decision:wait")
    reasons = {
        line["lacks"] for line in lines if line["step"].startswith(job_id(label))
    }
    assert reason in reasons, reasons


@then("no log line names overdue tasks")
def check_no_overdue_line(context):
    assert not _lines(context, "scheduler:overdue")


@then("the metrics of {name}'s attendant show {count:d} runs without an order")
def check_order_metric(context, name, count):
    metrics = context.world.cell.attendant_by_name[name].metrics
    values = _values(metrics, "coltsfoottray_runs_without_order")
    assert values == [count], values


@then("a log line names {count:d} runs whose order is missing")
def check_order_line(context, count):
    (line,) = _lines(context, "worker:order-missing")
    assert len(line["runs"]) == count, line


def _lines(context, message_type):
    return [
        message
        for message in context.messages
        if message.get("message_type") == message_type
    ]


def _values(metrics, name, **labels):
    return [
        sample.value
        for family in metrics.collect()
        for sample in family.samples
        if sample.name == name and sample.labels == labels
    ]
