"""Steps on the account of the bytes of requests."""

from __future__ import annotations

from behave import given, then, when

from coltsfoottray.intake import ByteAccount

_KB = 1024


@given("an account of {capacity:d} KB, beside which 16 KB of each request are free")
def make_account(context, capacity):
    context.now_s = 0.0
    context.account = ByteAccount(capacity=capacity * _KB, now=lambda: context.now_s)
    context.displaced = []
    context.holdings = []


def _open(context, count, size):
    for number in range(count):
        holding = context.account.open(
            lambda number=number: context.displaced.append(number)
        )
        assert context.account.charge(holding, size * _KB)
        context.holdings.append(holding)


@given("{count:d} requests of {size:d} KB that have been arriving for {age:d} s")
def open_requests(context, count, size, age):
    _open(context, count, size)
    context.now_s += age


@given("{count:d} complete requests of {size:d} KB that began {age:d} s ago")
def open_complete(context, count, size, age):
    _open(context, count, size)
    for holding in context.holdings:
        holding.is_complete = True
    context.now_s += age


@when("a request of {size:d} KB arrives")
def charge(context, size):
    holding = context.account.open(lambda: context.displaced.append("itself"))
    context.is_taken = context.account.charge(holding, size * _KB)


@then("it is taken, and {count:d} of the earlier ones are displaced")
def check_taken(context, count):
    assert context.is_taken
    assert context.displaced == list(range(count)), context.displaced


@then("it is refused, and {count:d} of the earlier ones are displaced")
def check_not_taken(context, count):
    assert not context.is_taken
    assert context.displaced == list(range(count)), context.displaced


@then("{size:d} KB are held")
def check_held(context, size):
    assert context.account.held_bytes == size * _KB, context.account.held_bytes
