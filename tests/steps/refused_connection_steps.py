"""Steps about what the HTTP client concludes from a connection that is not made."""

from __future__ import annotations

from datetime import timedelta
from unittest import mock

import trio
from behave import then, when

from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpClient, HttpRequest
from coltsfoottray.types import Address

_ERROR_BY_OUTCOME = {
    "refused": ConnectionRefusedError(),
    "reset": ConnectionResetError(),
    "aborted": ConnectionAbortedError(),
    "not made": TimeoutError(),
}


@when("an HTTP request is sent while new connections are {outcome}")
def send_request(context, outcome):
    async def fail(host, port):
        raise OSError("all attempts failed") from _ERROR_BY_OUTCOME[outcome]

    async def send():
        request = HttpRequest(method="GET", target="/")
        address = Address(host="127.0.0.1", port=9)
        try:
            await HttpClient().send(address, request, timeout=timedelta(seconds=1))
        except CommunicationError as error:
            context.error = error

    with mock.patch.object(trio, "open_tcp_stream", fail):
        trio.run(send)


@then("the request fails before it is sent, and the peer {verdict}")
def check_error(context, verdict):
    assert context.error.is_unseen, context.error
    assert context.error.is_refused == (verdict == "is refusing"), context.error
