"""Steps on crowds of clients outside the limits, against real processes."""

from __future__ import annotations

import msgspec
from behave import given, then, when

from coltsfoottray.scheduler.messages import JOB_NOTIFICATION, REPORT
from tests.support.crowd import Client, Crowd, Payload
from tests.support.job_processes import HOST, PATH, JobProcesses

_MB = 1_000_000
_PIECE = b"x" * 65536
_CHUNK = b"10000\r\n" + _PIECE + b"\r\n"
_TARGET_BY_PORT = {
    "callers": f"{PATH}00000000000000ff",
    "readiness": "/v1/readiness",
    "metrics": "/status",
    "peers": REPORT.path,
    "heartbeats": "/v1/instances/i-9/heartbeat",
}


@given("an entry process with {descriptors:d} descriptors")
def start_entry(context, descriptors):
    context.processes = JobProcesses()
    context.closers.append(context.processes.close)
    context.processes.start_entry(descriptors)
    context.descriptors = descriptors
    context.processes.check_answered("callers")


@given("an attendant process with {descriptors:d} descriptors")
def start_attendant(context, descriptors):
    context.processes = JobProcesses()
    context.closers.append(context.processes.close)
    context.processes.start_attendant(descriptors)
    context.descriptors = descriptors
    context.processes.check_answered("heartbeats")


def _head(target, *headers, method="POST"):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", *headers, "", ""]
    return "\r\n".join(lines).encode()


def _play(context, port, payload, count, *, reads=True):
    _play_clients(
        context, port, [Client(payload=payload, reads=reads) for _ in range(count)]
    )


def _play_clients(context, port, clients):
    crowd = Crowd(clients=clients)
    context.closers.append(crowd.close)
    measured = context.processes.measured()
    for _ in crowd.play(context.processes.port_by_name[port]):
        if measured.is_alive:
            measured.look()


def _send_body(context, count, port, target, body):
    head = _head(target, f"Content-Length: {len(body)}")
    _play(context, port, Payload(head=head + body), count)


@when(
    '{count:d} clients announce a body of {size:g} MB at "{port}" and withhold its '
    "last byte"
)
def announce(context, count, size, port):
    length = int(size * _MB)
    head = _head(_TARGET_BY_PORT[port], f"Content-Length: {length}")
    _play(context, port, Payload(head=head, piece=_PIECE, size=length - 1), count)


@when('{count:d} clients send {size:g} MB in chunks at "{port}" and no last chunk')
def send_chunks(context, count, size, port):
    head = _head(_TARGET_BY_PORT[port], "Transfer-Encoding: chunked")
    payload = Payload(head=head, piece=_CHUNK, size=int(size * _MB))
    _play(context, port, payload, count)


@when(
    '{count:d} clients announce a body of {announced:g} MB at "{port}" and send '
    "{size:g} MB"
)
def announce_more(context, count, announced, port, size):
    head = _head(_TARGET_BY_PORT[port], f"Content-Length: {int(announced * _MB)}")
    payload = Payload(head=head, piece=_PIECE, size=int(size * _MB))
    _play(context, port, payload, count)


@when('{count:d} clients send a job of {steps:d} empty steps at "{port}"')
@when('{count:d} client sends a job of {steps:d} empty steps at "{port}"')
def send_steps(context, count, steps, port):
    body = b'{"spec":"x","steps":[' + b",".join([b"{}"] * steps) + b"]}"
    _send_body(context, count, port, _TARGET_BY_PORT[port], body)


@when('{count:d} client tells at "{port}" of a job of {steps:d} empty steps')
def tell_steps(context, count, port, steps):
    job = {
        "id": "00000000000000fe",
        "queue": "q",
        "terms": {"service": "svc"},
        "spec": {"payload": "x", "steps": [{}] * steps},
        "accepted_ms": 1,
    }
    body = msgspec.msgpack.encode({"accepted": [job]})
    _send_body(context, count, port, JOB_NOTIFICATION.path, body)


@when('{count:d} client reports {runs:d} runs at "{port}"')
def report_runs(context, count, port, runs):
    report = {
        "worker": "worker-9",
        "incarnation": "1",
        "address": {"host": "127.0.0.1", "port": 9},
        "data_centre": "caerdydd",
        "starting": [[["", 0, 0, 0], 0]] * runs,
    }
    _send_body(context, count, port, REPORT.path, msgspec.msgpack.encode(report))


@when('{count:d} workers that nobody knows report {runs:d} runs each at "{port}"')
def report_unknown(context, count, runs, port):
    clients = []
    for number in range(count):
        listed = [
            {
                "ref": [[f"{run:016x}", 0, 0, number], 1],
                "checkpoint": "",
                "percent": 1.0,
            }
            for run in range(runs)
        ]
        report = {
            "worker": f"worker-{number}",
            "incarnation": "1",
            "address": {"host": "127.0.0.1", "port": 9},
            "data_centre": "caerdydd",
            "life": f"i-{number}/7",
            "service": "svc",
            "number": 1,
            "running": listed,
        }
        body = msgspec.msgpack.encode(report)
        head = _head(REPORT.path, f"Content-Length: {len(body)}")
        clients.append(Client(payload=Payload(head=head + body)))
    _play_clients(context, port, clients)


@when(
    '{count:d} clients send {requests:d} requests each at "{port}" and read no answer'
)
def read_nothing(context, count, requests, port):
    head = _head(f"{PATH}00000000000000fd", method="GET")
    payload = Payload(head=head, piece=head, size=len(head) * requests)
    _play(context, port, payload, count, reads=False)


@when('{count:d} clients connect at "{port}" and send nothing')
def connect_only(context, count, port):
    _play(context, port, Payload(head=b""), count)


@when('{count:d} clients send half a head of {size:d} bytes at "{port}"')
def send_half_head(context, count, size, port):
    head = _head(_TARGET_BY_PORT[port], "X-Filler: " + "x" * size).rstrip()
    _play(context, port, Payload(head=head), count)


@then(
    'a request at "{port}" is answered, and the process is within {bound:d} MB',
)
def check_sound(context, port, bound):
    measured = context.processes.measured()
    assert measured.is_alive, "the process has ended"
    assert measured.memory_mb <= bound, f"{measured.memory_mb:.0f} MB"
    context.processes.check_answered(port)
    measured.look()
    assert measured.is_alive, "the process has ended"
    assert measured.memory_mb <= bound, f"{measured.memory_mb:.0f} MB"


@then("it has kept {count:d} descriptors free, and has written at most {size:d} KB")
def check_rest(context, count, size):
    descriptors = context.processes.measured().descriptors
    assert descriptors <= context.descriptors - count, descriptors
    written = context.processes.log_bytes()
    assert written <= size * 1000, written
