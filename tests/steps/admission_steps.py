"""Steps on the admission of jobs, without a network."""

from __future__ import annotations

from collections import Counter
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
from coltsfoottray.overload.returns import ReturnTimes

_QUEUE = "q"
_RATE = 100.0
_PATH_S = 1.0
_WORK = 10.0
_NO_AGE = timedelta(0)


def _seconds(value):
    return timedelta(seconds=value)


def _backlog(wait_s):
    ahead = QueueBacklog(work=wait_s * _RATE, wait_ms=int(wait_s * 1000), rate=_RATE)
    return Backlog(version=1, by_queue={_QUEUE: ahead})


@given(
    "an entry for a queue with an objective of {factor:g} times the length "
    "plus {ms:d} ms"
)
def make_entry(context, factor, ms):
    context.terms = QueueTerms(
        service="svc", slowdown_factor=factor, target_latency_ms=ms
    )
    context.returns = ReturnTimes(random=Random(0), count_entries=lambda: 1)
    context.admission = Admission(returns=context.returns)
    context.now_s = 100.0
    context.decisions = []
    context.return_s_by_label = {}


def _decide(context, label, wait_s, *, work=_WORK, path_s=_PATH_S):
    now = _seconds(context.now_s)
    job = JobId(label)
    request = AdmissionRequest(
        job=job,
        queue=_QUEUE,
        terms=context.terms,
        work=work,
        path=_seconds(path_s),
        waited=context.returns.waited(job, now),
    )
    decision = context.admission.decide(request, _backlog(wait_s), _NO_AGE, now)
    context.decisions.append(decision)
    if isinstance(decision, Rejected):
        retry_s = decision.retry_after.total_seconds()
        assert retry_s >= 1 and retry_s == int(retry_s), retry_s
        context.return_s_by_label.setdefault(label, []).append(context.now_s + retry_s)
    return decision


@when('job "{label}" arrives at a wait of {wait_s:d} s')
def submit(context, label, wait_s):
    _decide(context, label, wait_s)


@when("new jobs arrive at waits of {waits} s")
def submit_new(context, waits):
    for wait_s in waits.split(", "):
        _decide(context, f"n{len(context.decisions)}", int(wait_s))


@when("a job with {work:d} processor-seconds of work arrives at a wait of {wait_s:d} s")
def submit_large(context, work, wait_s):
    _decide(context, "large", wait_s, work=work)


@when('job "{label}" arrives {later_s:d} s later at a wait of {wait_s:d} s')
def submit_later(context, label, later_s, wait_s):
    context.now_s += later_s
    _decide(context, label, wait_s)


@when('job "{label}" arrives at its return time at a wait of {wait_s:d} s')
def submit_at_return(context, label, wait_s):
    context.now_s = context.return_s_by_label[label][-1]
    _decide(context, label, wait_s)


@when(
    'job "{label}" arrives {count:d} times within {span_s:d} s '
    "at a wait of {wait_s:d} s"
)
def submit_early(context, label, count, span_s, wait_s):
    for _ in range(count):
        context.now_s += span_s / count
        _decide(context, label, wait_s)


@when(
    "{count:d} jobs that take {low:g} to {high:g} times their declared length arrive "
    "within {span_s:d} s"
)
def replay_burst(context, count, low, high, span_s):
    """Replay a burst on a pool that works on one job after the other."""
    random = Random(1)
    context.useful_rejected, context.longest_wait_s = [], 0.0
    work_left = 0.0
    for number in range(count):
        context.now_s += span_s / count
        work_left = max(work_left - _RATE * span_s / count, 0.0)
        factor = low * (high / low) ** random.random()
        wait_s = work_left / _RATE
        decision = _decide(context, f"n{number}", wait_s, work=3 * _WORK)
        if isinstance(decision, Rejected):
            end_s = wait_s + max(_PATH_S * factor, 3 * _WORK * factor / _RATE)
            useful_s = context.terms.objective_ms(_PATH_S * factor * 1000) / 1000
            if end_s <= USEFUL_FACTOR * useful_s:
                context.useful_rejected.append(decision.reason)
        else:
            work_left += 3 * _WORK * factor
            context.longest_wait_s = max(context.longest_wait_s, wait_s)


@then(
    "more than {count:d} jobs were rejected as too late, of which none could have been "
    "of use"
)
def check_rejected(context, count):
    reasons = [each.reason for each in context.decisions if isinstance(each, Rejected)]
    assert reasons.count(RejectionReason.TOO_LATE) > count, Counter(reasons)
    assert RejectionReason.TOO_LATE not in context.useful_rejected


