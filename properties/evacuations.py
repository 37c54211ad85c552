"""Oracle on the evacuation of data centres."""

from __future__ import annotations

from dataclasses import dataclass

from tests.support.job_world import JobWorld

__all__ = ["EvacuationOracle"]

# The operator's bound: from then on nothing is started in an evacuated data centre.
_IN_FORCE_AFTER_S = 5.0
# A daemon that was frozen may finish what it was about to send.
_SETTLING_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _Evacuation:
    data_centre: str
    begin_s: float
    end_s: float


class EvacuationOracle:
    """Evacuates data centres and knows which start orders came too late."""

    def __init__(self, *, world: JobWorld) -> None:
        self._world = world
        self._begin_by_data_centre: dict[str, float] = {}
        self._ended: list[_Evacuation] = []
        self._resumptions: list[tuple[str, float]] = []
        resume = world.resume

        def resume_and_record(process: str) -> None:
            self._resumptions.append((process, world.now()))
            resume(process)

        world.resume = resume_and_record  # type: ignore[method-assign]

    def set_evacuated(self, data_centre: str, *, is_evacuated: bool) -> None:
        """Evacuate a data centre, or take that back."""
        if is_evacuated == (data_centre in self._begin_by_data_centre):
            return
        cell = self._world.cell

        async def write() -> None:
            if is_evacuated:
                cell.evacuate(data_centre)
            else:
                cell.end_evacuation(data_centre)

        self._world.run(write)
        now = self._world.now()
        if is_evacuated:
            self._begin_by_data_centre[data_centre] = now
            return
        begin = self._begin_by_data_centre.pop(data_centre)
        self._ended.append(
            _Evacuation(data_centre=data_centre, begin_s=begin, end_s=now)
        )

    def end_all(self) -> None:
        """Take all evacuations back."""
        for data_centre in list(self._begin_by_data_centre):
            self.set_evacuated(data_centre, is_evacuated=False)

    def late_orders(self) -> list[tuple[str, float]]:
        """Return the workers that were ordered to start something too late, and when.

        An order counts when it arrives; a worker may carry it out later.
        """
        evacuations = [
            *self._ended,
            *(
                _Evacuation(data_centre=name, begin_s=begin, end_s=self._world.now())
                for name, begin in self._begin_by_data_centre.items()
            ),
        ]
        return [
            (worker.name, at)
            for worker in self._world.cell.worker_by_name.values()
            for at in worker.order_times_s
            for each in evacuations
            if each.data_centre == worker.data_centre
            and each.begin_s + _IN_FORCE_AFTER_S < at < each.end_s
            and not self._was_frozen(worker.name, at)
        ]

    def _was_frozen(self, process: str, at: float) -> bool:
        return any(
            process == other and resumed_at <= at < resumed_at + _SETTLING_S
            for other, resumed_at in self._resumptions
        )
