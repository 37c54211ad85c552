"""The pool that the jobs of each queue compete for.

Whether a job is a filler is a property of its steps, not of its queue. The kind of pool
is therefore learned from the jobs of the queue.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from coltsfoottray.jobs.model import QueueTerms
from coltsfoottray.overload.backlog import QueueRank
from coltsfoottray.overload.demand import JobDemand, Pool, PoolKind

__all__ = ["QueueRanks"]


class QueueRanks:
    """Remembers for each queue the kind of pool of its latest jobs."""

    def __init__(self) -> None:
        self._kinds_by_queue: dict[str, set[PoolKind]] = {}

    def update(
        self, demands: Iterable[JobDemand], terms_by_queue: Mapping[str, QueueTerms]
    ) -> dict[str, QueueRank]:
        """Learn from the unfinished jobs; return the ranks of the queues.

        Queues without an objective have none, nor have those whose kind is unknown:
        queues without a job so far, and those with unfinished jobs of both kinds.
        """
        kinds_by_queue: dict[str, set[PoolKind]] = defaultdict(set)
        for demand in demands:
            kinds_by_queue[demand.queue].add(demand.pool.kind)
        self._kinds_by_queue = {
            queue: kinds
            for queue, kinds in (self._kinds_by_queue | kinds_by_queue).items()
            if queue in terms_by_queue
        }
        ranks: dict[str, QueueRank] = {}
        for queue, kinds in self._kinds_by_queue.items():
            terms = terms_by_queue[queue]
            if not terms.has_objective or len(kinds) != 1:
                continue
            (kind,) = kinds
            pool = Pool(service=terms.service, kind=kind)
            ranks[queue] = QueueRank(pool=pool, priority=terms.priority)
        return ranks
