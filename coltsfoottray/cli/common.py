"""Functions and options shared by the commands."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from typing import Annotated, NoReturn

import msgspec
import trio
import typer

from coltsfoottray.errors import CommunicationError, InputError
from coltsfoottray.http import HttpClient, HttpRequest, HttpResponse
from coltsfoottray.logs import start_logging
from coltsfoottray.settings import LogSettings
from coltsfoottray.settings.models import parse_address
from coltsfoottray.types import Address

__all__ = [
    "EntryOption",
    "expect_log_files",
    "fail",
    "parse_entry_address",
    "send_request",
    "start_logging_or_fail",
]

_REQUEST_TIMEOUT = timedelta(seconds=10)

EntryOption = Annotated[
    str, typer.Option("--entry", help="HTTP address of an entry, IP:port.")
]


def fail(message: str, *, code: int = 1) -> NoReturn:
    """Print `message` to standard error and exit with `code`."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def start_logging_or_fail(
    settings: LogSettings, *, level: str | None, file: str | None
) -> None:
    """Start logging, and exit if an option or a setting is not valid."""
    try:
        start_logging(settings, level=level, file=file)
    except InputError as error:
        fail(str(error), code=2)


def expect_log_files(
    arguments: list[Path] | None, options: list[Path] | None
) -> list[Path]:
    """Return the paths given in either way, and exit if one of them is not a file."""
    for field, paths in (("FILES", arguments), ("--logs", options)):
        for path in paths or []:
            if not path.is_file():
                fail(f"{field}: got {str(path)!r}, expected a log file", code=2)
    return [*(arguments or []), *(options or [])]


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
