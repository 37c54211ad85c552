"""Steps that read arbitrary data wherever something reads what others write."""

from __future__ import annotations

import contextlib
import copy
import json
from dataclasses import replace
from datetime import timedelta

import msgspec
import trio
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from coltsfoottray.agent.pressure import ImagePair, Pressure, PressureTable
from coltsfoottray.agent.worker import StartRefused, WorkerReplaced
from coltsfoottray.clock import Moment, TrioClock
from coltsfoottray.decoding import MalformedData
from coltsfoottray.errors import ColtsfoottrayError, CommunicationError, InputError
from coltsfoottray.http import HttpRequest, HttpResponse, HttpTransport
from coltsfoottray.jobs.api import JobAnswer, Verdict
from coltsfoottray.jobs.config import ConfigHolder
from coltsfoottray.jobs.keys import (
    LEASE_KEY,
    PRESSURES_KEY,
    accepted_key,
    parse_job_key,
    parse_record_key,
    summary_key,
)
from coltsfoottray.jobs.members import MemberRow
from coltsfoottray.jobs.model import (
    AcceptedJob,
    AdviceTerms,
    JobId,
    QueueTerms,
    RunRef,
    TaskRef,
)
from coltsfoottray.jobs.record_rows import decode_record, is_record_row
from coltsfoottray.jobs.view import JobsView
from coltsfoottray.metrics import Metrics
from coltsfoottray.peers import CallHandlers
from coltsfoottray.peers.http import HttpPeerClient, HttpPeerHandler
from coltsfoottray.platform import HistoryLost, Put, Row, TableError, Transaction
from coltsfoottray.platform.advice import AdviceClient
from coltsfoottray.platform.heartbeats import HeartbeatHandler
from coltsfoottray.platform.ingress import JobIngress
from coltsfoottray.platform.instance import InstanceLink, parse_heartbeat
from coltsfoottray.platform.metadata_table import MetadataTable
from coltsfoottray.platform.operator import parse_config, read_evacuated_data_centre
from coltsfoottray.scheduler.capacity_bounds import FreeCapacityBounds
from coltsfoottray.scheduler.cluster_state import ClusterState
from coltsfoottray.scheduler.fleet import Fleet
from coltsfoottray.scheduler.learned_row import LearnedRow
from coltsfoottray.scheduler.lease_row import LeaseRow
from coltsfoottray.scheduler.lengths import LengthEstimator
from coltsfoottray.scheduler.messages import REPORT, Acknowledged, Report
from coltsfoottray.scheduler.ping import PING
from coltsfoottray.scheduler.planner import Planner
from coltsfoottray.scheduler.side_rows import AttendantRows, PressureRow
from coltsfoottray.types import Address
from tests.support.heartbeats import make_heartbeat

_JOB = JobId("0123456789abcdef")
_ADDRESS = Address(host="127.0.0.1", port=80)
_NOW = timedelta(seconds=100)
_DEEP = '"@deep@"'
_HUGE = '"@huge@"'

_numbers = st.one_of(
    st.sampled_from([0, -1, 1, 2**31, 2**53 + 1, 2**63 - 1, 2**64, -(2**63), 10**30]),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([1e300, -1e300, 1e16, 0.5]),
)
_texts = st.one_of(
    st.text(max_size=20),
    st.sampled_from(["@deep@", "@huge@", "", ".", "a.b", "127..0.9:1", "x" * 5000]),
)
_scalars = st.one_of(st.none(), st.booleans(), _numbers, _texts)
_values = st.recursive(
    _scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(_texts, inner, max_size=4)
    ),
    max_leaves=8,
)


def _encode(value):
    """Return JSON in which two texts stand for what `json` would not write."""
    text = json.dumps(value)
    text = text.replace(_DEEP, "[" * 20_000 + "]" * 20_000)
    return text.replace(_HUGE, "9" * 5_000).encode()


def _paths(value, path=()):
    yield path
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _paths(inner, (*path, key))
    if isinstance(value, list):
        for index, inner in enumerate(value):
            yield from _paths(inner, (*path, index))


