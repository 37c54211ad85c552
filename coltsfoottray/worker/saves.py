"""What an attendant stores of its worker's attempts: checkpoints and exit codes."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from coltsfoottray.clock import Clock
from coltsfoottray.platform import ObjectStore, WorkerControl
from coltsfoottray.tasks import checkpoint_name, result_name
from coltsfoottray.worker.ledger import CapacityLedger

__all__ = ["AttemptSaver"]

# Owners normally store an end within this time.
RESULT_DELAY = timedelta(seconds=1)


class AttemptSaver:
    """Saves checkpoints of running attempts and exit codes of ended ones.

    Parameters
    ----------
    checkpoint_interval : timedelta
        Age at which an attempt's last checkpoint is replaced.
    """

    def __init__(
        self,
        *,
        control: WorkerControl,
        objects: ObjectStore,
        clock: Clock,
        checkpoint_interval: timedelta,
    ) -> None:
        self._control = control
        self._objects = objects
        self._clock = clock
        self._checkpoint_interval = checkpoint_interval

    async def take_checkpoints(self, ledger: CapacityLedger) -> None:
        """Take checkpoints of attempts whose last checkpoint is an interval old.

        The name contains the attempt, so a worker that resumes after a pause does not
        overwrite the checkpoint of a later attempt.
        """
        now = self._clock.elapsed()
        for reservation in list(ledger.reservation_by_task.values()):
            is_due = now - reservation.made_at >= self._checkpoint_interval
            if is_due and reservation.is_started and reservation.exit_code is None:
                await self._control.checkpoint(
                    task=reservation.task,
                    attempt=reservation.attempt,
                    name=checkpoint_name(reservation.task, reservation.attempt),
                )
                reservation.made_at = now

    async def store_results(
        self, ledger: CapacityLedger, *, delay: timedelta = RESULT_DELAY
    ) -> None:
        """Store exit codes that no owner has acknowledged within `delay`.

        If the lease lapses or the VM is lost before the owner has stored the end, the
        owner finds the result in the object store and does not run the task again.
        """
        oldest = self._clock.elapsed() - delay
        for reservation in list(ledger.reservation_by_task.values()):
            is_due = reservation.ended_at is not None and reservation.ended_at <= oldest
            if is_due and not reservation.has_result:
                name = result_name(reservation.task, reservation.attempt)
                await self._objects.write(
                    name, msgspec.json.encode(reservation.exit_code)
                )
                reservation.has_result = True
