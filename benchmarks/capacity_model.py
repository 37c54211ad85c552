"""Extrapolates unit costs to the resource use of each role at the design size."""

from __future__ import annotations

from dataclasses import dataclass, fields

__all__ = ["UnitCosts", "print_report"]

# Size of the deployment that the design targets.
WORKERS = 530
INSTANCES = 1300
ENTRIES = 4
RUNNING_TASKS = 9600
PEAK_STARTS_PER_S = 130
JOBS_PER_DAY = 9400
# An assumption, not a requirement, to estimate the cost of keyed requests.
KEYED_PER_S = 200
EDITS_PER_DAY = 900
LISTS_BYTES = 8000

# Settings at the design size; times in seconds.
LEASE_S = 60.0
HOLD_S = 60.0
RETENTION_S = 600.0
MAX_DECISIONS = 20_000

# Budgets for the control overhead of one daemon, and for operations of the table.
BUDGET_CPU = 0.018
BUDGET_BYTES_PER_S = 7000
BUDGET_MEMORY = 128e6
BUDGET_WRITES_PER_S = 300
BUDGET_READS_PER_S = 2000

_DAY_S = 86_400


@dataclass(frozen=True, kw_only=True)
class UnitCosts:
    """Measured unit costs in processor seconds, bytes and table operations.

    Parameters
    ----------
    watch_s, claim_s : float
        Processor seconds of one call, at both ends.
    task_s : float
        Processor seconds of all daemons and stand-ins for one task, from submission to
        end.
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
class _ResourceUse:
    role: str
    quantity: str
    amount: float
    budget: float
    unit: str


def print_report(costs: UnitCosts) -> None:
    """Print the unit costs, and the use of each role next to its budget."""
    print("measured")
    for field in fields(costs):
        print(f"  {field.name:<22}{getattr(costs, field.name):,.6f}")
    print("extrapolated")
    for use in _extrapolate(costs):
        verdict = "ok" if use.amount <= use.budget else "OVER"
        print(
            f"  {use.role:<20}{use.quantity:<34}{use.amount:>12,.4g} of "
            f"{use.budget:>9,.4g} {use.unit:<9}{verdict}"
        )


def _extrapolate(costs: UnitCosts) -> list[_ResourceUse]:
    attendants = WORKERS + INSTANCES
    # Currently each attendant announces itself to all entries. The "homed" rows show an
    # alternative in which it announces itself to a single home entry.
    announcements_per_s = attendants / HOLD_S
    homed_per_s = announcements_per_s / ENTRIES
    pushed_bytes_per_s = EDITS_PER_DAY * attendants * LISTS_BYTES / _DAY_S
    # An entry accounts for about half of the cost of a task, its workers for the rest.
    task_cpu_s = costs.task_s / 2 / ENTRIES
    claims_cpu = KEYED_PER_S / ENTRIES * (ENTRIES - 1) * 2 * costs.claim_s / 2
    claims_bytes = KEYED_PER_S / ENTRIES * (ENTRIES - 1) * 2 * costs.claim_bytes
    memory = (
        costs.base_bytes
        + KEYED_PER_S * RETENTION_S * costs.claim_memory_bytes
        + RUNNING_TASKS / ENTRIES * costs.task_memory_bytes
        + MAX_DECISIONS * costs.decision_memory_bytes
        + attendants * costs.member_memory_bytes
    )
    lease_writes_per_s = (WORKERS + ENTRIES) / (LEASE_S / 3)
    return [
        _cpu(
            "entry, current",
            "announcements, all to all",
            announcements_per_s * costs.watch_s / 2,
        ),
        _cpu(
            "entry, homed",
            "announcements, one home each",
            homed_per_s * costs.watch_s / 2,
        ),
        _cpu("entry", "tasks, daily mean", JOBS_PER_DAY / _DAY_S * task_cpu_s),
        _cpu("entry", "tasks, peak", PEAK_STARTS_PER_S * task_cpu_s),
        _cpu("entry", f"claims, {KEYED_PER_S} keyed requests/s", claims_cpu),
        _wire(
            "entry, current",
            "announcements",
            announcements_per_s * costs.watch_bytes,
        ),
        _wire("entry, homed", "announcements", homed_per_s * costs.watch_bytes),
        _wire("entry, current", "pushed lists", pushed_bytes_per_s),
        _wire("entry, homed", "pushed lists", pushed_bytes_per_s / ENTRIES),
        _wire("entry", "claims", claims_bytes),
        _memory("entry", "all state", memory),
        _cpu("attendant", "announcing to all", ENTRIES / HOLD_S * costs.watch_s / 2),
        _wire("attendant", "announcing to all", ENTRIES / HOLD_S * costs.watch_bytes),
        _memory("attendant", "base", costs.base_bytes),
        _table(
            "writes, one per row",
            lease_writes_per_s + PEAK_STARTS_PER_S * costs.task_rows,
        ),
        _table(
            "writes, one per commit",
            lease_writes_per_s + PEAK_STARTS_PER_S * costs.task_commits,
        ),
        _ResourceUse(
            role="table",
            quantity="reads",
            amount=PEAK_STARTS_PER_S * costs.task_reads + attendants / LEASE_S * 3,
            budget=BUDGET_READS_PER_S,
            unit="1/s",
        ),
        _ResourceUse(
            role="table",
            quantity="reads, whole data centre returns",
            amount=attendants / 5 * 18 / 10,
            budget=BUDGET_READS_PER_S,
            unit="1/s",
        ),
    ]


def _cpu(role: str, quantity: str, amount: float) -> _ResourceUse:
    return _ResourceUse(
        role=role, quantity=quantity, amount=amount, budget=BUDGET_CPU, unit="of a core"
    )


def _wire(role: str, quantity: str, amount: float) -> _ResourceUse:
    return _ResourceUse(
        role=role,
        quantity=quantity,
        amount=amount,
        budget=BUDGET_BYTES_PER_S,
        unit="B/s",
    )


def _memory(role: str, quantity: str, amount: float) -> _ResourceUse:
    return _ResourceUse(
        role=role, quantity=quantity, amount=amount, budget=BUDGET_MEMORY, unit="bytes"
    )


def _table(quantity: str, amount: float) -> _ResourceUse:
    return _ResourceUse(
        role="table",
        quantity=quantity,
        amount=amount,
        budget=BUDGET_WRITES_PER_S,
        unit="1/s",
    )
