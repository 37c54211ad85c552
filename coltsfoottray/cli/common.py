"""Functions and options shared by the commands."""

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

__all__ = ["EntryOption", "fail", "parse_entry_address", "send_request"]

_REQUEST_TIMEOUT = timedelta(seconds=10)

EntryOption = Annotated[
    str, typer.Option("--entry", help="HTTP address of an entry, IP:port.")
]


def fail(message: str, *, code: int = 1) -> NoReturn:
    """Print `message` to standard error and exit with `code`."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def parse_entry_address(text: str) -> Address:
    """Parse the address in the option `--entry`, and exit if it is not valid."""
    try:
        return parse_address(text)
    except ValueError as error:
        fail(f"--entry: {error}", code=2)


def send_request(
    entry: str, method: str, target: str, body: bytes = b""
) -> HttpResponse:
    """Send a request to an entry and return the response; exit if it fails."""
    address = parse_entry_address(entry)
    request = HttpRequest(method=method, target=target, body=body)

    async def send() -> HttpResponse:
        return await HttpClient().send(address, request, timeout=_REQUEST_TIMEOUT)

    try:
        response = trio.run(send)
    except CommunicationError as error:
        fail(str(error))
    if response.status >= 400:
        problem = msgspec.json.decode(response.body, type=dict[str, object])
        fail(f"{problem['title']}: {problem['detail']}")
    return response
