"""Steps on the turns of requests that are dear to decode, on a virtual clock."""

from __future__ import annotations

from functools import partial

import msgspec
import trio
import trio.lowlevel
import trio.testing
from behave import given, then, when

from coltsfoottray.errors import InputError
from coltsfoottray.http import HttpRequest
from coltsfoottray.intake import RequestRefused, Turns
from coltsfoottray.intake.turns import is_heavy, weigh_json, weigh_msgpack
from coltsfoottray.peers import CallHandlers
from coltsfoottray.peers.http import HttpPeerHandler
from coltsfoottray.scheduler.messages import JOB_NOTIFICATION

_HEAVY_WEIGHT = 10_000
_LIGHT_WEIGHT = 1


@given("a process in which decoding a heavy request takes {ms:d} ms")
def set_duration(context, ms):
    context.duration_s = ms / 1000


@when("{count:d} heavy requests wait, and a light one comes")
def play_turns(context, count):
    context.decoded = []
    context.refused = 0
    context.count = count

    async def decode(turns, weight, name):
        try:
            async with turns.turn(weight):
                if weight == _HEAVY_WEIGHT:
                    # Nothing else runs meanwhile, as while bytes are decoded.
                    trio.lowlevel.current_clock().jump(context.duration_s)
                context.decoded.append(name)
        except RequestRefused:
            context.refused += 1

    async def play():
        turns = Turns()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(decode, turns, _HEAVY_WEIGHT, "heavy")
            await trio.lowlevel.checkpoint()
            nursery.start_soon(decode, turns, _LIGHT_WEIGHT, "light")

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@then("the light one is decoded after at most {count:d} heavy one")
def check_light(context, count):
    assert context.decoded.index("light") <= count, context.decoded


@then(
    "at most {count:d} heavy requests are decoded, and the others are refused as busy"
)
def check_refused(context, count):
    heavy = context.decoded.count("heavy")
    assert 0 < heavy <= count, heavy
    assert heavy + context.refused == context.count, (heavy, context.refused)


def _job(steps, text="x"):
    return msgspec.json.encode({"spec": text, "steps": steps})


def _notification(steps):
    job = {"spec": {"payload": "x", "steps": [{}] * steps}}
    return msgspec.msgpack.encode({"accepted": [job]})


_BODY_BY_NAME = {
    "a job of 5 steps": (weigh_json, _job([{"count": 2, "cpu": 500}] * 5)),
    "a job whose text has 48000 bytes": (weigh_json, _job([{}], "x" * 48_000)),
    "a job of 1000 empty steps": (weigh_json, _job([{}] * 1000)),
    "a notification of a job of 1000 steps": (
        partial(weigh_msgpack, has_defaults=True),
        _notification(1000),
    ),
    # 128.0 has as many bytes of empty objects as any number.
    "a report of 2000 runs": (
        partial(weigh_msgpack, has_defaults=False),
        msgspec.msgpack.encode({"running": [[["0" * 16, 0, 1, 17], 2, 128.0]] * 2000}),
    ),
}


def _is_heavy(name):
    weigh, data = _BODY_BY_NAME[name]
    return is_heavy(weigh(data))


@then("{body} is light")
def check_is_light(context, body):
    assert not _is_heavy(body)


@then("{body} is heavy")
def check_is_heavy(context, body):
    assert _is_heavy(body)


@when("a notification of a job of {steps:d} steps is handled")
def handle_notification(context, steps):
    handlers = CallHandlers()
    handlers.add(JOB_NOTIFICATION, lambda message: None)
    request = HttpRequest(
        method="POST", target=JOB_NOTIFICATION.path, body=_notification(steps)
    )
    context.error = None
    try:
        trio.run(HttpPeerHandler(handlers=handlers).handle, request)
    except InputError as error:
        context.error = error


@then("it is refused for its number of steps")
def check_counted(context):
    assert "steps, expected at most 10000" in str(context.error), context.error
