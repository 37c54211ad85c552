"""Steps for batch tasks in a simulated deployment in memory."""

from __future__ import annotations

from behave import given, then, when

from coltsfoottray.leases import partition_of
from coltsfoottray.types import TaskState
from coltsfoottray.worker import StartRequest
from tests.support.world import CUSTOMERS, World


@given("two entries and {count:d} workers in memory")
def make_world(context, count):
    context.world = World(instances=1, workers=count)
    context.closers.append(context.world.close)


@given("the answer to each of the next {count:d} writes is lost")
def lose_answers(context, count):
    context.world.cell.table.faults.lost_answers = count


@given("{worker} fails everything it starts")
def make_failing_worker(context, worker):
    context.world.cell.worker_stand_in_by_name[worker].fails_everything = True


@when(
    "{customers:d} customers each submit {count:d} tasks of {processors:d} processors"
)
def submit_many(context, customers, count, processors):
    for customer in CUSTOMERS[:customers]:
        for number in range(count):
            status = context.world.submit(
                "entry-1", f"{customer}-{number}", customer, processors=processors
            )
            assert status == 202, status


@when('"{customer}" submits the task "{task}" which runs for {seconds:d} s')
def submit(context, customer, task, seconds):
    status = context.world.submit("entry-1", task, customer, runtime_s=seconds)
    assert status == 202, status


@when('"{customer}" submits {count:d} tasks which run for {seconds:d} s')
def submit_some(context, customer, count, seconds):
    for number in range(count):
        submit(context, customer, f"c{number}", seconds)


@when(
    '"{customer}" submits the task "{task}" which runs for {seconds:d} s '
    "at the other entry"
)
def submit_elsewhere(context, customer, task, seconds):
    others = [n for n in context.world.cell.entry_by_name if n != context.paused]
    status = context.world.submit(
        others[0], task, customer, runtime_s=seconds, worth=9.0
    )
    assert status == 202, status


@when('"{customer}" submits the task "{task}" until the outcome is certain')
def submit_until_certain(context, customer, task):
    for _ in range(20):
        if context.world.submit("entry-1", task, customer) == 202:
            return
    raise AssertionError(f"{task} was not accepted in 20 attempts")


@when('"{customer}" submits the task "{task}" of {processors:d} processors')
def submit_of_size(context, customer, task, processors):
    context.status = context.world.submit(
        "entry-1", task, customer, processors=processors
    )


@then("it is refused with status {status:d}")
def check_status(context, status):
    assert context.status == status, context.status


@when('"{customer}" cancels all its tasks')
def cancel_all(context, customer):
    for task, row in context.world.rows().items():
        if row.spec.customer == customer:
            assert context.world.cancel("entry-2", task, customer) == 200


@when('the task "{task}" runs for {ms:d} ms')
def run_for(context, task, ms):
    world = context.world
    world.wait_until(lambda: _runs_now(world, task))
    world.advance(ms / 1000)


@when('the VM that runs "{task}" is lost')
def lose_vm(context, task):
    context.world.lose_worker(context.world.rows()[task].worker)


@when("the attendant of {worker} is killed and restarted")
def restart_attendant(context, worker):
    context.world.kill(worker)
    context.world.run(context.world.cell.start_attendant, worker)


@when('the attendant of the worker that runs "{task}" is paused for {ms:d} ms')
def pause_attendant(context, task, ms):
    worker = context.world.rows()[task].worker
    context.world.fabric.faults(worker).pause()
    context.world.advance(ms / 1000)
    context.world.resume(worker)


@when("the table is down for {ms:d} ms")
def table_down_for(context, ms):
    context.world.cell.table.faults.is_down = True
    context.world.advance(ms / 1000)
    context.world.cell.table.faults.is_down = False


@when('the owner of "{task}" is killed as soon as its row says that it runs')
def kill_owner(context, task):
    world = context.world
    world.wait_until(
        lambda: world.rows()[task].state is TaskState.RUNNING, step_s=0.0002
    )
    assert not _runs_now(world, task), "too late: it has been started"
    world.kill(_owner(world, world.rows()[task].spec.customer))


@when('the owner of customer "{customer}" is paused')
def pause_owner(context, customer):
    context.paused = _owner(context.world, customer)
    context.world.fabric.faults(context.paused).pause()


@when("the paused entry resumes")
def resume_owner(context):
    context.world.resume(context.paused)


@then("every task is finished")
def check_finished(context):
    world = context.world
    world.wait_until(
        lambda: all(r.state is TaskState.FINISHED for r in world.rows().values()),
        limit_s=400,
    )
    for row in world.rows().values():
        assert world.cell.observer.finishes_by_task[row.spec.task] == 1, row


@then('the task "{task}" is finished')
def check_one_finished(context, task):
    world = context.world
    world.wait_until(lambda: world.rows()[task].state is TaskState.FINISHED)


@then('every task of "{customer}" is cancelled and runs nowhere')
def check_cancelled(context, customer):
    world = context.world
    world.wait_until(
        lambda: all(
            row.state is TaskState.CANCELLED
            for row in world.rows().values()
            if row.spec.customer == customer
        )
    )
    assert not +world.cell.observer.running_by_task


@then("no worker was ever overcommitted, and nothing ran twice")
def check_oracle(context):
    observer = context.world.cell.observer
    assert observer.overcommitted == 0, observer.overcommitted
    assert not observer.doubled, observer.doubled


@then('"{task}" was started {count:d} times')
def check_starts(context, task, count):
    starts = _starts(context.world, task)
    assert len(starts) == count, starts


@then(
    '"{task}" was started {count:d} times, the last with at least {seconds:d} s '
    "of work done"
)
def check_resumed(context, task, count, seconds):
    starts = _starts(context.world, task)
    assert len(starts) == count, starts
    assert starts[-1] >= seconds, starts


@then("at most {count:d} attempts failed")
def check_failures(context, count):
    failures = sum(row.failures for row in context.world.rows().values())
    assert failures <= count, failures


def _runs_now(world, task):
    row = world.rows().get(task)
    return row is not None and world.cell.observer.running_by_task[row.spec.task] > 0


def _owner(world, customer):
    partition = partition_of(customer)
    owners = [
        name
        for name, entry in world.cell.entry_by_name.items()
        if partition in entry.ownership.epoch_by_partition
    ]
    assert len(owners) == 1, owners
    return owners[0]


def _starts(world, task):
    row = world.rows()[task]
    return world.cell.observer.done_s_at_starts_by_task[row.spec.task]


@then("every task has been started")
def check_all_started(context):
    for task in context.world.rows():
        assert _starts(context.world, task), f"{task} has not been started"


@when('the worker that runs "{task}" is cut off from the entries')
def cut_off_from_entries(context, task):
    worker = context.world.rows()[task].worker
    for entry in context.world.cell.entry_by_name:
        context.world.fabric.cut.add(frozenset((entry, worker)))


@then("no entry holds the spec of any task")
def check_no_specs(context):
    context.world.advance(1)
    for name, entry in context.world.cell.entry_by_name.items():
        assert entry.views.known_task_count == 0, (name, entry.views.known_task_count)


@when("the table is down for {ms:d} ms, and {more:d} ms more for the workers")
def table_down_longer_for_workers(context, ms, more):
    world = context.world
    table_down_for(context, ms - 1)
    cuts = {frozenset((worker, "table")) for worker in world.cell.worker_by_name}
    world.fabric.cut.update(cuts)
    world.advance(more / 1000)
    world.fabric.cut.clear()


@when('the worker of "{task}" is asked again to start it')
def start_again(context, task):
    row = context.world.rows()[task]
    daemon = context.world.cell.worker_by_name[row.worker]
    request = StartRequest(
        spec=row.spec,
        attempt=row.attempt,
        checkpoint=row.checkpoint,
        term=row.term,
        incarnation=daemon.incarnation,
    )
    context.world.run(daemon.attendant.start, request)
