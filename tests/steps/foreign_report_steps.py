"""Steps on heartbeats of workers whose service the config may not name."""

from __future__ import annotations

import msgspec
from behave import given, step, then
from returns.result import Failure

from coltsfoottray.http import HttpRequest
from coltsfoottray.platform.instance import parse_heartbeat

_SERVICE, _OTHER_SERVICE = "svc", "other"
_ID = "i-other"
# Milliseconds since 1970, later than the start of any worker of the cell.
_BORN_MS = 2_000_000_000_000


@given("the config names the service of the workers")
def name_service(context):
    _write_config(context, [_SERVICE])


@step("the config names that service too")
def name_other_service(context):
    _write_config(context, [_SERVICE, _OTHER_SERVICE])


def _write_config(context, names):
    async def write():
        context.world.cell.service_names = names
        context.world.cell.write_config()

    context.world.run(write)
    context.world.advance(3)


def _make_report(address):
    body = {
        "service": _OTHER_SERVICE,
        "address": address,
        "zone": "caerdydd",
        "state": "ready",
        "capacity": {"cpu": 8000, "memoryLimitMb": 64_000},
        "labels": ["a", "r1"],
        "sequence": 1,
        "born": _BORN_MS,
    }
    return msgspec.json.encode(body)


@step("{name}'s attendant gets the report of a worker of another service")
def send_foreign_report(context, name):
    world = context.world
    request = HttpRequest(
        method="POST",
        target=f"/v1/instances/{_ID}/heartbeat",
        body=_make_report(str(world.fabric.free_address())),
    )
    world.send_to_attendant(name, request)


@then("{name}'s attendant calls that worker")
def check_taken(context, name):
    attendant = context.world.cell.attendant_by_name[name].attendant
    assert attendant._heartbeat.life == f"{_ID}/{_BORN_MS}", attendant._heartbeat


@then('a report of the address "{address}" is refused naming "{field}"')
def check_refused(context, address, field):
    result = parse_heartbeat(_ID, _make_report(address))
    assert isinstance(result, Failure), result
    assert result.failure().startswith(field), result
