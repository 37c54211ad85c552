"""Steps for the pressure learner and the pacer of an attendant, without daemons."""

from __future__ import annotations

import dataclasses
from collections import Counter
from datetime import timedelta
from random import Random

from behave import given, step, then

from coltsfoottray.agent.learning import Observation, PressureLearner
from coltsfoottray.agent.pacing import FULL_SPEED, FillerRun, Pacer
from coltsfoottray.agent.pressure import MAX_LIGHT_PRESSURE
from coltsfoottray.agent.ranked_speeds import MIN_PERCENT
from coltsfoottray.jobs.model import JobId, RunRef, TaskRef
from standins.interference import POLL_INTERVAL_S, InterferedService

_TARGET_MS = 45.0
_UNLOADED_MARGIN = 4.5
_SERVICE = "svc"
# Share of the worker's processors that a filler uses at full speed.
_SHARE = 0.1
# Age of a report and duration of a start.
_START_DELAY_S = 1.0
_LIGHT = 0.2
_HEAVY = 2.3


@given(
    "a worker with {count:d} tasks of a service whose load has a {period:d} s period"
)
def make_services(context, count, period):
    context.pressure_by_image = {}
    context.services = [
        InterferedService(
            period_s=period,
            pressure_by_image=context.pressure_by_image,
            random=Random(number),
        )
        for number in range(count)
    ]
    context.learner = PressureLearner()
    context.pacer = Pacer(learner=context.learner)
    context.polls = 0
    context.fillers = []
    context.percent_by_ref = {}
    context.percents_by_image = {}
    context.margins = []


@given('a filler image "{image}" that disturbs it lightly')
def add_light_image(context, image):
    context.pressure_by_image[image] = _LIGHT


@given('a filler image "{image}" that disturbs it heavily')
def add_heavy_image(context, image):
    context.pressure_by_image[image] = _HEAVY


@step('{count:d} fillers of "{image}" run there for {seconds:d} s')
@step('{count:d} fillers of "{image}" join them for {seconds:d} s')
def run_fillers(context, count, image, seconds):
    for _ in range(count):
        number = len(context.fillers)
        task = TaskRef(job=JobId("f" * 16), occurrence=0, step=0, index=number)
        ref = RunRef(task=task, run=1)
        context.fillers.append(FillerRun(ref=ref, image=image, share=_SHARE))
    run_on(context, seconds)


@step("fillers of {count:d} releases run there for {seconds:d} s each")
def run_releases(context, count, seconds):
    context.releases = [f"release-{number}" for number in range(count)]
    for image in context.releases:
        context.pressure_by_image[image] = _LIGHT
        context.fillers = []
        run_fillers(context, 3, image, seconds)


@then(
    "at most {count:d} images of fillers are remembered, the last {last:d} among them"
)
def check_remembered(context, count, last):
    known = {each.pair.filler for each in context.learner.local_pressures()}
    assert len(known) <= count, len(known)
    missed = set(context.releases[-last:]) - known
    assert not missed, missed


@step("the worker runs for {seconds:d} s more")
def run_on(context, seconds):
    for _ in range(round(seconds / POLL_INTERVAL_S)):
        _poll(context)


@step('the fillers of "{image}" must end within {seconds:d} s')
def set_end(context, image, seconds):
    _change_fillers(context, image, end_by=timedelta(seconds=seconds))


@step('the jobs of "{image}" fillers are late')
def set_late(context, image):
    _change_fillers(context, image, is_late=True)


@step('a filler of "{image}" without processors joins them')
def add_filler_without_processors(context, image):
    task = TaskRef(job=JobId("0" * 16), occurrence=0, step=0, index=0)
    ref = RunRef(task=task, run=1)
    context.fillers.append(FillerRun(ref=ref, image=image, share=0.0))


@then('fillers of "{image}" without processors run at full or at minimum speed')
def check_without_processors(context, image):
    idle = [each for each in context.fillers if each.image == image and not each.share]
    percents = {context.percent_by_ref[each.ref] for each in idle}
    assert percents <= {FULL_SPEED, MIN_PERCENT}, percents


@step('the fillers of "{image}" are deferred')
def defer_fillers(context, image):
    _change_fillers(context, image, is_deferred=True)


def _change_fillers(context, image, **changes):
    context.fillers = [
        dataclasses.replace(each, **changes) if each.image == image else each
        for each in context.fillers
    ]


