"""Steps on the placement of tasks, their tickets and the speed of fillers."""

from __future__ import annotations

from behave import given, then, when

from tests.support.job_world import job_id, make_steps

_TARGET_MS = 45.0
_LATENCY_MS_BY_STATE = {"far below": 15.0, "near": 40.0, "over": 60.0}


@then('the scheduler knows the pressure of "{filler}" on "{service}"')
def check_known_pressure(context, filler, service):
    cell = context.world.cell
    known = cell.entry_by_name[
        cell.scheduler()
    ].scheduler.active.cluster.pressures.all()
    pairs = {(each.pair.filler, each.pair.service) for each in known}
    assert (filler, service) in pairs, pairs


@given("the queue's policy allows only {name}")
@when("the policy changes to allow only {name}")
def restrict_queue(context, name):
    context.world.cell.advice.allowed_workers = {f"i-{name}"}
    terms = {"decisionMs": 100, "periodMs": 20, "validityMs": 3000}

    async def write():
        context.world.cell.write_config(recommendation=terms)

    context.world.run(write)
    context.world.advance(1)


@given("the queue's policy allows all workers, with tickets for {seconds:d} s")
def allow_all_workers(context, seconds):
    cell = context.world.cell
    cell.advice.allowed_workers = {f"i-{name}" for name in cell.worker_by_name}
    cell.advice.validity_s = float(seconds)
    terms = {"decisionMs": 100, "periodMs": 20, "validityMs": seconds * 1000}

    async def write():
        cell.write_config(recommendation=terms)

    context.world.run(write)
    context.world.advance(1)


@given('the policy allows the job "{label}" on no worker')
def forbid_job(context, label):
    context.world.cell.advice.denied_jobs.add(job_id(label))


@when('the policy allows the job "{label}" like any other')
def permit_job(context, label):
    context.world.cell.advice.denied_jobs.discard(job_id(label))


@when(
    'the job "{label}" of {tasks:d} tasks of {seconds:d} s that need tickets '
    "is submitted at {entry}"
)
def submit_with_tickets(context, label, tasks, seconds, entry):
    shape = make_steps(1, tasks, seconds)
    status = context.world.submit_job(
        entry, label, shape, work_s=seconds, needs_ticket=True
    )
    assert status == 200, status


@then("no start was refused for lack of a ticket")
def check_tickets(context):
    workers = context.world.cell.worker_by_name.values()
    assert not sum(worker.refused_tickets for worker in workers)


@when("a service of {tasks:d} tasks {state} its latency target is submitted at {entry}")
def submit_service(context, tasks, state, entry):
    shape = make_steps(
        1, tasks, 1, longRunning=True, image="svc", targetMs=_TARGET_MS, antiAffinity=1
    )
    latency = _LATENCY_MS_BY_STATE[state]
    status = context.world.submit_job(
        entry, "service", shape, lasts=True, latency_ms=latency
    )
    assert status == 200, status


@when(
    'the filler job "{label}" of {tasks:d} tasks of {seconds:d} s '
    "is submitted at {entry}"
)
def submit_filler(context, label, tasks, seconds, entry):
    shape = make_steps(1, tasks, seconds, fills=True, image="fill")
    status = context.world.submit_job(entry, label, shape, work_s=seconds)
    assert status == 200, status


@when(
    "{count:d} long-running jobs of {tasks:d} tasks each run with anti-affinity "
    "and tickets"
)
def submit_with_anti_affinity_and_tickets(context, count, tasks):
    submit_with_anti_affinity(context, count, tasks, needs_ticket=True)


@when("{count:d} long-running jobs of {tasks:d} tasks each run with anti-affinity")
def submit_with_anti_affinity(context, count, tasks, **spec):
    """Submit small jobs of which each worker may run at most one task at a time."""
    shape = make_steps(
        1, tasks, 1, longRunning=True, antiAffinity=1, cpu=10, memoryLimitMb=1
    )
    for number in range(count):
        status = context.world.submit_job(
            "entry-1", f"p{number}", shape, lasts=True, **spec
        )
        assert status == 200, status


@when("{count:d} jobs that take a whole worker for {milliseconds:d} ms are submitted")
def submit_whole_worker_jobs(context, count, milliseconds):
    shape = make_steps(1, 1, 60, cpu=8000)
    context.whole_worker_labels = [f"w{number}" for number in range(count)]
    for label in context.whole_worker_labels:
        status = context.world.submit_job(
            "entry-1", label, shape, work_s=milliseconds / 1000
        )
        assert status == 200, status


@then("{count:d} or more of them have started, in the order of submission")
def check_started_in_order(context, count):
    ids = [job_id(label) for label in context.whole_worker_labels]
    started = [each[0].split(".")[0] for each in context.world.cell.observer.starts]
    assert len(started) >= count, started
    assert started == ids[: len(started)], started


@then('a task of "{label}" was started')
def check_started(context, label):
    starts = context.world.cell.observer.starts
    assert any(each[0].startswith(job_id(label)) for each in starts), starts


@then('every filler of "{label}" runs at {percent:d} percent')
def check_paces(context, label, percent):
    runs = [
        run
        for worker in context.world.cell.worker_by_name.values()
        for run in worker.run_by_task.values()
        if run.task.startswith(job_id(label))
    ]
    assert runs, "no filler runs"
    assert all(run.percent == percent for run in runs), runs


@then("at most {count:d} tasks run on any worker")
def check_spread(context, count):
    workers = context.world.cell.worker_by_name.values()
    held = {worker.name: len(worker.run_by_task) for worker in workers}
    assert max(held.values()) <= count, held


@then("nothing runs on {name}")
def check_emptied(context, name):
    running = context.world.cell.worker_by_name[name].run_by_task
    assert not running, running


@then("nothing was started on {name}")
def check_nothing_started(context, name):
    starts = context.world.cell.observer.starts
    assert not [each for each in starts if each[2] == name], starts


@then("at most {count:d} tasks were started on {name}")
def check_max_starts(context, count, name):
    starts = [e for e in context.world.cell.observer.starts if e[2] == name]
    assert 0 < len(starts) <= count, starts


@then("no worker ever ran more than {count:d} tasks")
def check_room(context, count):
    for worker in context.world.cell.worker_by_name.values():
        assert worker.max_concurrent_runs <= count, worker.max_concurrent_runs
