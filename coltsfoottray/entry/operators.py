"""Health, status and explanations for operators, and edits of the two lists."""

from __future__ import annotations

import msgspec
from returns.result import Failure

from coltsfoottray.claims import ClaimMembers
from coltsfoottray.entry.metrics import LatencyMetrics, LatencySummary
from coltsfoottray.entry.problems import to_table_problem_response
from coltsfoottray.errors import InputError
from coltsfoottray.explain import Journal
from coltsfoottray.http import HttpRequest, HttpResponse, Outcome, Problem
from coltsfoottray.lists import Edit, ListEditor, ListHolder
from coltsfoottray.membership import EntryDirectory, Member, Registry
from coltsfoottray.platform import TableError
from coltsfoottray.types import Address, DaemonId, Kind, ListVersion, Role

__all__ = ["DaemonStatus", "EntryStatus", "OperatorApi"]


class DaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of one daemon, from its last announcement to this entry."""

    daemon: DaemonId
    role: Role
    data_centre: str
    lists_version: ListVersion
    is_draining: bool


class EntryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of an entry and of the daemons that announce to it."""

    entry: DaemonId
    lists_version: ListVersion
    entry_addresses: list[Address]
    daemons: list[DaemonStatus]
    latency_ms: dict[Kind, LatencySummary]


class OperatorApi:
    """Serves the command line, the external monitor and the load balancer.

    `/health` returns status 200 only while the entry may serve keyed requests, which
    is from the time it joins the claim members until it drains, and 503 otherwise.
    """

    def __init__(
        self,
        *,
        entry: DaemonId,
        editor: ListEditor,
        holder: ListHolder,
        registry: Registry,
        directory: EntryDirectory,
        journal: Journal,
        metrics: LatencyMetrics,
        members: ClaimMembers,
    ) -> None:
        self._entry = entry
        self._editor = editor
        self._holder = holder
        self._registry = registry
        self._directory = directory
        self._journal = journal
        self._metrics = metrics
        self._members = members
        self.is_draining = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request of an operator, monitor or load balancer."""
        path = request.path.strip("/")
        if path == "health":
            is_healthy = self._members.is_joined and not self.is_draining
            return HttpResponse(status=200 if is_healthy else 503)
        if path == "status":
            return HttpResponse.of_json(self._make_entry_status())
        if path.startswith("explain/"):
            subject = path.removeprefix("explain/")
            return HttpResponse.of_json(self._journal.explain(subject))
        try:
            return await self._handle_lists(path, request)
        except TableError as error:
            return to_table_problem_response(error)

    async def _handle_lists(self, path: str, request: HttpRequest) -> HttpResponse:
        if path == "lists/history":
            return HttpResponse.of_json(await self._editor.history())
        if path == "lists" and request.method == "GET":
            return HttpResponse.of_json(self._holder.current)
        if path == "lists" and request.method == "POST":
            return await self._edit(request.decode(Edit))
        raise InputError(
            field="request",
            value=f"{request.method} {request.path}",
            expected="GET or POST /lists, or GET /lists/history",
        )

    async def _edit(self, edit: Edit) -> HttpResponse:
        outcome = await self._editor.commit(edit)
        if isinstance(outcome, Failure):
            return Problem(
                outcome=Outcome.CONFLICT, detail=str(outcome.failure())
            ).to_response()
        return HttpResponse.of_json(outcome.unwrap())

    def _make_entry_status(self) -> EntryStatus:
        members = [member for role in Role for member in self._registry.members(role)]
        return EntryStatus(
            entry=self._entry,
            lists_version=self._holder.current.version,
            entry_addresses=sorted(
                record.http for record in self._directory.record_by_id.values()
            ),
            daemons=[_make_daemon_status(member) for member in members],
            latency_ms=self._metrics.summary(),
        )


def _make_daemon_status(member: Member) -> DaemonStatus:
    announcement = member.announcement
    return DaemonStatus(
        daemon=announcement.daemon,
        role=announcement.role,
        data_centre=announcement.data_centre,
        lists_version=member.lists_version,
        is_draining=announcement.is_draining,
    )