def _replaced(document, path, value):
    if not path:
        return value
    changed = copy.deepcopy(document)
    part = changed
    for name in path[:-1]:
        part = part[name]
    part[path[-1]] = value
    return changed


def _documents(document):
    """Return a strategy of the JSON of a document with one value replaced, and more."""
    paths = st.sampled_from(list(_paths(document)))
    one = st.tuples(paths, _values).map(lambda each: _replaced(document, *each))
    with_more = _values.map(
        lambda value: (
            {**document, "new": value}
            if isinstance(document, dict)
            else [*document, value]
        )
    )
    return st.one_of(
        st.one_of(one, one, with_more, _values).map(_encode), st.binary(max_size=40)
    )


class _Answers(HttpTransport):
    """Answers each request with the same bytes."""

    def __init__(self, body, status=200):
        self._response = HttpResponse(status=status, body=body)

    async def send(self, address, request, *, timeout=None, on_response_start=None):
        return self._response


def _run(function):
    return trio.run(function)


_HEARTBEAT = make_heartbeat(state="draining", sequence=4, remainingMs=5)
_RUNS = {
    "clockMs": 5,
    "born": 7,
    "running": [[f"{_JOB}.0.1.2", 3, "c", 40, 200]],
    "finished": [[1, f"{_JOB}.0.1.3", 3, "done", ""]],
}
_CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "jobs.example",
            "pathPrefix": "/r/",
            "service": "svc",
            "timeoutMs": 3000,
            "targetLatencyMs": 250,
            "priority": 1,
            "maxAttempts": 2,
            "slowdownFactor": 2.0,
            "recommendation": {"decisionMs": 1, "periodMs": 1, "validityMs": 1},
        }
    ],
    "services": [{"name": "svc", "rejectsOverload": False, "standby": False}],
}
_SUBMISSION = {
    "spec": "x",
    "steps": [
        {
            "count": 2,
            "cpu": 1000,
            "memoryLimitMb": 100,
            "gpu": 0,
            "estimateMs": 500,
            "after": [],
            "requirements": "a",
            "affinity": "r1",
            "antiAffinity": 1,
            "image": "i",
            "targetMs": 5,
            "mayMiss": 1,
        },
        {"count": 1, "after": [0], "gang": True},
    ],
    "repetitions": 2,
    "firstRunMs": 0,
    "intervalMs": 5,
}
_ROW = {"table": "t", "part": "p", "key": "k", "value": "e30=", "schemaVersion": 4}
_TABLE_ANSWER = {"schemaVersion": 5, "rows": [_ROW], "hasMore": False}
_RECORD = {
    "state": "running",
    "ended_ms": 0,
    "has_started": True,
    "occurrences": [[[[1, 2, 0, "w", "l", "c", 0, [], True]]]],
    "length_ms_by_step": {"0": 5},
}
_RECORD_PART = {"occurrences": "eJyrBQAAqwBf", "parts": 1}
_LEASE = {
    "epoch": 3,
    "holder": "entry-1",
    "incarnation": "i",
    "address": {"host": "127.0.0.1", "port": 80},
    "renewals": 4,
    "failed_takeovers": 0,
    "silent_ms": {"w": 5},
    "max_grant_ms": 5,
    "prior_left_ms": 5,
}
_MEMBER = {
    "name": "entry-1",
    "role": "entry",
    "address": {"host": "127.0.0.1", "port": 80},
    "incarnation": "i",
    "state_format": 1,
}
_LEARNED = {
    "sums_by_queue": {"q": [1, 2.0, 2.0, 4.0, 4.0]},
    "rates": [[["svc", "reserved"], 4.0]],
    "stored_ms": 5,
}


def _make_heartbeat():
    return parse_heartbeat("i-1", _encode(_HEARTBEAT)).unwrap()


def _read_heartbeat(data):
    result = parse_heartbeat("i-1", data)
    heartbeat = result.value_or(None)
    if heartbeat is not None:
        msgspec.msgpack.encode(replace(heartbeat, remaining=timedelta(0)))
        assert heartbeat.remaining >= timedelta(0)


