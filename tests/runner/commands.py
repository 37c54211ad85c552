"""Commands that run beside the scenarios."""

from __future__ import annotations

import os
import subprocess
from functools import partial

from tests.runner.jobs import Job, JobKind, Verdict

__all__ = ["make_command_job"]


def make_command_job(command: str, slots: int = 1) -> Job:
    """Return a job that runs a command of the shell; it passes with status 0."""
    return Job(
        kind=JobKind.COMMAND,
        name=command,
        run=partial(_run, command),
        slots=slots,
    )


def _run(command: str) -> Verdict:
    # The hash seed is fixed for scenarios only.
    environment = {k: v for k, v in os.environ.items() if k != "PYTHONHASHSEED"}
    process = subprocess.run(command, shell=True, check=False, env=environment)
    status = process.returncode
    print(f"status {status}")
    return Verdict.FAILED if status else Verdict.PASSED
