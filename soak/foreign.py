"""What another writer leaves: reports of workers, and rows in the store."""

from __future__ import annotations

import json
from datetime import timedelta

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest
from soak.site import Site
from standins.metadata_table import MetadataTableStandIn

__all__ = ["send_report", "store_row"]

_TIMEOUT = timedelta(seconds=1)
# Nobody listens at this port.
_FREE_PORT = 7011
_LATER_MS = 2_000_000_000_000
_DEEP = '{"odd": ' + "[" * 20_000 + "]" * 20_000 + "}"
_ROWS = (
    ("members", "", "entry-9", _DEEP),
    ("state", "j0", "odd", "{}"),
    ("state", "scheduler", "job.odd", _DEEP),
    ("progress", "scheduler", "partx.odd", "{}"),
    ("attendants", "scheduler", "odd", '{"w": {"host": "x", "port": 99999}}'),
    ("learned", "scheduler", "odd", _DEEP),
    ("state", "scheduler", "lease", "{}"),
)


def store_row(table: MetadataTableStandIn, number: int) -> None:
    """Store the row that `number` selects."""
    table.put_text(*_ROWS[number % len(_ROWS)])


async def send_report(site: Site, worker: str, number: int) -> None:
    """Send a worker's attendant the report that `number` selects."""
    stand_in = site.worker_by_name[worker]
    own = stand_in.make_heartbeat()
    nobody = str(site.address(worker, _FREE_PORT))
    variants: tuple[dict[str, object], ...] = (
        {"address": nobody, "born": _LATER_MS},
        {"born": _LATER_MS},
        {"sequence": 1 << 50, "capacity": {"cpu": 10**6, "memoryLimitMb": 10**6}},
        {"remainingMs": 1e300},
        {"address": "127..0.9:7010"},
    )
    text = json.dumps({**own, **variants[number % len(variants)]})
    if number % 2:
        text = text[:-1] + ', "new": ' + _DEEP + "}"
    request = HttpRequest(
        method="POST",
        target=f"/v1/instances/i-{worker}/heartbeat",
        body=text.encode(),
    )
    client = HttpClient()
    try:
        await client.send(site.heartbeats(worker), request, timeout=_TIMEOUT)
    except CommunicationError:
        # The attendant may be down.
        return
    finally:
        client.close()
