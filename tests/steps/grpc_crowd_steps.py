"""Steps on crowds of gRPC clients, against a real process."""

from __future__ import annotations

import msgspec
from behave import given, then, when

from coltsfoottray.tasks.owner import TASK_CHANGED, TaskChanged
from coltsfoottray.types import CustomerId, TaskId
from tests.support.crowd import Crowd
from tests.support.grpc_clients import GrpcClient
from tests.support.job_processes import JobProcesses

_MB = 1_000_000
_PORT = "entry/peers"
_OK = "0"


@given("an entry process with gRPC and {descriptors:d} descriptors")
def start_entry(context, descriptors):
    context.processes = processes = JobProcesses()
    context.closers.append(processes.close)
    context.descriptors = descriptors
    processes.start_stand_in("table", "table")
    processes.start_daemon("entry", {"role": "entry"})
    processes.measure("entry", ["entry", _PORT], descriptors)
    processes.wait_until("a call over gRPC", lambda: _is_answered(processes))


def _is_answered(processes):
    change = TaskChanged(customer=CustomerId("nobody"), task=TaskId("none"))
    message = msgspec.msgpack.encode(change)
    client = GrpcClient(announced=len(message), message=message, path=TASK_CHANGED.path)
    crowd = Crowd(clients=[client])
    for _ in crowd.play(processes.port_by_name[_PORT]):
        pass
    crowd.close()
    return client.status == _OK


def _play(context, client_count, announced, fill_bytes):
    _play_clients(
        context,
        [
            GrpcClient(announced=announced, fill_bytes=fill_bytes)
            for _ in range(client_count)
        ],
    )


def _play_clients(context, clients):
    crowd = Crowd(clients=clients)
    context.closers.append(crowd.close)
    measured = context.processes.measured()
    for _ in crowd.play(context.processes.port_by_name[_PORT]):
        if measured.is_alive:
            measured.look()


@when("{count:d} client calls over gRPC with a message of {size:g} MB")
def call_once(context, count, size):
    _play(context, count, int(size * _MB), int(size * _MB))


@when(
    "{count:d} clients call over gRPC with a message of {size:g} MB and withhold its "
    "last byte"
)
def call_without_end(context, count, size):
    _play(context, count, int(size * _MB), int(size * _MB) - 1)


@when("{count:d} client announces {kinds:d} kinds of requests over gRPC")
def announce_kinds(context, count, kinds):
    nobody = {"host": "127.0.0.1", "port": 9}
    announcement = {
        "daemon": "x",
        "role": "upstream",
        "incarnation": "1",
        "data_centre": "caerdydd",
        "rack": "r1",
        "http": nobody,
        "peers": nobody,
        "load": {
            "slots": 1,
            "connections": 1,
            "service_s_by_kind": {f"{number:x}": 1 for number in range(kinds)},
        },
    }
    request = {"announcement": announcement, "lists_version": 0, "hold_s": 0.1}
    body = msgspec.msgpack.encode(request)
    _play_clients(
        context, [GrpcClient(announced=len(body), rest=body) for _ in range(count)]
    )


@then("a call over gRPC is answered, and the process is within {bound:d} MB")
def check_sound(context, bound):
    processes = context.processes
    measured = processes.measured()
    assert measured.is_alive, "the process has ended"
    assert measured.memory_mb <= bound, f"{measured.memory_mb:.0f} MB"
    processes.wait_until("a call over gRPC", lambda: _is_answered(processes))
    assert measured.is_alive, "the process has ended"
    assert measured.memory_mb <= bound, f"{measured.memory_mb:.0f} MB"
