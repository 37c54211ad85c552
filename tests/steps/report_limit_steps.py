"""Steps on what the scheduler keeps of reports."""

from __future__ import annotations

from datetime import timedelta

from behave import given, then, when

from coltsfoottray.agent.worker import RunStatus
from coltsfoottray.intake import RequestRefused
from coltsfoottray.jobs.model import JobId, RunRef, TaskRef
from coltsfoottray.scheduler.fleet import Fleet
from coltsfoottray.scheduler.messages import Report
from coltsfoottray.scheduler.report_limits import check_report
from coltsfoottray.scheduler.worker_leases import PriorLeases
from coltsfoottray.types import Address, Resources

_ADDRESS = Address(host="127.0.0.1", port=9)
_NAME_BY_KIND = {
    "nobody knows": "worker-new",
    "is known": "worker-1",
    "holds a run": "worker-1",
}


def _run(number):
    task = TaskRef(job=JobId("0" * 16), occurrence=0, step=0, index=number)
    return RunRef(task=task, run=1)


@given("a scheduler that knows {count:d} workers, one of which lists {listed:d} runs")
def make_fleet(context, count, listed):
    context.fleet = Fleet()
    prior = PriorLeases(end=timedelta(0), foreign_end=timedelta(0))
    for number in range(count):
        context.fleet.get_or_add(f"worker-{number}", _ADDRESS, prior)
    demand_by_orphan = {_run(number): Resources() for number in range(listed)}
    context.fleet.worker_by_id["worker-0"].set_orphans(demand_by_orphan)


@when("a worker that {kind} reports {runs:d} runs")
def report(context, kind, runs):
    name = _NAME_BY_KIND[kind]
    if kind == "holds a run":
        context.fleet.worker_by_id[name].held_by_ref[_run(0)] = object()
    message = Report(
        worker=name,
        incarnation="1",
        address=_ADDRESS,
        data_centre="caerdydd",
        running=[
            RunStatus(ref=_run(number), checkpoint="", percent=0.0)
            for number in range(runs)
        ],
    )
    context.outcome = "taken"
    try:
        check_report(message, context.fleet, [])
    except RequestRefused:
        context.outcome = "refused"


@then("its report is {outcome}")
def check_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome
