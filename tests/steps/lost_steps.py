"""Steps that inject faults into workers and the messages to and from them."""

from __future__ import annotations

import trio
from behave import given, then, when

from coltsfoottray.http import HttpRequest, HttpResponse
from coltsfoottray.leases import worker_key
from coltsfoottray.leases.worker import LeaseState, WorkerLeaseRow
from tests.support.job_world import make_steps


@when('the VM that runs "{task}" is lost and its attendant keeps running')
def lose_vm_only(context, task):
    world = context.world
    name = f"{world.rows()[task].worker}/vm"
    world.kill(name)


@when('the VM that runs "{task}" is silent for {ms:d} ms from just before a renewal')
def silence_vm(context, task, ms):
    world = context.world
    worker = world.rows()[task].worker
    rows = world.cell.table.row_by_key
    before = rows[worker_key(worker)].version
    world.wait_until(lambda: rows[worker_key(worker)].version != before)
    # The renewal interval is 1 s.
    world.advance(0.95)
    world.fabric.faults(f"{worker}/vm").pause()
    world.advance(ms / 1000)
    world.resume(f"{worker}/vm")


@then('the task "{task}" keeps running for {ms:d} ms')
def check_runs_on(context, task, ms):
    world = context.world
    running = world.cell.observer.running_by_task
    name = world.rows()[task].spec.task
    for _ in range(ms // 10):
        assert running[name] == 1, f"{task} does not run at {world.now()} s"
        world.advance(0.01)


@when("both entries are killed")
def kill_entries(context):
    for name in list(context.world.cell.entry_by_name):
        context.world.kill(name)


@when('both entries restart, and do not reach the attendant beside "{task}"')
def restart_entries_cut_off(context, task):
    world = context.world
    worker = world.rows()[task].worker
    for name in ("entry-1", "entry-2"):
        world.fabric.cut.add(frozenset((name, worker)))
        world.run(world.cell.start_entry, name)


@when('the task "{task}" is finished within {seconds:d} s')
def wait_finished(context, task, seconds):
    world = context.world
    world.wait_until(
        lambda: world.rows()[task].state.value == "finished", limit_s=seconds
    )


@when(
    '{count:d} long-running jobs that need the label "{label}" are submitted at {entry}'
)
def submit_labelled(context, count, label, entry):
    for number in range(count):
        shape = make_steps(1, 1, 1, requirements=label, longRunning=True)
        status = context.world.submit_job(entry, f"l{number}", shape, lasts=True)
        assert status == 200, status


@when(
    'the job "{name}" that needs a ticket and the label "{label}" is submitted '
    "at {entry}"
)
def submit_labelled_ticket(context, name, label, entry):
    shape = make_steps(1, 1, 1, requirements=label)
    status = context.world.submit_job(entry, name, shape, work_s=1, needs_ticket=True)
    assert status == 200, status


@when("another scheduler has taken over, and cannot read the store for {ms:d} ms")
def take_over_without_store(context, ms):
    """Cut the new scheduler off from the store right after its takeover."""
    world = context.world
    before = world.cell.scheduler()
    world.wait_until(lambda: world.cell.scheduler() != before, step_s=0.0002)
    link = frozenset((world.cell.scheduler(), "store"))
    world.fabric.cut.add(link)
    world.advance(ms / 1000)
    world.fabric.cut.discard(link)


@when("the scheduler is cut off permanently from the store and the other entries")
def cut_off_scheduler(context):
    cell = context.world.cell
    name = cell.scheduler()
    for other in [*cell.entry_by_name, "store"]:
        if other != name:
            context.world.fabric.cut.add(frozenset((name, other)))


@when("{name} restarts just before its task ends, and one poll goes unanswered")
def refuse_start_at_end(context, name):
    """Cause a start to be refused for a run whose end no poll has shown yet."""
    world = context.world
    worker = world.cell.worker_by_name[name]
    worker.sends_heartbeats = False
    world.kill_daemon(name)
    world.restart_daemon(name)
    world.advance(0.5)
    (run,) = worker.run_by_task.values()
    world.wait_until(lambda: run.done_s > run.work_s - 0.06, step_s=0.005)
    hold = worker._handle_poll
    polls = []

    async def answer(body):
        polls.append(body)
        if len(polls) == 2:
            await trio.sleep_forever()
        return await hold(body)

    worker._handle_poll = answer
    world.run(worker.send_heartbeat)
    worker.sends_heartbeats = True


@when("a late notice that {name}'s VM leaves arrives")
def deregister_late(context, name):
    """Deliver a deregistration sent by an earlier incarnation with the same id."""
    request = HttpRequest(method="POST", target=f"/v1/instances/i-{name}/deregister")
    context.world.send_to_attendant(name, request)


@given("{name}'s VM answers polls but never accepts a start")
def lose_starts(context, name):
    async def never(body):
        await trio.sleep_forever()

    context.world.cell.worker_by_name[name]._handle_start = never


@when('the VM that runs "{task}" restarts empty, and its attendant keeps running')
def restart_vm_only(context, task):
    _restart_vm(_stand_in(context.world, task))


@when('the worker that runs "{task}" loses it')
def lose_task(context, task):
    row = context.world.rows()[task]
    worker = context.world.cell.worker_stand_in_by_name[row.worker]
    worker._suspend(worker._attempt_by_task.pop(row.spec.task))


@when('the end of "{task}" is seen by its attendant')
def wait_end_seen(context, task):
    world = context.world
    row = world.rows()[task]
    attendant = world.cell.worker_by_name[row.worker].attendant

    def is_seen():
        reports = attendant.report().attempts
        return any(r.exit_code == 0 for r in reports if r.task == row.spec.task)

    world.wait_until(is_seen)


@when("the VMs of {count:d} workers are lost and their attendants keep running")
def lose_vms_only(context, count):
    for name in sorted(context.world.cell.worker_by_name)[:count]:
        context.world.kill(f"{name}/vm")


@when("the store refuses each write of the lease row of {worker}")
def refuse_lease_row(context, worker):
    context.world.cell.table.refused_keys.add(worker_key(worker))


@then("the lease row of {worker} says within {seconds:d} s that it is lost")
def wait_for_mark(context, worker, seconds):
    world = context.world
    deadline = world.now() + seconds
    while True:
        row = world.cell.table.row_by_key[worker_key(worker)].decode(WorkerLeaseRow)
        if row.state is LeaseState.LOST:
            return
        assert world.now() < deadline, row
        world.advance(0.1)


@when('the VM that runs "{task}" answers and refuses every renewal')
def refuse_renewals(context, task):
    worker = _stand_in(context.world, task)
    worker._renew = lambda query: HttpResponse(status=500, body=b"no renewal")


@when('the VM that runs "{task}" answers all requests but renewals')
def ignore_renewals(context, task):
    worker = _stand_in(context.world, task)
    handle = worker.handle

    async def serve(request):
        if request.path == "/renew":
            await trio.sleep_forever()
        return await handle(request)

    _serve_by(context.world, task, serve)


@when('the VM that runs "{task}" accepts the next renewal, and its answer is lost')
def lose_renewal_answer(context, task):
    worker = _stand_in(context.world, task)
    handle = worker.handle
    context.renewals = []

    async def serve(request):
        answer = await handle(request)
        if request.path == "/renew":
            context.renewals.append(request.query)
            if len(context.renewals) == 1:
                await trio.sleep_forever()
        return answer

    _serve_by(context.world, task, serve)


@when('a renewal of the VM that runs "{task}" is in transit')
def wait_renewal(context, task):
    context.world.wait_until(lambda: context.renewals)


@when('a second attendant is started beside "{task}"')
def start_second_attendant(context, task):
    world = context.world
    world.run(world.cell.start_attendant, world.rows()[task].worker)


@when("{name} refuses every renewal, and its attendant is restarted")
def refuse_from_start(context, name):
    world = context.world
    worker = world.cell.worker_stand_in_by_name[name]
    worker._renew = lambda query: HttpResponse(status=500, body=b"no renewal")
    world.kill(name)
    world.run(world.cell.start_attendant, name)


@then("every renewal had a positive duration")
def check_durations(context):
    assert len(context.renewals) > 2, context.renewals
    assert all(float(r["seconds"]) > 0 for r in context.renewals), context.renewals


@then("the first attendant sends no more renewals")
def check_holders(context):
    holders = [renewal["holder"] for renewal in context.renewals]
    later = holders.index(next(h for h in holders if h != holders[0]))
    assert len(holders) > later + 2, holders
    assert holders[0] not in holders[later:], holders


@when("{name} is cut off from the table, and its VM restarts just after a renewal")
def restart_vm_unwritten(context, name):
    world = context.world
    rows = world.cell.table.row_by_key
    before = rows[worker_key(name)].version
    world.wait_until(lambda: rows[worker_key(name)].version != before)
    world.advance(0.01)
    world.fabric.cut.add(frozenset((name, "table")))
    _restart_vm(world.cell.worker_stand_in_by_name[name])


@when("{name} reaches the table again")
def reach_table(context, name):
    context.world.fabric.cut.discard(frozenset((name, "table")))


def _restart_vm(worker):
    """Clear the VM but not its lease, renewed before its restart is noticed."""
    for attempt in worker._list_attempts():
        worker._suspend(attempt)
        worker._lose_result(attempt)
    worker._attempt_by_task.clear()
    worker._stopped.clear()
    worker.boot += "-anew"


def _stand_in(world, task):
    return world.cell.worker_stand_in_by_name[world.rows()[task].worker]


def _serve_by(world, task, serve):
    name = f"{world.rows()[task].worker}/vm"
    for listener in world.fabric.listener_by_address.values():
        if listener.process == name:
            listener._serve = serve


@when("{name} is cut off from the scheduler")
def cut_from_scheduler(context, name):
    world = context.world
    world.fabric.cut.add(frozenset((name, world.cell.scheduler())))
