"""Steps on answers of workers that are dear to decode."""

from __future__ import annotations

import tracemalloc
from datetime import timedelta

import msgspec
import trio
from behave import given, then, when
from returns.result import Failure

from coltsfoottray.clock import TrioClock
from coltsfoottray.errors import CommunicationError
from coltsfoottray.http import HttpResponse, HttpTransport
from coltsfoottray.platform.instance import InstanceLink, parse_heartbeat
from tests.support.heartbeats import make_heartbeat

_MB = 1_000_000
_RUN = ["0123456789abcdef.0.1.17", 2, "00000bb87a21d94b", 41]


class _Answering(HttpTransport):
    """Answers each request with the same body."""

    def __init__(self, body):
        self._body = body

    async def send(self, address, request, **_):
        return HttpResponse(status=200, body=self._body)


def _lists(rows):
    return msgspec.json.encode({"clockMs": 1, "born": 7, "running": rows})


@given("a worker that answers a poll with {count:d} empty rows")
def answer_empty_rows(context, count):
    context.body = _lists([[]] * count)


@given("a worker that answers a poll with a row of {count:d} texts in lists")
def answer_nested(context, count):
    context.body = _lists([[[""]] * count])


@given("a worker that answers a poll with {count:d} runs")
def answer_runs(context, count):
    context.body = _lists([_RUN] * count)


@when("its attendant polls it")
def poll(context):
    heartbeat = parse_heartbeat("i-1", msgspec.json.encode(make_heartbeat())).unwrap()
    link = InstanceLink(transport=_Answering(context.body), clock=TrioClock())

    async def play():
        return await link.poll(
            heartbeat=heartbeat,
            fence=1,
            lease_end_ms=0,
            acknowledged=0,
            wait=timedelta(0),
        )

    tracemalloc.start()
    context.error = context.reply = None
    try:
        context.reply = trio.run(play)
    except CommunicationError as error:
        context.error = error
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@then("the poll fails, and has taken less than {size:d} MB")
def check_failed(context, size):
    assert context.error is not None
    assert context.peak_bytes < size * _MB, context.peak_bytes


@then("it has {count:d} runs")
def check_runs(context, count):
    assert len(context.reply.running) == count


@when("a heartbeat with {count:d} labels is read")
def read_heartbeat(context, count):
    body = msgspec.json.encode(make_heartbeat(labels=["ab"] * count))
    tracemalloc.start()
    context.result = parse_heartbeat("i-1", body)
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@then("it is refused, and has taken less than {size:d} MB")
def check_heartbeat(context, size):
    assert isinstance(context.result, Failure), context.result
    assert context.peak_bytes < size * _MB, context.peak_bytes