@then("of all that were rejected, less than {percent:d}% could have been of use")
def check_close(context, percent):
    rejected = [each for each in context.decisions if isinstance(each, Rejected)]
    useful = len(context.useful_rejected)
    assert useful < len(rejected) * percent / 100, (useful, len(rejected))


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


@then('the job "{label}" was rejected as "{reason}"')
def check_reason(context, label, reason):
    last = context.decisions[-1]
    assert last.reason.value == reason, (label, last)


@then('the return time of "{label}" has not changed')
def check_return_time(context, label):
    first, *others = context.return_s_by_label[label]
    # An early return gets whole seconds that end at its time or less than 1 s later.
    assert others and all(-0.001 < each - first < 1 for each in others), others


@then('the return time of "{label}" is at most {seconds:d} s after that of "{other}"')
def check_next_return(context, label, seconds, other):
    late_s = context.return_s_by_label[label][0] - context.return_s_by_label[other][-1]
    assert late_s <= seconds, late_s


@then("a job is accepted at a wait of {wait_s:d} s that was predicted {age_s:d} s ago")
def check_old_backlog(context, wait_s, age_s):
    _check_accepted(context, _backlog(wait_s), age=_seconds(age_s))


@then("a job is accepted if the backlog is unknown")
def check_unknown(context):
    _check_accepted(context, None)


@then("a job is accepted if the queue is not in the backlog")
def check_missing(context):
    _check_accepted(context, Backlog(version=1))


@then("a job is accepted if the job is exempt")
def check_exempt(context):
    _check_accepted(context, _backlog(1000), is_exempt=True)


@then("a job is accepted if the queue has no objective")
def check_no_objective(context):
    context.terms = QueueTerms(service="svc")
    _check_accepted(context, _backlog(1000))


def _check_accepted(context, backlog, *, age=_NO_AGE, is_exempt=False):
    request = AdmissionRequest(
        job=JobId("a"),
        queue=_QUEUE,
        terms=context.terms,
        work=_WORK,
        path=_seconds(_PATH_S),
        is_exempt=is_exempt,
    )
    decision = context.admission.decide(request, backlog, age, _seconds(100))
    assert not isinstance(decision, Rejected), decision


@given("{count:d} entries that know the same backlog, which drains in {seconds:d} s")
def make_entries(context, count, seconds):
    context.entries = [
        ReturnTimes(random=Random(number), count_entries=lambda: count)
        for number in range(count)
    ]
    context.drained_s = 100.0 + seconds
    context.return_times_s = []


def _turn_away(context, entry, number, now_s, work_ms):
    retry_after = entry.assign(
        JobId(str(number)),
        _QUEUE,
        drained_in=_seconds(context.drained_s - now_s),
        work_time=timedelta(milliseconds=work_ms),
        now=_seconds(now_s),
    )
    context.work_s = work_ms / 1000
    context.return_times_s.append(now_s + retry_after.total_seconds())


@when(
    "{count:d} callers whose jobs take {work_ms:d} ms of the drain are turned away "
    "within {span_s:d} s"
)
def turn_away(context, count, work_ms, span_s):
    random = Random(1)
    for number in range(count):
        entry = random.choice(context.entries)
        _turn_away(context, entry, number, 100 + span_s * number / count, work_ms)


@when(
    "{count:d} callers whose jobs take {work_ms:d} ms of the drain are turned away "
    "by an entry each"
)
def turn_away_each(context, count, work_ms):
    for number, entry in zip(range(count), context.entries, strict=True):
        _turn_away(context, entry, number, 100.0, work_ms)


@then("no caller is told to come back within {seconds:d} s")
def check_first_return(context, seconds):
    assert min(context.return_times_s) >= 100 + seconds, min(context.return_times_s)


@then("all callers come back within {seconds:d} s")
def check_last_return(context, seconds):
    assert max(context.return_times_s) <= 100 + seconds, max(context.return_times_s)


@then("in any {span_s:d} s, callers come back with at most {work_s:d} s of work")
def check_returns(context, span_s, work_s):
    times = context.return_times_s
    most = max(
        sum(context.work_s for each in times if start <= each < start + span_s)
        for start in times
    )
    assert most <= work_s, most


@then("only the first caller counts as new when it comes back")
def check_memory(context):
    now = _seconds(150)
    entry = context.entries[0]
    forgotten = [n for n in range(1001) if not entry.is_due(JobId(str(n)), now)]
    assert forgotten == [0], forgotten
