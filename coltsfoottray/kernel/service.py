"""The interface of a service."""

from __future__ import annotations

import abc
from typing import NewType

import trio

from coltsfoottray.types import Address

__all__ = ["Listener", "Service", "ServiceName"]

ServiceName = NewType("ServiceName", str)


class Service(abc.ABC):
    """A component of a daemon that runs in a task of its own."""

    @abc.abstractmethod
    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled, and call `task_status.started()` once ready."""

    async def stop(self) -> None:  # noqa: B027  most services need no cleanup
        """Complete what must not be interrupted, before `run` is cancelled."""


class Listener(Service):
    """A server, which listens on `bound_address` once it has started."""

    bound_address: Address
