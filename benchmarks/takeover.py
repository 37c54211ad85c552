"""Time and bytes from a scheduler's death to the first placement by the next one.

A tenth of the stored jobs is active, each with `_TASKS` running tasks. All entries have
links of one rate; the network, the table and the worker are stand-ins.
"""

from __future__ import annotations

import itertools

from standins.metadata_table import MetadataTableStandIn
from standins.stored_jobs import store_jobs
from tests.support.job_world import JobWorld, job_id, make_steps

_JOBS = (100, 1_000, 10_000)
_MBIT_PER_S = (2, 10, 100)
_BYTES_PER_MBIT = 125_000.0
_ENTRIES = 4
_TASKS = 8
_STARTUP_S = 6.0
_LIMIT_S = 120.0
# More than the worker has: the stored tasks never leave the queue.
_TOO_MANY_PROCESSORS = 1e6


def main() -> None:
    """Print a line for each number of jobs and each rate of the links."""
    print("jobs   active  Mbit/s  first start s  received kB  take-overs")
    for jobs, rate in itertools.product(_JOBS, _MBIT_PER_S):
        seconds, received, takeovers = _measure(jobs, rate)
        print(
            f"{jobs:<6} {jobs // 10:<7} {rate:<7} {seconds:<14.2f} "
            f"{received / 1000:<12.0f} {takeovers}"
        )


def _measure(jobs: int, mbit_per_s: int) -> tuple[float, int, int]:
    table = MetadataTableStandIn()
    store_jobs(
        table,
        active=jobs // 10,
        ended=jobs - jobs // 10,
        tasks=_TASKS,
        processors=_TOO_MANY_PROCESSORS,
    )
    world = JobWorld(entries=_ENTRIES, workers=1, metadata_table=table)
    try:
        world.advance(_STARTUP_S)
        links = {
            name: world.fabric.faults(name).link for name in world.cell.entry_by_name
        }
        for link in links.values():
            link.bytes_per_s = mbit_per_s * _BYTES_PER_MBIT
            link.received_bytes = 0
        epoch = _epoch(table)
        killed = world.cell.scheduler()
        killed_at = world.now()
        world.kill_daemon(killed)
        living = next(name for name in links if name != killed)
        world.submit_job(living, "next", make_steps(1, 1, 0.1), work_s=0.1)
        job = job_id("next")
        starts = world.cell.observer.starts
        while not any(task.startswith(job) for task, _, _ in starts):
            if world.now() - killed_at > _LIMIT_S:
                break
            world.advance(0.02)
        received = links[world.cell.scheduler()].received_bytes
        return world.now() - killed_at, received, _epoch(table) - epoch
    finally:
        world.close()


def _epoch(table: MetadataTableStandIn) -> int:
    row = table.value_of("state", "scheduler", "lease")
    return int(row["epoch"]) if isinstance(row, dict) else 0


if __name__ == "__main__":
    main()
