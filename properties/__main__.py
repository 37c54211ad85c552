"""Run one state machine with new seeds: `python -m properties NAME RUNS STEPS`."""

from __future__ import annotations

import sys

import trio
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from properties.batch_tasks import BatchTasks
from properties.configs import Configs
from properties.evacuated_jobs import EvacuatedJobs
from properties.failing_jobs import FailingJobs
from properties.jobs import Jobs
from properties.keyed_requests import KeyedRequests
from properties.list_edits import ListEdits
from properties.paced_jobs import PacedJobs
from properties.parted_jobs import PartedJobs
from properties.refused_jobs import RefusedJobs
from properties.replaced_jobs import ReplacedJobs
from properties.silenced_jobs import SilencedJobs
from properties.takeovers import Takeovers
from properties.unstorable_jobs import UnstorableJobs

MACHINE_BY_NAME = {
    "jobs": Jobs,
    "evacuated-jobs": EvacuatedJobs,
    "refused-jobs": RefusedJobs,
    "failing-jobs": FailingJobs,
    "paced-jobs": PacedJobs,
    "parted-jobs": PartedJobs,
    "replaced-jobs": ReplacedJobs,
    "silenced-jobs": SilencedJobs,
    "unstorable-jobs": UnstorableJobs,
    "configs": Configs,
    "keyed": KeyedRequests,
    "tasks": BatchTasks,
    "lists": ListEdits,
    "takeovers": Takeovers,
}


def main(arguments: list[str]) -> None:
    """Run one state machine with new seeds."""
    name, runs, steps = arguments
    if name not in MACHINE_BY_NAME:
        raise SystemExit(f"NAME: got {name!r}, expected {sorted(MACHINE_BY_NAME)}")
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    run_state_machine_as_test(
        MACHINE_BY_NAME[name],
        settings=settings(
            max_examples=int(runs),
            stateful_step_count=int(steps),
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
    print(f"{name}: nothing found in {runs} runs of {steps} steps")


if __name__ == "__main__":
    main(sys.argv[1:])
