"""Steps on clients inside the limits, against real processes."""

from __future__ import annotations

import socket
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import then, when

from tests.support.heartbeats import make_heartbeat
from tests.support.job_processes import HOST, PATH

_TIMEOUT_S = 60.0
_READ_BYTES = 65536
_CHUNK_BYTES = 1000


def _escape(text):
    return "".join(f"\\u{ord(each):04x}" for each in text)


def _job(text, steps="{}"):
    return f'{{"spec":"{text}","steps":[{steps}]}}'.encode()


_BODY_BY_KIND = {
    "whose text has 4000 bytes in escapes": _job(_escape("x" * 4000)),
    # Of 48,000 bytes, what is stored besides the text takes less than 500.
    "whose stored form is the largest, in escapes": _job(_escape("x" * 47_500)),
    "of 450 steps": _job("x", ",".join(["{}"] * 450)),
}


def _send(port, head, pieces, pause_s=0.0):
    """Send one request in pieces, and return the status of the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=_TIMEOUT_S) as client:
        client.sendall(head)
        for piece in pieces:
            client.sendall(piece)
            if pause_s:
                time.sleep(pause_s)
        return int(client.recv(_READ_BYTES).split()[1])


def _head(target, *headers):
    lines = [f"POST {target} HTTP/1.1", f"Host: {HOST}", *headers, "", ""]
    return "\r\n".join(lines).encode()


def _split(body, size):
    return [body[start : start + size] for start in range(0, len(body), size)]


@when("a job {kind} is submitted in pieces of {size:d} bytes")
def submit_in_pieces(context, kind, size):
    body = _BODY_BY_KIND[kind]
    head = _head(f"{PATH}00000000000000a1", f"Content-Length: {len(body)}")
    port = context.processes.port_by_name["callers"]
    context.statuses = [_send(port, head, _split(body, size))]


@when("a job {kind} is submitted at {mbit:d} Mbit/s in chunks")
def submit_slowly(context, kind, mbit):
    parts = _split(_BODY_BY_KIND[kind], _CHUNK_BYTES)
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]
    head = _head(f"{PATH}00000000000000a2", "Transfer-Encoding: chunked")
    port = context.processes.port_by_name["callers"]
    pause_s = 8 * _CHUNK_BYTES / (mbit * 1_000_000)
    context.statuses = [_send(port, head, chunks, pause_s)]


@when("{count:d} jobs whose texts have {size:d} bytes are submitted at once")
def submit_many(context, count, size):
    body = _job("x" * size)
    port = context.processes.port_by_name["callers"]

    def submit(number):
        head = _head(f"{PATH}{number:016x}", f"Content-Length: {len(body)}")
        return _send(port, head, [body])

    with ThreadPoolExecutor(count) as pool:
        context.statuses = list(pool.map(submit, range(1000, 1000 + count)))


@when("a heartbeat of {size:d} bytes is sent")
def send_heartbeat(context, size):
    small = msgspec.json.encode(make_heartbeat(filler=""))
    body = msgspec.json.encode(make_heartbeat(filler="x" * (size - len(small))))
    assert len(body) == size
    target = "/v1/instances/i-2/heartbeat"
    head = _head(target, f"Content-Length: {len(body)}")
    port = context.processes.port_by_name["heartbeats"]
    context.statuses = [_send(port, head, [body])]


@then("it is accepted")
def check_accepted(context):
    assert context.statuses == [200], context.statuses


@then("all are accepted, and nobody is turned away")
def check_all_accepted(context):
    assert set(context.statuses) == {200}, context.statuses
    metrics = context.processes.read_metrics()
    assert "clients_refused" not in metrics, metrics
