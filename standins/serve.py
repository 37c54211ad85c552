"""Run a stand-in as a process: `python -m standins.serve KIND PORT`."""

from __future__ import annotations

import sys

import trio

from coltsfoottray.http import HttpServer
from coltsfoottray.types import Address, Resources
from standins.metadata_table import MetadataTableStandIn
from standins.observer import Observer
from standins.table import TableStandIn
from standins.upstream import UpstreamStandIn
from standins.worker import WorkerStandIn

__all__ = ["main"]

_KINDS = ("metadata-table", "table", "upstream", "worker")
# The platform's store holds a config before anything starts.
_CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-rebuild",
            "host": "jobs.example",
            "pathPrefix": "/rebuild/",
            "service": "svc",
            "timeoutMs": 3000,
        }
    ],
    "services": [],
}
_CAPACITY = Resources(processors=64, memory_gb=250, accelerators=2)


async def _serve(kind: str, port: int) -> None:
    observer = Observer()
    address = Address(host="127.0.0.1", port=port)
    async with trio.open_nursery() as nursery:
        if kind == "table":
            handler = TableStandIn().handle
        elif kind == "metadata-table":
            store = MetadataTableStandIn()
            store.put("op", "", "config", _CONFIG)
            handler = store.handle
        elif kind == "upstream":
            handler = UpstreamStandIn(observer=observer).handle
        else:
            worker = WorkerStandIn(
                capacity=_CAPACITY, boot="boot-1", observer=observer, objects={}
            )
            nursery.start_soon(worker.run)
            handler = worker.handle
        await HttpServer(address=address, handler=handler).run()


def main(arguments: list[str]) -> None:
    """Serve the stand-in named in `arguments` until killed."""
    kind, port = arguments
    if kind not in _KINDS:
        raise SystemExit(f"kind: got {kind!r}, expected one of {_KINDS}")
    trio.run(_serve, kind, int(port))


if __name__ == "__main__":
    main(sys.argv[1:])
