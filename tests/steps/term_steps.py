"""Steps about what is known of attempts across restarts and terms of a worker."""

from __future__ import annotations

import msgspec
import trio
from behave import given, when

from coltsfoottray.leases import worker_key
from coltsfoottray.leases.worker import LeaseState, WorkerLeaseRow
from coltsfoottray.types import TaskState
from tests.steps.lost_steps import _restart_vm
from tests.steps.task_steps import _owner

_STEP_S = 0.0002


def _wait_lost(world, worker):
    rows = world.cell.table.row_by_key

    def is_lost():
        row = msgspec.json.decode(rows[worker_key(worker)].value, type=WorkerLeaseRow)
        return row.state is LeaseState.LOST

    world.wait_until(is_lost)


def _listener_of(world, process):
    listeners = world.fabric.listener_by_address.values()
    return next(each for each in listeners if each.process == process)


@when('the VM that runs "{task}" is silent until the task is assigned elsewhere')
def lose_lease(context, task):
    world = context.world
    context.worker = world.rows()[task].worker
    world.fabric.faults(f"{context.worker}/vm").pause()
    world.wait_until(lambda: world.rows()[task].worker != context.worker)


@when('the VM that runs "{task}" and its attendant restart')
def restart_both(context, task):
    world = context.world
    context.worker = worker = world.rows()[task].worker
    world.kill(worker)
    world.fabric.faults(f"{worker}/vm").pause()

    async def restart():
        world.cell.worker_stand_in_by_name[worker].restart()

    world.run(restart)
    world.spawn(lambda: world.cell.start_attendant(worker))


@when("that VM answers again, but lists no tasks for {ms:d} ms")
def list_nothing(context, ms):
    world = context.world
    listener = _listener_of(world, f"{context.worker}/vm")
    serve = listener._serve

    async def serve_others(request):
        if request.path == "/tasks":
            await trio.sleep_forever()
        return await serve(request)

    listener._serve = serve_others
    world.resume(f"{context.worker}/vm")
    world.advance(ms / 1000)
    listener._serve = serve


@when('the owner of "{task}" is killed as soon as its row says that an attempt failed')
def kill_owner_at_failure(context, task):
    world = context.world

    def has_failed():
        row = world.rows()[task]
        return row.state is TaskState.QUEUED and row.failures == 1

    world.wait_until(has_failed, step_s=_STEP_S)
    world.kill(_owner(world, world.rows()[task].spec.customer))


@when("{worker} runs tasks well again")
def mend_worker(context, worker):
    context.world.cell.worker_stand_in_by_name[worker].fails_everything = False


@when('the attendant beside "{task}" is killed and restarted')
def restart_attendant_of(context, task):
    world = context.world
    worker = world.rows()[task].worker
    world.kill(worker)
    world.run(world.cell.start_attendant, worker)


@given("the next start reaches its VM after {ms:d} ms")
def delay_start(context, ms):
    world = context.world
    delayed = []
    for worker in world.cell.worker_by_name:
        listener = _listener_of(world, f"{worker}/vm")
        listener._serve = _delay_first_start(listener._serve, delayed, ms / 1000)


def _delay_first_start(serve, delayed, delay_s):
    async def serve_late(request):
        if request.path.endswith("/start") and not delayed:
            delayed.append(request)
            await trio.sleep(delay_s)
        return await serve(request)

    return serve_late


@when('"{task}" is assigned, and its worker cut off from the table until it is lost')
def cut_off_assigned(context, task):
    world = context.world
    world.wait_until(lambda: world.rows()[task].state is TaskState.RUNNING)
    worker = world.rows()[task].worker
    link = frozenset((worker, "table"))
    world.fabric.cut.add(link)
    _wait_lost(world, worker)
    world.fabric.cut.discard(link)


@when('"{task}" is assigned, and its worker is cut off from the entries for {ms:d} ms')
def cut_off_from_owner(context, task, ms):
    world = context.world
    world.wait_until(
        lambda: world.rows()[task].state is TaskState.RUNNING, step_s=_STEP_S
    )
    worker = world.rows()[task].worker
    links = {frozenset((entry, worker)) for entry in world.cell.entry_by_name}
    world.fabric.cut.update(links)
    world.advance(ms / 1000)
    world.fabric.cut.difference_update(links)


@when(
    'the VM of "{task}" restarts empty as its row is read, which is answered {ms:d} ms '
    "later"
)
def restart_vm_at_read(context, task, ms):
    world = context.world
    worker = world.cell.worker_stand_in_by_name[world.rows()[task].worker]
    listener = _listener_of(world, "table")
    serve = listener._serve
    reads = []

    async def serve_slowly(request):
        answer = await serve(request)
        if request.query.get("key", "").startswith("task/") and not reads:
            reads.append(request)
            _restart_vm(worker)
            await trio.sleep(ms / 1000)
        return answer

    listener._serve = serve_slowly
    world.wait_until(lambda: reads)


@when(
    "the attendant of {worker} is paused, its VM restarts, and a second one is started"
)
def replace_attendant(context, worker):
    """Start an attendant whose faults are its own beside the paused one."""
    world = context.world
    context.paused_attendant = world.fabric.faults(worker)
    context.paused_attendant.pause()
    _restart_vm(world.cell.worker_stand_in_by_name[worker])
    del world.fabric.faults_by_process[worker]
    world.run(world.cell.start_attendant, worker)


@when("the paused attendant resumes")
def resume_attendant(context):
    async def resume():
        context.paused_attendant.resume()

    context.world.run(resume)


@when("the entries reach the workers again")
def heal_cuts(context):
    context.world.fabric.cut.clear()