def _read_path(path):
    handler = HeartbeatHandler(attendant=None)
    request = HttpRequest(method="POST", target=path, body=b"")
    response = _run(lambda: handler.handle(request))
    assert response.status in (400, 404), response


def _read_runs(data):
    async def poll():
        link = InstanceLink(transport=_Answers(data), clock=TrioClock())
        return await link.poll(
            heartbeat=_make_heartbeat(),
            fence=1,
            lease_end_ms=0,
            acknowledged=0,
            wait=timedelta(0),
        )

    reply = _run(poll)
    # The report that passes them on has to be encoded.
    msgspec.msgpack.encode([reply.running, reply.ends])
    msgspec.json.encode(reply.clock.reading_ms + 10_000)


def _read_refusal(data):
    async def start():
        link = InstanceLink(transport=_Answers(data, 409), clock=TrioClock())
        task = TaskRef(job=_JOB, occurrence=0, step=0, index=0)
        await link.start(
            heartbeat=_make_heartbeat(),
            ref=RunRef(task=task, run=1),
            payload="",
            checkpoint="",
            ticket="",
            fence=1,
            lease_end_ms=0,
        )

    with contextlib.suppress(StartRefused):
        _run(start)


def _read_config(data):
    config = parse_config(msgspec.Raw(data)).value_or(None)
    if config is not None:
        for queue in config.queues:
            _plan(_make_job(queue.terms))
            assert queue.timeout_ms >= 0


def _make_job(terms):
    return AcceptedJob(
        id=_JOB, queue="r", terms=terms, spec=_accepted_spec(), accepted_ms=5
    )


def _accepted_spec():
    return _submit(_encode(_SUBMISSION)).spec


def _plan(job):
    """Take a job through a round: it is added, planned and stored."""
    stored = msgspec.json.encode(job)
    assert msgspec.json.decode(stored, type=AcceptedJob) == job
    holder = ConfigHolder()
    cluster = ClusterState(holder=holder, fleet=Fleet())
    now = Moment(elapsed=_NOW, time_ms=1_000_000)
    cluster.accept(job, now)
    cluster.jobs.next_due_ms()
    Planner(cluster=cluster, holder=holder).plan(now)
    assert not cluster.jobs.set_aside_ids
    FreeCapacityBounds(fleet=Fleet(), now=_NOW)
    for each in cluster.jobs.by_id.values():
        msgspec.json.encode(each.record)


def _read_advice(data):
    async def advise():
        client = AdviceClient(address=_ADDRESS, transport=_Answers(data))
        return await client.advise(
            job=_JOB, occurrence=0, step=0, lives=["i-1/7"], terms=AdviceTerms()
        )

    _run(advise)


def _read_table_answer(data):
    async def call():
        for status in (200, 412):
            table = MetadataTable(
                address=_ADDRESS,
                transport=_Answers(data, status),
                clock=TrioClock(),
                metrics=Metrics(),
            )
            put = Put.of("t/p/k", 0, {})
            for read in (
                lambda table=table: table.get("t/p/k"),
                lambda table=table: table.page("t/p/", first="", limit=5),
                lambda table=table: table.changes("t", after=0, wait=timedelta(0)),
                lambda table=table, put=put: table.commit(Transaction(puts=[put])),
            ):
                try:
                    await read()
                except (TableError, HistoryLost):
                    continue

    _run(call)


class _Api:
    """Accepts all jobs, and keeps the last one."""

    spec = None

    async def submit(self, queue, job_id, spec, *, deadline):
        assert timedelta(0) <= deadline <= timedelta(days=1)
        self.spec = spec
        return JobAnswer(verdict=Verdict.DONE)

    async def cancel(self, job_id, *, deadline):
        return JobAnswer(verdict=Verdict.NO_JOB)

    async def state(self, job_id):
        return JobAnswer(verdict=Verdict.NO_JOB)

    def pending(self, queue):
        return 0


