"""Registration of components, and start and stop order of services."""

from __future__ import annotations

from typing import TypeVar

import trio

from coltsfoottray.errors import InputError
from coltsfoottray.kernel.service import Service, ServiceName

__all__ = ["Kernel"]

T = TypeVar("T")


class Kernel:
    """Holds the components of one daemon by name.

    Components that are `Service` instances are started in the order in which they
    were registered and stopped in the reverse order. The first registration of a
    name counts: a test replaces a component by registering its own beforehand.

    Examples
    --------
    >>> kernel = Kernel()
    >>> kernel.register(ServiceName("answer"), 42)
    >>> kernel.find(ServiceName("answer"), int)
    42
    """

    def __init__(self) -> None:
        self._component_by_name: dict[ServiceName, object] = {}
        self._cancel_scope: trio.CancelScope | None = None

    def register(self, name: ServiceName, component: object) -> None:
        """Register `component` as `name`, unless the name is registered already."""
        self._component_by_name.setdefault(name, component)

    def find(self, name: ServiceName, kind: type[T]) -> T:
        """Return the component registered as `name`.

        Raises
        ------
        InputError
            If no component has that name, or if it has another type.
        """
        component = self._component_by_name.get(name)
        if not isinstance(component, kind):
            raise InputError(
                field=f"service {name!r}",
                value=type(component).__name__,
                expected=f"a registered {kind.__name__}; "
                f"registered names: {sorted(self._component_by_name)}",
            )
        return component

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
        """Stop the services in reverse start order, then end `run`."""
        for service in reversed(self._services()):
            await service.stop()
        self.cancel()

    def cancel(self) -> None:
        """End `run` immediately, without calling `stop` on the services."""
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()

    def _services(self) -> list[Service]:
        return [p for p in self._component_by_name.values() if isinstance(p, Service)]