@step("no filler runs there for {seconds:d} s")
def run_no_fillers(context, seconds):
    context.told_by_poll = []
    context.true_by_poll = []
    for _ in range(round(seconds / POLL_INTERVAL_S)):
        now_s = context.polls * POLL_INTERVAL_S
        _poll(context)
        told = context.pacer.margins(context.observations)[_SERVICE].now
        context.told_by_poll.append(told)
        speed = 1.0 - context.services[0].load(now_s)
        context.true_by_poll.append(speed * _UNLOADED_MARGIN)


@step(
    '"{image}" fillers start a second after the margin told to the scheduler allows it'
)
def start_when_told(context, image):
    added = context.pressure_by_image[image] * _UNLOADED_MARGIN * _SHARE
    later = round(_START_DELAY_S / POLL_INTERVAL_S)
    pairs = zip(context.told_by_poll, context.true_by_poll[later:], strict=False)
    # The first polls after its start show nothing of a service yet.
    starts = [true - added for told, true in list(pairs)[10:] if told - added >= 1.0]
    assert len(starts) >= 20, starts
    context.margins_at_start = starts


@then("at most {percent:d} percent of these starts push the service over its target")
def check_starts(context, percent):
    over = [margin for margin in context.margins_at_start if margin < 1.0]
    limit = len(context.margins_at_start) * percent / 100
    assert len(over) <= limit, (len(over), len(context.margins_at_start))


def _poll(context):
    now_s = context.polls * POLL_INTERVAL_S
    context.polls += 1
    share_by_image = Counter()
    for filler in context.fillers:
        percent = context.percent_by_ref.get(filler.ref, FULL_SPEED)
        share_by_image[filler.image] += filler.share * percent / FULL_SPEED
    observations = [
        Observation(
            service=f"s{number}",
            job="s",
            image=_SERVICE,
            latency_ms=service.sample_latency(now_s, share_by_image),
            target_ms=_TARGET_MS,
        )
        for number, service in enumerate(context.services)
    ]
    context.observations = observations
    now = timedelta(seconds=now_s)
    context.learner.learn(observations, share_by_image, now)
    context.percent_by_ref = context.pacer.adjust(
        observations, context.fillers, now, available_share=1.0
    )
    context.margins += [each.margin for each in observations]
    for filler in context.fillers:
        percents = context.percents_by_image.setdefault(filler.image, [])
        percents.append((now_s, context.percent_by_ref[filler.ref]))


@then('"{image}" is estimated to be {kind}')
def check_kind(context, image, kind):
    value = context.learner.pressure(image, _SERVICE).value
    assert (value < MAX_LIGHT_PRESSURE) == (kind == "light"), value


@then('fillers of "{image}" ran at full speed from {second:d} s on')
def check_speed(context, image, second):
    slowed = [
        each
        for each in context.percents_by_image[image]
        if each[0] >= second and each[1] < FULL_SPEED
    ]
    assert not slowed, slowed


@then('the pressure of "{image}" is estimated within {percent:d} percent')
def check_pressure(context, image, percent):
    estimated = context.learner.pressure(image, _SERVICE).value
    true = context.pressure_by_image[image] * _UNLOADED_MARGIN
    assert abs(estimated - true) <= true * percent / 100, (estimated, true)


@then("the service exceeded its target in at most {percent:d} percent of its polls")
def check_margins(context, percent):
    over = sum(margin <= 1.0 for margin in context.margins)
    assert over <= len(context.margins) * percent / 100, (over, len(context.margins))


@then(
    'in the last {seconds:d} s "{slow}" ran at {limit:d} percent or less while "{fast}"'
    " was slowed"
)
def check_priority(context, seconds, slow, limit, fast):
    polls = round(seconds / POLL_INTERVAL_S)
    pairs = zip(
        context.percents_by_image[fast][-polls:],
        context.percents_by_image[slow][-polls:],
        strict=True,
    )
    slowed = [low for (_, high), (_, low) in pairs if high < FULL_SPEED]
    assert slowed
    assert max(slowed) <= limit, slowed


@then('no filler of "{image}" was stopped')
def check_not_stopped(context, image):
    stopped = [each for each in context.percents_by_image[image] if each[1] == 0]
    assert not stopped, stopped
