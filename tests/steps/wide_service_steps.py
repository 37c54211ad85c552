"""Steps about services whose worker ends right after their start."""

from __future__ import annotations

from behave import step, then, when

from tests.steps.rejection_steps import wait_for_start_order
from tests.support.job_world import job_id


@when(
    'a VM that runs "{label}" is lost permanently {milliseconds:d} ms after its '
    "first start"
)
def lose_after_start(context, label, milliseconds):
    _wait_for_start(context, label, milliseconds)
    context.started_worker.destroy()


@when(
    'a VM that runs "{label}" crashes {milliseconds:d} ms after its first start, and '
    "refuses all starts"
)
def crash_after_start(context, label, milliseconds):
    _wait_for_start(context, label, milliseconds)
    worker = context.started_worker
    worker.is_unhealthy = True
    worker.crash()
    context.world.run(worker.send_heartbeat)


@when("the store goes down as soon as that VM is sent a start again")
def lose_store_at_next_start(context):
    context.started_worker.order_times_s.clear()
    wait_for_start_order(context.world, context.started_worker.name)
    context.world.cell.metadata_table.faults.is_down = True


@step("that VM accepts starts again")
def accept_starts(context):
    context.started_worker.is_unhealthy = False


@then('{count:d} tasks of "{label}" run')
def check_running_of(context, count, label):
    workers = context.world.cell.worker_by_name.values()
    tasks = [task for worker in workers for task in worker.run_by_task]
    running = [task for task in tasks if task.startswith(job_id(label))]
    assert len(running) == count, running


@when("that VM's attendant stops, and starts again after {seconds:d} s")
def restart_attendant(context, seconds):
    name = context.started_worker.name
    context.world.kill_daemon(name)
    context.world.advance(seconds)
    context.world.restart_daemon(name)


def _wait_for_start(context, label, milliseconds):
    """Wait until some worker runs tasks of a job, and for a while longer."""
    workers = context.world.cell.worker_by_name.values()

    def running():
        return [
            worker
            for worker in workers
            if any(task.startswith(job_id(label)) for task in worker.run_by_task)
        ]

    context.world.wait_until(lambda: bool(running()), step_s=0.001)
    context.world.advance(milliseconds / 1000)
    context.started_worker = max(running(), key=lambda each: len(each.run_by_task))
