"""Counts the connections that the daemons for jobs open, on calm and troubled days.

Run by `python -m benchmarks.connections [WORKERS]`. Entries, attendants and workers run
in memory, on a virtual clock. A burst of tasks comes first, then jobs at a constant
rate. With more workers there are more peers, and as many tasks on each.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec
import trio
from trio.testing import MockClock

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpRequest
from standins.fabric import MemoryFabric
from standins.job_cell import HOST, PATH_PREFIX, JobCell

__all__ = ["main"]

_ENTRIES, _WORKERS = 2, 4
_STARTUP_S = 5.0
_MINUTE_S = 60.0
_BURST_TASKS_PER_WORKER = 36
_JOB_INTERVAL_S = 0.5
_SLOW_STORE_S = 0.4
_TROUBLE_S = 4.0
_TROUBLE_INTERVAL_S = 15.0
_LOST_ANSWERS = 3
# Longer than calls wait for an answer.
_SLOW_ATTENDANT_S = 1.0

_Disruption = Callable[[JobCell], Awaitable[None]]


async def _do_nothing(cell: JobCell) -> None:
    pass


async def _slow_store(cell: JobCell) -> None:
    cell.metadata_table.faults.delay_s = _SLOW_STORE_S
    await trio.sleep(_TROUBLE_S)
    cell.metadata_table.faults.delay_s = 0.0


async def _lose_answers(cell: JobCell) -> None:
    cell.metadata_table.faults.lost_answers += _LOST_ANSWERS


async def _freeze_worker(cell: JobCell) -> None:
    faults = cell.fabric.faults("worker-1/vm")
    faults.pause()
    await trio.sleep(_TROUBLE_S)
    faults.resume()


async def _slow_attendant(cell: JobCell) -> None:
    """Let an attendant answer late from now on."""
    for listener in cell.fabric.listener_by_address.values():
        if listener.process == "worker-1":
            listener.delay_s = _SLOW_ATTENDANT_S


async def _silence(cell: JobCell) -> None:
    cell.fabric.silence_links("")


_DISRUPTION_BY_DAY: dict[str, _Disruption] = {
    "calm": _do_nothing,
    "store slow for 4 s in 15": _slow_store,
    "store loses 3 answers every 15 s": _lose_answers,
    "a worker frozen for 4 s in 15": _freeze_worker,
    "an attendant slow for good": _slow_attendant,
    "all connections silent every 15 s": _silence,
}


async def _submit(cell: JobCell, number: int, tasks: int) -> None:
    step = {"count": tasks, "cpu": 100, "memoryLimitMb": 10, "estimateMs": 500}
    spec = msgspec.json.encode({"work_s": 0.5}).decode()
    request = HttpRequest(
        method="POST",
        target=f"{PATH_PREFIX}{number:016x}",
        header_by_name={"host": HOST, "deadline-ms": "3000"},
        body=msgspec.json.encode({"spec": spec, "steps": [step]}),
    )
    entry = f"entry-{number % _ENTRIES + 1}"
    transport = cell.fabric.transport("caller")
    try:
        await transport.send(cell.callers(entry), request)
    except CommunicationError:
        return


async def _play(disrupt: _Disruption, workers: int) -> Counter[str]:
    fabric = MemoryFabric()
    async with trio.open_nursery() as nursery:
        cell = JobCell(
            fabric=fabric, nursery=nursery, entries=_ENTRIES, workers=workers
        )
        await cell.start()
        await trio.sleep(_STARTUP_S)
        await _submit(cell, 0, _BURST_TASKS_PER_WORKER * workers)
        await trio.sleep(1.0)
        fabric.opened.clear()
        end = trio.current_time() + _MINUTE_S
        nursery.start_soon(_repeat, _TROUBLE_INTERVAL_S, partial(disrupt, cell))
        number = 0
        while trio.current_time() < end:
            number += 1
            nursery.start_soon(_submit, cell, number, workers)
            await trio.sleep(_JOB_INTERVAL_S)
        opened = _by_kind(fabric.opened)
        nursery.cancel_scope.cancel()
    return opened


async def _repeat(interval_s: float, act: Callable[[], Awaitable[None]]) -> None:
    while True:
        await trio.sleep(interval_s / 2)
        await act()
        await trio.sleep(interval_s / 2)


def _by_kind(opened: Counter[tuple[str, str]]) -> Counter[str]:
    by_kind: Counter[str] = Counter()
    for (sender, receiver), count in opened.items():
        if receiver == "store":
            by_kind["store"] += count
        elif receiver.endswith("/vm"):
            by_kind["workers"] += count
        elif sender != "caller" and not sender.endswith("/vm"):
            by_kind["daemons"] += count
    return by_kind


def main(workers: int) -> None:
    """Print the connections opened to each kind of peer in a minute of each day."""
    print(f"{'connections opened in a minute':36} workers  store  daemons")
    for day, disrupt in _DISRUPTION_BY_DAY.items():
        clock = MockClock(autojump_threshold=0)
        opened = trio.run(_play, disrupt, workers, clock=clock)
        print(
            f"{day:36} {opened['workers']:7} {opened['store']:6} {opened['daemons']:8}"
        )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else _WORKERS)
