"""Run a program that does not reach some others.

Usage: `python -m soak.parted FILE [FAULT] SETTINGS`. FILE has a line `ADDRESS PARTING`
for each of the others, where the address may be a host only. The soak writes it anew
while the program runs. FAULT is the name of a planted one.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any
from unittest import mock

import trio

from coltsfoottray.cli.run import run
from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpClient, HttpRequest, HttpResponse
from coltsfoottray.http.common import DEFAULT_TIMEOUT
from coltsfoottray.types import Address
from standins.connections import Parting

__all__ = ["main", "parted_from", "write_partings"]


def write_partings(file: Path, parting_by_address: dict[str, Parting]) -> None:
    """Set which others a program does not reach."""
    lines = [f"{address} {way}\n" for address, way in parting_by_address.items()]
    new = file.with_suffix(".new")
    new.write_text("".join(lines))
    new.replace(file)


@contextmanager
def parted_from(file: Path) -> Iterator[None]:
    """Let the HTTP clients of this process fail as the file says."""
    original = HttpClient.send

    async def send(
        self: HttpClient,
        address: Address,
        request: HttpRequest,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        **options: Any,
    ) -> HttpResponse:
        parting = _read_parting(file, address)
        if parting is not None:
            if parting is Parting.SILENT:
                await trio.sleep(timeout.total_seconds())
            raise _make_error(parting, address)
        return await original(self, address, request, timeout=timeout, **options)

    with mock.patch.object(HttpClient, "send", send):
        yield


def _read_parting(file: Path, address: Address) -> Parting | None:
    for line in file.read_text().splitlines():
        other, way = line.split()
        if other in (address.host, str(address)):
            return Parting(way)
    return None


def _make_error(parting: Parting, address: Address) -> CommunicationError:
    is_refused = parting is Parting.REFUSED
    return CommunicationError(
        step=ExchangeStep.CONNECT if is_refused else ExchangeStep.RECEIVE,
        peer=str(address),
        detail=f"parted: {parting.value}",
        is_refused=is_refused,
    )


def main(arguments: list[str]) -> None:
    """Run the program that a settings file describes, perhaps with a planted fault."""
    file, *program = arguments
    with parted_from(Path(file)):
        if len(program) == 1:
            run(Path(program[0]))
            return
        from soak.planted import main as run_planted

        run_planted(program)


if __name__ == "__main__":
    main(sys.argv[1:])
