"""What a service is."""

from __future__ import annotations

import abc
from typing import NewType

import trio

from coltsfoottray.types import Address

__all__ = ["Listener", "Service", "ServiceName"]

ServiceName = NewType("ServiceName", str)


class Service(abc.ABC):
    """A part of a daemon with a life of its own."""

    @abc.abstractmethod
    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled; call `task_status.started()` once ready."""

    async def stop(self) -> None:  # noqa: B027  most services need no farewell
        """Finish what must be finished before `run` is cancelled."""


class Listener(Service):
    """A server; `bound_address` is where it listens once it has started."""

    bound_address: Address
