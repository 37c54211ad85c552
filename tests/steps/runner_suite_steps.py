"""Steps on whole runs of the runner, on suites in folders of their own."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

_ROOT = Path(__file__).parents[2]
_COUNTED = "  Scenario: {name}\n    Then this is the first run in this module\n"
_STEPS = """
import os

from behave import then

RUNS = []


@then("this is the first run in this module")
def check_first(context):
    RUNS.append(context.scenario.name)
    assert len(RUNS) == 1, RUNS


@then("this fails")
def fail(context):
    raise AssertionError("as planned")


@then("the process exits")
def leave(context):
    os._exit(0)
"""


@given("a suite whose scenarios each count a run in the same module")
def make_counting(context):
    scenarios = [_COUNTED.format(name=f"number {number}") for number in range(4)]
    _write_suite(context, scenarios)


@given("a suite with a scenario that fails, one that exits and one without its step")
def make_failing(context):
    scenarios = [
        "  Scenario: it fails\n    Then this fails\n",
        "  Scenario: it exits\n    Then the process exits\n",
        "  Scenario: it lacks a step\n    Then nobody wrote this\n",
        _COUNTED.format(name="it passes"),
    ]
    _write_suite(context, scenarios)


@given("a suite whose hook after each scenario raises")
def make_raising_hook(context):
    _write_suite(context, [_COUNTED.format(name="it passes")])
    hook = "def after_scenario(context, scenario):\n    raise RuntimeError('hook')\n"
    (context.folder / "environment.py").write_text(hook)


@given("a suite with a step file that cannot be read")
def make_broken(context):
    _write_suite(context, [_COUNTED.format(name="it passes")])
    (context.folder / "steps" / "broken_steps.py").write_text("def broken(:\n")


@when("it runs in {first:d} slots and in {second:d} slots")
def run_twice(context, first, second):
    folder = str(context.folder)
    context.outputs = [
        _run(context, "--slots", str(slots), folder) for slots in (first, second)
    ]


@when("its scenario on line {line:d} runs")
def run_line(context, line):
    context.outputs = [_run(context, f"{context.folder}/some.feature:{line}")]


@when('it runs beside the command "{command}"')
def run_beside(context, command):
    context.outputs = [_run(context, "--beside", command, str(context.folder))]


@then('both totals are "{line}"')
@then('the total is "{line}"')
def check_totals(context, line):
    for output in context.outputs:
        assert output.splitlines()[-1] == line, output


@then("both name the same failures")
def check_failures(context):
    first, second = map(_list_names, context.outputs)
    assert first == second, context.outputs


@then('its output has "{first}" and "{second}"')
def check_output(context, first, second):
    lines = context.outputs[0].splitlines()
    assert first in lines and second in lines, context.outputs


def _write_suite(context, scenarios):
    context.folder = Path(tempfile.mkdtemp())
    (context.folder / "steps").mkdir()
    (context.folder / "steps" / "some_steps.py").write_text(_STEPS)
    text = "Feature: Some\n\n" + "\n".join(scenarios)
    (context.folder / "some.feature").write_text(text)


def _run(context, *arguments):
    known_red = ["--known-red", str(context.folder / "KNOWN-RED.txt")]
    result = subprocess.run(
        [sys.executable, "-m", "tests", *known_red, *arguments],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    is_good = result.stdout.endswith(" 0 failed\n")
    assert result.returncode == (0 if is_good else 1), result
    return result.stdout


def _list_names(output):
    """Return the lines of failures below the slowest scenarios."""
    lines = output.splitlines()
    start = max(n for n, line in enumerate(lines) if "the slowest:" in line)
    return [line for line in lines[start:] if line.startswith("failed: ")]
