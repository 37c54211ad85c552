"""Steps about what is known of attempts across restarts and terms of a worker."""

from __future__ import annotations

import trio
from behave import when

from coltsfoottray.types import TaskState
from tests.steps.task_steps import _owner

_STEP_S = 0.0002


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
