"""Ownership of queue partitions, each processed by a trio task of its own."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import trio

from coltsfoottray.clock import Clock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.kernel import Service
from coltsfoottray.leases import PartitionOwnership, partition_of
from coltsfoottray.logs import log_event
from coltsfoottray.membership import EntryDirectory, EntryRecord, Registry
from coltsfoottray.peers import Call, CallHandlers, PeerClient
from coltsfoottray.platform import TableError
from coltsfoottray.tasks.partition import OwnedPartition
from coltsfoottray.tasks.placer import CALL_TIMEOUT, Placer
from coltsfoottray.tasks.rows import StoredTask
from coltsfoottray.tasks.store import TaskStore
from coltsfoottray.tasks.supervisor import AttemptSupervisor
from coltsfoottray.tasks.workers import WorkerViews
from coltsfoottray.types import CustomerId, EntryId, TaskId
from coltsfoottray.types import TaskState as State

__all__ = ["TASK_CHANGED", "QueueOwner", "TaskChanged", "TaskChangedReply"]

# Notifications make changes known at once; this bounds the delay if one is lost.
RELOAD_INTERVAL = timedelta(seconds=10)
_MAX_PASS_INTERVAL = timedelta(milliseconds=250)
_MIN_WAKE_INTERVAL = timedelta(milliseconds=100)
# Reports are delayed anyway, and do not change until the next announcement.
_SLOWDOWN_REPORT_INTERVAL = timedelta(seconds=2)
MAX_CONCURRENT = 64


class TaskChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Notification that an entry has written a row whose partition it does not own."""

    customer: CustomerId
    task: TaskId


class TaskChangedReply(msgspec.Struct, frozen=True, kw_only=True):
    """Empty reply."""


TASK_CHANGED = Call(
    name="TaskChanged", request_type=TaskChanged, reply_type=TaskChangedReply
)


