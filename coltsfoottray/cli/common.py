"""What the commands share."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, NoReturn

import msgspec
import trio
import typer

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest, HttpResponse
from coltsfoottray.settings.models import parse_address
from coltsfoottray.types import Address

__all__ = ["EntryOption", "ask", "fail", "read_address"]

_TIMEOUT = timedelta(seconds=10)

EntryOption = Annotated[
    str, typer.Option("--entry", help="An entry's HTTP address, IP:port.")
]


def fail(message: str, *, code: int = 1) -> NoReturn:
    """End the command with `message`."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def read_address(text: str) -> Address:
    """Return an address given on the command line."""
    try:
        return parse_address(text)
    except ValueError as error:
        fail(f"--entry: {error}", code=2)


def ask(entry: str, method: str, target: str, body: bytes = b"") -> HttpResponse:
    """Send one request to an entry, and end the command if that fails."""
    address = read_address(entry)
    request = HttpRequest(method=method, target=target, body=body)

    async def send() -> HttpResponse:
        return await HttpClient().send(address, request, timeout=_TIMEOUT)

    try:
        response = trio.run(send)
    except CommunicationError as error:
        fail(str(error))
    if response.status >= 400:
        problem = msgspec.json.decode(response.body, type=dict[str, object])
        fail(f"{problem['title']}: {problem['detail']}")
    return response
