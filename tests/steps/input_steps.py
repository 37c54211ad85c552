"""Steps for settings files and traces with errors."""

from __future__ import annotations

import tempfile
from pathlib import Path

from behave import given, then, when

from coltsfoottray.settings import load_settings
from standins.trace import load_trace


@given("a settings file with these lines")
@given("a trace with these lines")
def write_file(context):
    context.path = Path(tempfile.mkdtemp()) / "input"
    context.path.write_text(context.text)


@when("the file is checked")
def check_settings(context):
    context.errors = [str(e) for e in load_settings(context.path).failure()]


@then("the file is accepted with {size:g} MB")
def check_memory(context, size):
    settings = load_settings(context.path).unwrap()
    assert settings.limits.memory_mb == size, settings.limits


@when("the trace is loaded")
def check_trace(context):
    context.errors = [str(e) for e in load_trace(context.path).failure()]


@then('it is refused with "{start}" and "{rest}"')
def check_error(context, start, rest):
    assert any(start in e and rest in e for e in context.errors), context.errors


@then('the file is accepted with jobs in the order "{order}"')
def check_order(context, order):
    settings = load_settings(context.path).unwrap()
    assert settings.overload.order.value == order, settings