def _call_ingress(request):
    holder = ConfigHolder()
    holder.replace_if_newer(parse_config(msgspec.Raw(_encode(_CONFIG))).unwrap())
    api = _Api()
    ingress = JobIngress(holder=holder, job_api=api, spawn=lambda function: None)
    _run(lambda: ingress.handle(request))
    return api


def _submit(data):
    return _call_ingress(
        HttpRequest(
            method="POST",
            target=f"/r/{_JOB}",
            header_by_name={"host": "jobs.example"},
            body=data,
        )
    )


def _read_job(data):
    spec = _submit(data).spec
    terms = QueueTerms(service="svc", slowdown_factor=20.0, target_latency_ms=100.0)
    _plan(AcceptedJob(id=_JOB, queue="r", terms=terms, spec=spec, accepted_ms=5))


def _read_request(each):
    method, target, headers = each
    _call_ingress(
        HttpRequest(
            method=method, target=target, header_by_name=headers, body=b'{"spec":""}'
        )
    )


def _read_job_row(data):
    metrics = Metrics()
    for key in (accepted_key(_JOB), summary_key(_JOB)):
        view = JobsView(metrics=metrics)
        view.apply(Row(key=key, value=msgspec.Raw(data), version=1))
        view.state_of(_JOB)
        view.pending("r")
        for job in view.job_by_id.values():
            _plan(job)


def _read_key(key):
    parse_job_key(key)
    parse_record_key(key)
    read_evacuated_data_centre(key)
    view = JobsView(metrics=Metrics())
    view.apply(Row(key=f"state/{key}", value=msgspec.Raw(b"{}"), version=1))
    view.apply(
        Row(key=f"state/{key}", value=msgspec.Raw(b"null"), version=2, is_deleted=True)
    )


def _read_record(data):
    raw = msgspec.Raw(data)
    is_record_row(Row(key="k", value=raw, version=1))
    decode_record([raw])


def _read_lease(data):
    row = Row(key=LEASE_KEY, value=msgspec.Raw(data), version=1)
    lease = row.try_decode(LeaseRow)
    if lease is not None:
        successor = msgspec.structs.replace(lease, epoch=lease.epoch + 1)
        msgspec.json.encode(successor.epoch * 10**9 + 1)


def _read_member(data):
    member = Row(key="k", value=msgspec.Raw(data), version=1).decode(MemberRow)
    assert 0 <= member.address.port <= 65_535


def _read_attendants(data):
    rows = AttendantRows(fleet=Fleet(), now=_NOW)
    row = Row(key="attendants/scheduler/x", value=msgspec.Raw(data), version=1)
    rows.restore([row])
    rows.settled_life_by_worker()
    rows.due_puts(_NOW + timedelta(seconds=2))


def _read_pressures(data):
    table = PressureTable()
    pressures = PressureRow(table=table, now=_NOW)
    pressures.restore(Row(key=PRESSURES_KEY, value=msgspec.Raw(data), version=1))
    pair = ImagePair(filler="f", service="s")
    table.update("w", [Pressure(pair=pair, value=1.0, weight=1.0)])
    pressures.due_puts(_NOW + timedelta(seconds=5))


class _Meter:
    def restore(self, rates):
        assert all(rate >= 0 for rate in rates.values())


def _read_learned(data):
    lengths = LengthEstimator()

    async def restore():
        row = LearnedRow(lengths=lengths, meter=_Meter(), clock=TrioClock(), now=_NOW)
        row.restore(Row(key="k", value=msgspec.Raw(data), version=1))

    _run(restore)
    assert lengths.expected_ms("q", 500.0) > 0


def _read_call(data):
    handlers = CallHandlers()

    async def handle(report):
        assert isinstance(report, Report)
        return Acknowledged()

    handlers.add(REPORT, handle)
    request = HttpRequest(method="POST", target=REPORT.path, body=data)
    _run(lambda: HttpPeerHandler(handlers=handlers).handle(request))


def _read_reply(data):
    client = HttpPeerClient(transport=_Answers(data))
    _run(
        lambda: client.call(
            _ADDRESS, PING, PING.request_type(), timeout=timedelta(seconds=1)
        )
    )


