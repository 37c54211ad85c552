"""What the runner prints, and the status it returns."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from tests.runner.jobs import JobKind, Result, Verdict

__all__ = ["Summary", "format_block", "summarize"]

_SLOWEST_SHOWN = 10
_RULE = "=" * 70


@dataclass(frozen=True, kw_only=True)
class Summary:
    """The last lines of a run and its status."""

    lines: list[str] = field(default_factory=list)
    status: int


def format_block(result: Result) -> str:
    """Return the output of one job, below a line that names it."""
    seconds = result.duration.total_seconds()
    head = f"{result.verdict.value}: {result.job.name} ({seconds:.1f} s)"
    lines = [_RULE, head, result.job.place, result.output.rstrip(), result.reason]
    return "\n".join([*(line for line in lines if line), _RULE])


def summarize(
    results: Sequence[Result], known_red: Mapping[str, str], all_names: Collection[str]
) -> Summary:
    """Return the slowest scenarios, the failures and the total.

    A listed scenario that fails counts neither as passed nor as failed. One that passes
    counts as failed, as do a listed name without a scenario and a command that fails.
    """
    scenarios = [each for each in results if each.job.kind is JobKind.SCENARIO]
    passed = _names_of(scenarios, Verdict.PASSED)
    failed = _names_of(scenarios, Verdict.FAILED, Verdict.DIED)
    expected = [name for name in failed if name in known_red]
    unexpected = [name for name in failed if name not in known_red]
    repaired = [name for name in passed if name in known_red]
    unknown = [name for name in known_red if name not in all_names]
    commands = [each for each in results if each.job.kind is JobKind.COMMAND]
    broken = _names_of(commands, Verdict.FAILED, Verdict.DIED)
    failures = len(unexpected) + len(repaired) + len(unknown) + len(broken)
    passes = len(passed) - len(repaired)
    return Summary(
        lines=[
            *_format_slowest(scenarios),
            *(f"known red: {known_red[name]}" for name in expected),
            *(f"failed: {name}" for name in unexpected),
            *(
                f"listed as known red, but passes; remove it from the list: {name}"
                for name in repaired
            ),
            *(f"listed as known red, but no scenario: {name}" for name in unknown),
            *(f"failed command: {name}" for name in broken),
            f"{passes} passed, {failures} failed",
        ],
        status=1 if failures or not passed else 0,
    )


def _names_of(results: Sequence[Result], *verdicts: Verdict) -> list[str]:
    return [each.job.name for each in results if each.verdict in verdicts]


def _format_slowest(results: Sequence[Result]) -> list[str]:
    slowest = sorted(results, key=lambda each: each.duration, reverse=True)
    total = sum((each.processor_time for each in results), timedelta())
    return [
        f"{total.total_seconds():.0f} s of processor time; the slowest:",
        *(_format_durations(each) for each in slowest[:_SLOWEST_SHOWN]),
    ]


def _format_durations(result: Result) -> str:
    seconds = result.duration.total_seconds()
    processor_seconds = result.processor_time.total_seconds()
    return f"{seconds:7.1f} s, {processor_seconds:.1f} s busy  {result.job.name}"
