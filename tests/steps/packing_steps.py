"""Steps on services that share workers and on the workers left to fillers."""

from __future__ import annotations

from behave import then, when

from tests.support.job_world import job_id, make_steps

_TARGET_MS = 45.0
_LATENCY_MS = 15.0


@when(
    'the service "{label}" of image "{image}" that reserves {cpu:d} of 8000 '
    "millicores is submitted"
)
def submit_service(context, label, image, cpu):
    shape = make_steps(
        1, 1, 1, longRunning=True, image=image, targetMs=_TARGET_MS, cpu=cpu
    )
    status = context.world.submit_job(
        "entry-1", label, shape, lasts=True, latency_ms=_LATENCY_MS
    )
    assert status == 200, status


@when(
    'the filler job "{label}" of image "{image}" with {tasks:d} tasks of '
    "{seconds:d} s is submitted"
)
def submit_filler(context, label, image, tasks, seconds):
    shape = make_steps(1, tasks, seconds, fills=True, image=image, cpu=2000)
    status = context.world.submit_job("entry-1", label, shape, work_s=seconds)
    assert status == 200, status


@then("{count:d} workers run no service")
def check_free_workers(context, count):
    workers = context.world.cell.worker_by_name.values()
    free = [worker.name for worker in workers if not _runs(worker, is_service=True)]
    assert len(free) == count, free


@then('the tasks of "{label}" run on workers without services')
def check_without_services(context, label):
    for worker in context.world.cell.worker_by_name.values():
        mine = [run for run in worker.run_by_task if run.startswith(job_id(label))]
        assert not (mine and _runs(worker, is_service=True)), worker.name


@then('the tasks of "{label}" run beside services')
def check_beside_services(context, label):
    for worker in context.world.cell.worker_by_name.values():
        mine = [run for run in worker.run_by_task if run.startswith(job_id(label))]
        assert not mine or _runs(worker, is_service=True), worker.name


def _runs(worker, *, is_service):
    """Return the runs of services, or of others, on a worker."""
    return [
        run for run in worker.run_by_task.values() if bool(run.latency_ms) == is_service
    ]
