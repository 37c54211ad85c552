"""Steps on entries that reject jobs that can be of no use."""

from __future__ import annotations

from behave import given, step, then

from coltsfoottray.overload.admission import AdmissionPolicy
from coltsfoottray.overload.backlog import Backlog, QueueBacklog
from coltsfoottray.settings import OverloadSettings
from tests.support.job_world import JobWorld, job_id, make_steps

_QUEUE = "r-rebuild"


@given("two entries that reject useless jobs and {count:d} workers for jobs")
def make_world(context, count):
    overload = OverloadSettings(admission=AdmissionPolicy.USEFUL)
    context.world = JobWorld(workers=count, overload=overload)
    context.closers.append(context.world.close)
    context.world.wait_until(lambda: context.world.cell.scheduler() != "")
    context.world.advance(3)


@step("{entry} knows a backlog of {wait_s:d} s")
def make_backlog(context, entry, wait_s):
    daemon = context.world.cell.entry_by_name[entry]
    ahead = QueueBacklog(work=wait_s * 8.0, wait_ms=wait_s * 1000, rate=8.0)

    async def receive():
        backlog = Backlog(version=daemon.backlog.version + 1, by_queue={_QUEUE: ahead})
        daemon.backlog.receive(backlog, daemon.clock.elapsed())

    context.world.run(receive)


@step("the store does not answer reads of jobs")
def withhold_reads(context):
    context.world.cell.metadata_table.withheld_tables.add("state")


@then(
    'the job "{label}" is answered {status:d} at {entry} within its deadline of '
    "{milliseconds:d} ms"
)
def check_in_time(context, label, status, entry, milliseconds):
    body = {"spec": "{}", "steps": make_steps(1, 1, 1)}
    started_s = context.world.now()
    answer = context.world.call(
        "POST", entry, job_id(label), body, deadline_ms=milliseconds
    )
    took_ms = (context.world.now() - started_s) * 1000
    assert answer.status == status, answer.status
    assert took_ms <= milliseconds, took_ms


@then('a line "{event}" about "{label}" has "{fields}"')
def check_line(context, event, label, fields):
    lines = [each for each in context.messages if each["message_type"] == event]
    assert [each["job"] for each in lines] == [job_id(label)], lines
    missing = set(fields.split(", ")) - set(lines[0])
    assert not missing, missing


@then('the metrics of {entry} count {count:d} jobs as "{verdict}"')
def check_metrics(context, entry, count, verdict):
    metrics = context.world.cell.entry_by_name[entry].metrics
    samples = [sample for family in metrics.collect() for sample in family.samples]
    value_by_key = {(each.name, each.labels.get("verdict")): each for each in samples}
    counted = value_by_key["coltsfoottray_admissions_total", verdict]
    assert (counted.value, counted.labels["queue"]) == (count, _QUEUE), counted
    assert ("coltsfoottray_retry_after_seconds", None) in value_by_key, samples
