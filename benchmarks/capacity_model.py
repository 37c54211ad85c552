"""From slopes to what each role costs at the size designed for."""

from __future__ import annotations

from dataclasses import dataclass, fields

__all__ = ["UnitCosts", "print_report"]

# The size designed for.
WORKERS = 530
INSTANCES = 1300
ENTRIES = 4
RUNNING_TASKS = 9600
PEAK_STARTS_PER_S = 130
JOBS_PER_DAY = 9400
# Not in the users' letter: an assumption, to see what keys cost.
KEYED_PER_S = 200
EDITS_PER_DAY = 900
LISTS_BYTES = 8000

# Settings at that size, in seconds.
LEASE_S = 60.0
HOLD_S = 60.0
RETENTION_S = 600.0
MAX_DECISIONS = 20_000

# The budget of one daemon's control, and the table's.
BUDGET_CPU = 0.018
BUDGET_BYTES_PER_S = 7000
BUDGET_MEMORY = 128e6
BUDGET_WRITES_PER_S = 300
BUDGET_READS_PER_S = 2000

_DAY_S = 86_400


@dataclass(frozen=True, kw_only=True)
class UnitCosts:
    """What was measured: processor seconds, bytes, and table operations.

    Parameters
    ----------
    watch_s, claim_s : float
        Both ends of one call.
    task_s : float
        All daemons and stand-ins, for one task from submission to its end.
    """

    idle_daemon_s: float
    watch_s: float
    watch_bytes: float
    claim_s: float
    claim_bytes: float
    task_s: float
    task_rows: float
    task_commits: float
    task_reads: float
    base_bytes: float
    claim_memory_bytes: float
    task_memory_bytes: float
    decision_memory_bytes: float
    member_memory_bytes: float


@dataclass(frozen=True, kw_only=True)
class _Line:
    role: str
    what: str
    amount: float
    budget: float
    unit: str


def print_report(slopes: UnitCosts) -> None:
    """Print the slopes, and each role's use beside its budget."""
    print("measured")
    for field in fields(slopes):
        print(f"  {field.name:<22}{getattr(slopes, field.name):,.6f}")
    print("extrapolated")
    for line in _lines(slopes):
        verdict = "ok" if line.amount <= line.budget else "OVER"
        print(
            f"  {line.role:<20}{line.what:<34}{line.amount:>12,.4g} of "
            f"{line.budget:>9,.4g} {line.unit:<9}{verdict}"
        )


def _lines(s: UnitCosts) -> list[_Line]:
    attendants = WORKERS + INSTANCES
    every = attendants / HOLD_S
    homed = every / ENTRIES
    pushed = EDITS_PER_DAY * attendants * LISTS_BYTES / _DAY_S
    # An entry does about half of what a task costs, its workers the rest.
    per_task = s.task_s / 2 / ENTRIES
    claims = KEYED_PER_S / ENTRIES * (ENTRIES - 1) * 2 * s.claim_s / 2
    claims_bytes = KEYED_PER_S / ENTRIES * (ENTRIES - 1) * 2 * s.claim_bytes
    memory = (
        s.base_bytes
        + KEYED_PER_S * RETENTION_S * s.claim_memory_bytes
        + RUNNING_TASKS / ENTRIES * s.task_memory_bytes
        + MAX_DECISIONS * s.decision_memory_bytes
        + attendants * s.member_memory_bytes
    )
    leases = (WORKERS + ENTRIES) / (LEASE_S / 3)
    return [
        _cpu("entry, today's way", "announcements, all to all", every * s.watch_s / 2),
        _cpu("entry, homed", "announcements, one home each", homed * s.watch_s / 2),
        _cpu("entry", "tasks, mean of a day", JOBS_PER_DAY / _DAY_S * per_task),
        _cpu("entry", "tasks, at the peak", PEAK_STARTS_PER_S * per_task),
        _cpu("entry", f"claims, {KEYED_PER_S} keyed a second", claims),
        _wire("entry, today's way", "announcements", every * s.watch_bytes),
        _wire("entry, homed", "announcements", homed * s.watch_bytes),
        _wire("entry, today's way", "pushed lists", pushed),
        _wire("entry, homed", "pushed lists", pushed / ENTRIES),
        _wire("entry", "claims", claims_bytes),
        _memory("entry", "all state", memory),
        _cpu("attendant", "announcing to all", ENTRIES / HOLD_S * s.watch_s / 2),
        _wire("attendant", "announcing to all", ENTRIES / HOLD_S * s.watch_bytes),
        _memory("attendant", "base", s.base_bytes),
        _table("writes, one a row", leases + PEAK_STARTS_PER_S * s.task_rows),
        _table("writes, one a commit", leases + PEAK_STARTS_PER_S * s.task_commits),
        _Line(
            role="table",
            what="reads",
            amount=PEAK_STARTS_PER_S * s.task_reads + attendants / LEASE_S * 3,
            budget=BUDGET_READS_PER_S,
            unit="1/s",
        ),
        _Line(
            role="table",
            what="reads, a data centre back at once",
            amount=attendants / 5 * 18 / 10,
            budget=BUDGET_READS_PER_S,
            unit="1/s",
        ),
    ]


def _cpu(role: str, what: str, amount: float) -> _Line:
    return _Line(
        role=role, what=what, amount=amount, budget=BUDGET_CPU, unit="of a core"
    )


def _wire(role: str, what: str, amount: float) -> _Line:
    return _Line(
        role=role, what=what, amount=amount, budget=BUDGET_BYTES_PER_S, unit="B/s"
    )


def _memory(role: str, what: str, amount: float) -> _Line:
    return _Line(
        role=role, what=what, amount=amount, budget=BUDGET_MEMORY, unit="bytes"
    )


def _table(what: str, amount: float) -> _Line:
    return _Line(
        role="table",
        what=what,
        amount=amount,
        budget=BUDGET_WRITES_PER_S,
        unit="1/s",
    )
