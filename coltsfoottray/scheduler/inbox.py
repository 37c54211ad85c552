"""What reaches the scheduler between two rounds."""

from __future__ import annotations

from dataclasses import dataclass, field

from coltsfoottray.jobs.model import AcceptedJob, JobId
from coltsfoottray.scheduler.messages import Report

__all__ = ["Inbox"]


@dataclass(kw_only=True)
class Inbox:
    """What has arrived since the last round."""

    reports: list[Report] = field(default_factory=list)
    accepted: list[AcceptedJob] = field(default_factory=list)
    cancelled: list[JobId] = field(default_factory=list)
    forgotten: list[JobId] = field(default_factory=list)