def _messages(message):
    plain = msgspec.to_builtins(message)
    paths = st.sampled_from(list(_paths(plain)))
    one = st.tuples(paths, _values).map(lambda each: _replaced(plain, *each))
    deep = st.just(b"\x91" * 20_000)
    encoded = one.filter(_fits_msgpack).map(msgspec.msgpack.encode)
    return st.one_of(encoded, st.binary(max_size=40), deep)


def _fits_msgpack(value):
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        return False
    return True


_REPORT = Report(
    worker="w", incarnation="i", number=1, address=_ADDRESS, data_centre="caerdydd"
)
_names = st.text(
    alphabet=st.characters(min_codepoint=33, max_codepoint=126), max_size=30
)
_keys = st.one_of(
    st.text(max_size=30),
    st.builds(
        "/".join,
        st.lists(
            st.sampled_from(
                ["state", "scheduler", "j1", "job.", "job.a", "part9.a", "partx.a", ""]
            ),
            max_size=4,
        ),
    ),
    st.builds("progress/scheduler/part{}.a".format, st.text(max_size=9)),
)
_requests = st.tuples(
    st.sampled_from(["GET", "POST", "DELETE", "PUT"]),
    st.one_of(_names, _names.map("/r/{}".format), _names.map("//[{}".format)),
    st.dictionaries(
        st.sampled_from(["host", "deadline-ms"]),
        st.one_of(
            st.just("jobs.example"),
            st.text(max_size=10),
            st.integers(min_value=0).map(str),
            st.just("9" * 6000),
        ),
    ),
)

_READERS = {
    "a heartbeat": (_documents(_HEARTBEAT), _read_heartbeat),
    "the path of a heartbeat": (
        st.one_of(_names, _names.map("/v1/instances/{}/heartbeat".format)),
        _read_path,
    ),
    "a worker's runs": (_documents(_RUNS), _read_runs),
    "a worker's refusal": (_documents({"reason": "old", "born": 7}), _read_refusal),
    "the operator's config": (_documents(_CONFIG), _read_config),
    "the adviser's answer": (_documents({"allowed": [["i-1", "t"]]}), _read_advice),
    "the table's answer": (_documents(_TABLE_ANSWER), _read_table_answer),
    "a caller's job": (_documents(_SUBMISSION), _read_job),
    "a caller's request": (_requests, _read_request),
    "a row of the jobs": (
        st.deferred(lambda: _documents(msgspec.to_builtins(_stored_job()))),
        _read_job_row,
    ),
    "the key of a row": (_keys, _read_key),
    "a record": (
        st.one_of(_documents(_RECORD), _documents(_RECORD_PART)),
        _read_record,
    ),
    "the lease row": (_documents(_LEASE), _read_lease),
    "the members": (_documents(_MEMBER), _read_member),
    "the attendants": (_documents({"w": {"host": "::1", "port": 8}}), _read_attendants),
    "the pressures": (_documents([[["f", "s"], 2.5, 1.0]]), _read_pressures),
    "what was learned": (_documents(_LEARNED), _read_learned),
    "a call of a peer": (_messages(_REPORT), _read_call),
    "the answer of a peer": (_messages({"incarnation": "i", "epoch": 1}), _read_reply),
}
_EXPECTED = (
    MalformedData,
    CommunicationError,
    InputError,
    WorkerReplaced,
    TableError,
)


def _stored_job():
    return _make_job(QueueTerms(service="svc", slowdown_factor=2.0))


@then("{reader} raises nothing but its own errors in {runs:d} runs")
def check_reader(context, reader, runs):
    strategy, read = _READERS[reader]
    outcomes = {"read": 0, "refused": 0}

    @settings(max_examples=runs, deadline=None, suppress_health_check=list(HealthCheck))
    @given(strategy)
    def check(data):
        try:
            read(data)
            outcomes["read"] += 1
        except _EXPECTED as error:
            assert isinstance(error, ColtsfoottrayError)
            outcomes["refused"] += 1

    check()
    assert outcomes["read"], outcomes
