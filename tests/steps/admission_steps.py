"""Steps on the admission of jobs, without a network."""

from __future__ import annotations

from datetime import timedelta
from random import Random

from behave import given, then, when

from coltsfoottray.jobs.model import USEFUL_FACTOR, JobId, QueueTerms
from coltsfoottray.overload.admission import (
    Admission,
    AdmissionRequest,
    Rejected,
    RejectionReason,
)
from coltsfoottray.overload.backlog import Backlog, QueueBacklog
from coltsfoottray.overload.retry_times import RetryTimes

_QUEUE = "q"
_RATE = 100.0
_PATH_S = 1.0
_START_S = 100.0


def _seconds(value):
    return timedelta(seconds=value)


@given(
    "an entry for a queue with an objective of {factor:g} times the length "
    "plus {ms:d} ms"
)
def make_entry(context, factor, ms):
    context.terms = QueueTerms(
        service="svc", slowdown_factor=factor, target_latency_ms=ms
    )
    context.retry_times = RetryTimes(random=Random(0), count_entries=lambda: 1)
    context.admission = Admission(retry_times=context.retry_times)
    context.now_s = _START_S
    context.decisions = []
    context.return_s_by_label = {}


def _decide(context, label, wait_s, *, work=10.0):
    now = _seconds(context.now_s)
    request = AdmissionRequest(
        job=JobId(label),
        queue=_QUEUE,
        terms=context.terms,
        work=work,
        path=_seconds(_PATH_S),
        waited=context.retry_times.waited(JobId(label), now),
    )
    ahead = QueueBacklog(wait_ms=int(wait_s * 1000), rate=_RATE)
    backlog = Backlog(version=1, by_queue={_QUEUE: ahead})
    decision = context.admission.decide(request, backlog, timedelta(0), now)
    context.decisions.append(decision)
    if isinstance(decision, Rejected):
        retry_s = decision.retry_after.total_seconds()
        assert retry_s >= 1 and retry_s == int(retry_s), retry_s
        context.return_s_by_label.setdefault(label, []).append(context.now_s + retry_s)
    return decision


@when('job "{label}" arrives {later_s:d} s later at a wait of {wait_s:d} s')
def submit(context, label, later_s, wait_s):
    context.now_s += later_s
    _decide(context, label, wait_s)


@when("new jobs arrive at waits of {waits} s")
def submit_new(context, waits):
    for wait_s in waits.split(", "):
        _decide(context, f"n{len(context.decisions)}", int(wait_s))


@when("a job with {work:d} processor-seconds of work arrives at a wait of {wait_s:d} s")
def submit_large(context, work, wait_s):
    _decide(context, "large", wait_s, work=work)


@when('job "{label}" arrives at its return time at a wait of {wait_s:d} s')
def submit_at_return(context, label, wait_s):
    context.now_s = context.return_s_by_label[label][-1]
    _decide(context, label, wait_s)


@when(
    "{count:d} jobs that take {low:g} to {high:g} times their declared length arrive "
    "within {span_s:d} s"
)
def replay_burst(context, count, low, high, span_s):
    """Replay a burst on a pool that works on one job after the other."""
    random = Random(1)
    context.useful_rejected, context.longest_wait_s = [], 0.0
    wait_s, work = 0.0, 30.0
    for number in range(count):
        context.now_s += span_s / count
        wait_s = max(wait_s - span_s / count, 0.0)
        factor = low * (high / low) ** random.random()
        decision = _decide(context, f"n{number}", wait_s, work=work)
        if not isinstance(decision, Rejected):
            context.longest_wait_s = max(context.longest_wait_s, wait_s)
            wait_s += work * factor / _RATE
            continue
        end_s = wait_s + max(_PATH_S, work / _RATE) * factor
        useful_ms = context.terms.objective_ms(_PATH_S * factor * 1000) * USEFUL_FACTOR
        if end_s * 1000 <= useful_ms:
            context.useful_rejected.append(decision.reason)


@then(
    "more than {count:d} are too late, of which none can be of use, and less than "
    "{percent:d}% of others"
)
def check_rejected(context, count, percent):
    reasons = [each.reason for each in context.decisions if isinstance(each, Rejected)]
    late = reasons.count(RejectionReason.TOO_LATE)
    assert late > count, late
    assert RejectionReason.TOO_LATE not in context.useful_rejected
    others = len(reasons) - late
    assert len(context.useful_rejected) < others * percent / 100, others


@then("no job was accepted at a wait of more than {wait_s:d} s")
def check_longest_wait(context, wait_s):
    assert context.longest_wait_s <= wait_s, context.longest_wait_s


@then('the decisions are "{expected}"')
def check_decisions(context, expected):
    names = [
        "reject" if isinstance(each, Rejected) else "accept"
        for each in context.decisions
    ]
    assert names == expected.split(", "), names


@then('the return time of "{label}" has not changed')
def check_return_time(context, label):
    first, second = context.return_s_by_label[label]
    assert first == second, (first, second)


@given("{count:d} entries that know the same backlog, which drains in {seconds:d} s")
def make_entries(context, count, seconds):
    context.entries = [
        RetryTimes(random=Random(number), count_entries=lambda: count)
        for number in range(count)
    ]
    context.drained_s = _START_S + seconds


@when(
    "{count:d} callers whose jobs take {work_ms:d} ms of the drain are turned away "
    "within {span_s:d} s"
)
def turn_away(context, count, work_ms, span_s):
    context.work_s = work_ms / 1000
    context.return_times_s = []
    for number in range(count):
        now_s = _START_S + span_s * number / count
        retry_after = context.entries[number % len(context.entries)].assign(
            JobId(str(number)),
            _QUEUE,
            drained_in=_seconds(context.drained_s - now_s),
            work_time=_seconds(context.work_s),
            now=_seconds(now_s),
        )
        context.return_times_s.append(now_s + retry_after.total_seconds())


@then(
    "callers come back within {first_s:d} to {last_s:d} s, in any {span_s:d} s "
    "with at most {work_s:d} s of work"
)
def check_returns(context, first_s, last_s, span_s, work_s):
    times = context.return_times_s
    assert min(times) >= _START_S + first_s, min(times)
    assert max(times) <= _START_S + last_s, max(times)
    counts = [sum(start <= each < start + span_s for each in times) for start in times]
    assert max(counts) * context.work_s <= work_s, max(counts)


@then("only the first caller counts as new when it comes back")
def check_memory(context):
    now = _seconds(_START_S + 50)
    is_due = [context.entries[0].is_due(JobId(str(n)), now) for n in range(1001)]
    assert is_due.index(True) == 1 and all(is_due[1:]), is_due.count(False)
