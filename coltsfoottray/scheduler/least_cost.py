"""What a scheduler needs to order jobs by least cost."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfoottray.clock import Clock
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.metrics import Metrics
from coltsfoottray.scheduler.backlog_feed import BacklogFeed
from coltsfoottray.scheduler.backlog_watch import BacklogWatch
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.deadlines import Deadlines
from coltsfoottray.scheduler.learned_row import LearnedRow
from coltsfoottray.scheduler.overload import OverloadControl
from coltsfoottray.scheduler.takeover import Claim

__all__ = ["LeastCost"]


@dataclass(frozen=True, kw_only=True)
class LeastCost:
    """The parts that exist only with `JobOrder.LEAST_COST`."""

    control: OverloadControl
    deadlines: Deadlines
    learned_row: LearnedRow

    @classmethod
    def create(
        cls,
        *,
        claim: Claim,
        cluster: ClusterState,
        holder: ConfigHolder,
        backlog: BacklogWatch,
        clock: Clock,
        metrics: Metrics,
    ) -> LeastCost:
        """Create the parts of a scheduler that has just claimed the lease row."""
        feed = BacklogFeed(
            epoch=claim.lease.epoch,
            holder=holder,
            publish=backlog.publish,
            metrics=metrics,
        )
        control = OverloadControl(cluster=cluster, backlog_feed=feed, metrics=metrics)
        return cls(
            control=control,
            deadlines=Deadlines(terms_of=cluster.terms_of, clock=clock),
            learned_row=LearnedRow(
                lengths=cluster.lengths,
                meter=control.meter,
                clock=clock,
                now=claim.acquired_at,
            ),
        )
