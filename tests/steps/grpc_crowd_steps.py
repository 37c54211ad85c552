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
    crowd = Crowd(
        clients=[
            GrpcClient(announced=announced, fill_bytes=fill_bytes)
            for _ in range(client_count)
        ]
    )
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


@then("a call over gRPC is answered, and the process is within {bound:d} MB")
def check_sound(context, bound):
    processes = context.processes
    measured = processes.measured()
    assert measured.is_alive, "the process has ended"
    assert measured.memory_mb <= bound, f"{measured.memory_mb:.0f} MB"
    processes.wait_until("a call over gRPC", lambda: _is_answered(processes))
    assert measured.is_alive, "the process has ended"
    assert measured.memory_mb <= bound, f"{measured.memory_mb:.0f} MB"
