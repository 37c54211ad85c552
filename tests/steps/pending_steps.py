"""Steps about jobs that have not begun."""

from __future__ import annotations

from behave import when

from tests.support.job_world import job_id, make_steps

# Shorter than a round of the scheduler.
_STEP_S = 0.001


@when('the job "{label}" that workers reject as invalid is submitted at {entry}')
def submit_invalid(context, label, entry):
    shape = make_steps(1, 1, 1)
    status = context.world.submit_job(entry, label, shape, is_invalid=True)
    assert status == 200, status


@when('a task of "{label}" has been started, and its start is not stored')
def wait_for_start(context, label):
    cell = context.world.cell

    def has_started():
        return any(
            task.startswith(job_id(label)) for task, _, _ in cell.observer.starts
        )

    context.world.wait_until(has_started, step_s=_STEP_S)
    key = f"job.{job_id(label)}"
    assert cell.metadata_table.value_of("state", "scheduler", key) is None
