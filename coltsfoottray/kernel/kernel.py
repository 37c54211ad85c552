"""Registration, start order and stop order of services."""

from __future__ import annotations

from typing import TypeVar

import trio

from coltsfoottray.errors import InputError
from coltsfoottray.kernel.service import Service, ServiceName

__all__ = ["Kernel"]

T = TypeVar("T")


class Kernel:
    """Holds the parts of one daemon by name.

    Parts that are `Service` instances are started in the order in which they
    were registered and stopped in the reverse order. A test swaps a part by
    registering its own under the same name first: the first one stays.

    Examples
    --------
    >>> kernel = Kernel()
    >>> kernel.register(ServiceName("answer"), 42)
    >>> kernel.find(ServiceName("answer"), int)
    42
    """

    def __init__(self) -> None:
        self._part_by_name: dict[ServiceName, object] = {}
        self._cancel_scope: trio.CancelScope | None = None

    def register(self, name: ServiceName, part: object) -> None:
        """Add `part` under `name` unless a test has put its own there."""
        self._part_by_name.setdefault(name, part)

    def find(self, name: ServiceName, kind: type[T]) -> T:
        """Return the part called `name`.

        Raises
        ------
        InputError
            If nothing of that name is registered, or it is of another type.
        """
        part = self._part_by_name.get(name)
        if not isinstance(part, kind):
            raise InputError(
                field=f"service {name!r}",
                value=type(part).__name__,
                expected=f"a registered {kind.__name__}; "
                f"registered are {sorted(self._part_by_name)}",
            )
        return part

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Start every service in order and run until `stop` or cancellation."""
        async with trio.open_nursery() as nursery:
            self._cancel_scope = nursery.cancel_scope
            for service in self._services():
                await nursery.start(service.run)
            task_status.started()

    async def stop(self) -> None:
        """Let each service finish, last started first, then end `run`."""
        for service in reversed(self._services()):
            await service.stop()
        self.cancel()

    def cancel(self) -> None:
        """End `run` without waiting for anything."""
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()

    def _services(self) -> list[Service]:
        return [p for p in self._part_by_name.values() if isinstance(p, Service)]