class QueueOwner(Service):
    """Places and supervises the tasks of the partitions this entry owns."""

    def __init__(
        self,
        *,
        entry: EntryId,
        ownership: PartitionOwnership,
        directory: EntryDirectory,
        registry: Registry,
        store: TaskStore,
        views: WorkerViews,
        placer: Placer,
        supervisor: AttemptSupervisor,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._ownership = ownership
        self._directory = directory
        self._registry = registry
        self._store = store
        self._views = views
        self._placer = placer
        self._supervisor = supervisor
        self._peers = peers
        self._clock = clock
        self._owned_by_index: dict[int, OwnedPartition] = {}
        self._scope_by_index: dict[int, trio.CancelScope] = {}
        self._wake = trio.Event()

    def add_handlers(self, handlers: CallHandlers) -> None:
        """Register the handlers of other entries' calls."""
        handlers.add(TASK_CHANGED, self.handle_task_changed)

    async def run(  # noqa: D102
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wake_on_announcements)
            nursery.start_soon(self._report_slowdowns)
            task_status.started()
            while True:
                self._update_owned_partitions(nursery)
                await self._ownership.wait_changed()

    async def notify_owner(self, customer: CustomerId, task: TaskId) -> None:
        """Notify the owner of a task that its row has changed.

        This entry knows a partition's owner only from its last reading of the
        table, and ownership may have changed since. It therefore notifies every
        other entry, and only the owner acts on the notification.
        """
        change = TaskChanged(customer=customer, task=task)
        if partition_of(customer) in self._owned_by_index:
            await self.handle_task_changed(change)
            return
        async with trio.open_nursery() as nursery:
            for entry, record in self._directory.record_by_id.items():
                if entry != self._entry:
                    nursery.start_soon(self._notify, record, change)

    async def _notify(self, record: EntryRecord, change: TaskChanged) -> None:
        try:
            await self._peers.call(
                record.peers, TASK_CHANGED, change, timeout=CALL_TIMEOUT
            )
        except CommunicationError as error:
            # The owner's next reload finds the row.
            log_event("tasks:not-told", entry=record.entry, error=str(error))

    async def handle_task_changed(self, change: TaskChanged) -> TaskChangedReply:
        """Handle `TASK_CHANGED`: read the row again."""
        owned = self._owned_by_index.get(partition_of(change.customer))
        if owned is None:
            return TaskChangedReply()
        try:
            found = await self._store.find(change.customer, change.task)
        except TableError as error:
            # The next reload finds the row.
            log_event("tasks:change-unread", task=change.task, error=str(error))
            return TaskChangedReply()
        if found is not None:
            owned.put(found)
            owned.changed.set()
            self._signal()
        return TaskChangedReply()

    def _update_owned_partitions(self, nursery: trio.Nursery) -> None:
        epochs = self._ownership.epoch_by_partition
        for index, owned in list(self._owned_by_index.items()):
            if epochs.get(index) != owned.epoch:
                self._scope_by_index.pop(index).cancel()
                del self._owned_by_index[index]
        for index, epoch in epochs.items():
            if index not in self._owned_by_index:
                owned = OwnedPartition(index=index, epoch=epoch)
                scope = trio.CancelScope()
                self._owned_by_index[index] = owned
                self._scope_by_index[index] = scope
                nursery.start_soon(self._run_partition, owned, scope)

    async def _run_partition(
        self, owned: OwnedPartition, scope: trio.CancelScope
    ) -> None:
        loaded_at: timedelta | None = None
        with scope:
            while True:
                now = self._clock.elapsed()
                try:
                    if loaded_at is None or now - loaded_at > RELOAD_INTERVAL:
                        owned.load(await self._store.load(owned.index))
                        loaded_at = now
                    await self._process_tasks(owned)
                except TableError as error:
                    log_event("tasks:table-down", error=str(error))
                await self._wait_for_changes(owned)

    async def _process_tasks(self, owned: OwnedPartition) -> None:
        limit = trio.CapacityLimiter(MAX_CONCURRENT)
        async with trio.open_nursery() as nursery:
            for stored in owned.running():
                if self._supervisor.needs_action(owned, stored):
                    nursery.start_soon(self._process_task, owned, stored, limit)
            for stored in owned.queued():
                nursery.start_soon(self._process_task, owned, stored, limit)

    async def _process_task(
        self, owned: OwnedPartition, stored: StoredTask, limit: trio.CapacityLimiter
    ) -> None:
        task = stored.row.spec.task
        async with limit:
            owned.busy.add(task)
            try:
                if stored.row.state is State.QUEUED:
                    await self._placer.place(owned, stored)
                else:
                    await self._supervisor.supervise(owned, stored)
            except TableError as error:
                log_event("tasks:not-moved", task=task, error=str(error))
            finally:
                owned.busy.discard(task)

    async def _wait_for_changes(self, owned: OwnedPartition) -> None:
        """Wait for the next pass.

        An empty partition waits until one of its rows changes or a reload is due.
        """
        if owned.task_by_id:
            with trio.move_on_after(_MAX_PASS_INTERVAL.total_seconds()):
                await self._wake.wait()
        else:
            with trio.move_on_after(RELOAD_INTERVAL.total_seconds()):
                await owned.changed.wait()
            owned.changed = trio.Event()

    async def _wake_on_announcements(self) -> None:
        """Start a pass after announcements, but not after every single one.

        A pass takes time in proportion to the number of running tasks, and with
        hundreds of workers many announcements arrive within one interval.
        """
        while True:
            await self._registry.wait_changed()
            self._signal()
            await self._clock.sleep(_MIN_WAKE_INTERVAL)

    async def _report_slowdowns(self) -> None:
        while True:
            await self._clock.sleep(_SLOWDOWN_REPORT_INTERVAL)
            self._views.report_slowdowns()

    def _signal(self) -> None:
        self._wake.set()
        self._wake = trio.Event()
