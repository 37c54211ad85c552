"""Time without a run when the scheduler is gone and a worker with it.

A worker is lost for good with its attendant, before, with or after what happens to the
entry that holds the lease row. Printed is how long it takes from the loss of the worker
until all tasks run again, in brackets how many it had, and how often one ran twice. The
network, the table and the workers are stand-ins.
"""

from __future__ import annotations

from collections.abc import Callable

from tests.support.job_world import JobWorld, make_steps

_ENTRIES = 4
_WORKERS = 3
_TASKS = 24
_LOST_WORKER = "worker-1"
# The loss of the worker, relative to that of the holder.
_GAPS_S = (-3.0, -1.0, 0.0, 0.3, 1.0, 3.0)
_SETTLING_S = 4.0
_LIMIT_S = 30.0
_STEP_S = 0.05


def main() -> None:
    """Print a line for each fault of the holder, with a column for each gap."""
    gaps = "  ".join(f"{gap:+.1f} s" for gap in _GAPS_S)
    print(f"{'holder':<34} without a run, the worker lost at {gaps}")
    for name, fault in _FAULT_BY_NAME.items():
        cells = [_measure(fault, gap) for gap in _GAPS_S]
        print(f"{name:<34} " + "  ".join(cells), flush=True)


def _kill(world: JobWorld) -> None:
    world.kill_daemon(world.cell.scheduler())


def _silence(world: JobWorld) -> None:
    """Let the holder's VM lose power: nothing answers, nothing is refused."""
    world.fabric.faults(world.cell.scheduler()).pause()


def _refuse(world: JobWorld) -> None:
    """Part the holder, which lives, from all but the attendant of the worker."""
    holder = world.cell.scheduler()
    others = {*world.cell.entry_by_name, *world.cell.attendant_by_name, "store"}
    others -= {holder, _LOST_WORKER}
    world.fabric.refusing |= {frozenset((holder, other)) for other in others}


def _cut_off_from_store(world: JobWorld) -> None:
    world.fabric.cut.add(frozenset((world.cell.scheduler(), "store")))


def _resign(world: JobWorld) -> None:
    """Ask the holder to stop: it resigns and ends."""
    name = world.cell.scheduler()
    world.spawn(world.cell.entry_by_name[name].shut_down)


def _keep(world: JobWorld) -> None:
    pass


_FAULT_BY_NAME: dict[str, Callable[[JobWorld], None]] = {
    "holds on": _keep,
    "killed": _kill,
    "VM silent": _silence,
    "refused by all others, lives": _refuse,
    "cut off from the store only": _cut_off_from_store,
    "resigns": _resign,
}


def _lose_worker(world: JobWorld) -> None:
    worker = world.cell.worker_by_name[_LOST_WORKER]

    async def destroy() -> None:
        worker.destroy()

    world.run(destroy)
    world.kill_daemon(_LOST_WORKER)


def _measure(fault: Callable[[JobWorld], None], gap_s: float) -> str:
    world = JobWorld(entries=_ENTRIES, workers=_WORKERS)
    try:
        world.wait_until(lambda: world.cell.scheduler() != "")
        world.advance(_SETTLING_S)
        steps = make_steps(1, _TASKS, 1, longRunning=True, cpu=100)
        living = next(
            name for name in world.cell.entry_by_name if name != world.cell.scheduler()
        )
        world.submit_job(living, "service", steps, lasts=True)
        world.advance(_SETTLING_S)
        first, second = (fault, _lose_worker) if gap_s >= 0 else (_lose_worker, fault)
        lost = len(world.cell.worker_by_name[_LOST_WORKER].run_by_task)
        first(world)
        ended_at = world.now()
        world.advance(abs(gap_s))
        if second is _lose_worker:
            lost = len(world.cell.worker_by_name[_LOST_WORKER].run_by_task)
            ended_at = world.now()
        second(world)
        while _running(world) < _TASKS and world.now() - ended_at < _LIMIT_S:
            world.advance(_STEP_S)
        violations = len(world.cell.observer.violations)
        twice = f" twice {violations}" if violations else ""
        return f"{world.now() - ended_at:.2f}{twice} ({lost})"
    finally:
        world.close()


def _running(world: JobWorld) -> int:
    return sum(len(worker.run_by_task) for worker in world.cell.worker_by_name.values())


if __name__ == "__main__":
    main()
