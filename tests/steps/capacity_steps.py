"""Steps for the rates of pools whose workers leave."""

from __future__ import annotations

from datetime import timedelta

from behave import given, then, when

from coltsfoottray.overload.capacity import CapacityMeter
from coltsfoottray.overload.demand import Pool, PoolKind

_POOL = Pool(service="gone", kind=PoolKind.SPARE)


@given("a meter with a restored rate of a pool")
def make_meter(context):
    context.meter = CapacityMeter()
    context.meter.restore({_POOL: 8.0})
    context.now_s = 0


@when("it is updated for {seconds:d} s without that pool")
def update_meter(context, seconds):
    for _ in range(seconds):
        context.meter.update({}, timedelta(seconds=context.now_s))
        context.now_s += 1


@then("the rate is still known")
def check_known(context):
    assert context.meter.rate_by_pool() == {_POOL: 8.0}


@then("the rate is no longer known")
def check_dropped(context):
    assert context.meter.rate_by_pool() == {}
