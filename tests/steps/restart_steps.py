"""Steps about runs on a worker whose attendant restarts."""

from __future__ import annotations

from behave import step, then, when

from tests.support.job_world import job_id, make_steps

_OVER_TARGET_MS = 200.0
_FAR_BELOW_TARGET_MS = 5.0


@when("the services on {name} exceed their latency target")
def exceed_targets(context, name):
    _set_latencies(context.world.cell.worker_by_name[name], _OVER_TARGET_MS)


@when("the services on {name} are far below their latency target")
def meet_targets(context, name):
    _set_latencies(context.world.cell.worker_by_name[name], _FAR_BELOW_TARGET_MS)


def _set_latencies(worker, latency_ms):
    services = [run for run in worker.run_by_task.values() if run.latency_ms]
    assert services, f"no service runs on {worker.name}"
    for run in services:
        run.latency_ms = latency_ms


@when('tasks on the worker of "{label}" make no progress')
def hang_worker(context, label):
    (worker,) = [
        worker
        for worker in context.world.cell.worker_by_name.values()
        if any(task.startswith(job_id(label)) for task in worker.run_by_task)
    ]
    worker.is_hung = True


@step("the next {count:d} speed limits at {name} are applied late")
def delay_speed_limits(context, count, name):
    context.world.cell.worker_by_name[name].late_paces = count


@when(
    "{name}'s attendant ends {milliseconds:d} ms after the next scheduler grants it a "
    "session"
)
def end_attendant_after_session(context, name, milliseconds):
    world = context.world
    attendant = world.cell.attendant_by_name[name].attendant
    before = attendant.session
    world.wait_until(lambda: attendant.session > before, step_s=0.001)
    world.advance(milliseconds / 1000)
    world.kill_daemon(name)


@when(
    'the filler job "{label}" of {tasks:d} tasks that need 70 millicores is submitted'
)
def submit_small_fillers(context, label, tasks):
    shape = make_steps(1, tasks, 60.0, fills=True, image="fill", cpu=70)
    status = context.world.submit_job("entry-1", label, shape, work_s=60.0, share=0)
    assert status == 200, status


@then("{name} was sent at most {count:d} speed limits")
def check_pace_count(context, name, count):
    sent = context.world.cell.worker_by_name[name].pace_count
    assert sent <= count, sent


@when("{name} has a session with the next scheduler")
def wait_for_next_session(context, name):
    attendant = context.world.cell.attendant_by_name[name].attendant
    before = attendant.session
    context.world.wait_until(lambda: attendant.session > before, step_s=0.001)


@when("{name}'s attendant is killed")
def kill_attendant(context, name):
    context.world.kill_daemon(name)


@when("{name}'s attendant is asked to stop")
def stop_attendant(context, name):
    world = context.world
    world.spawn(world.cell.attendant_by_name[name].shut_down)
    world.cell.killed.add(name)
