"""The operators' two lists as one versioned value, and edits to them."""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from coltsfoottray.errors import InputError
from coltsfoottray.types import NO_LISTS, CustomerId, ListVersion, PlanId, Resources

__all__ = [
    "Allowance",
    "Edit",
    "EditRecord",
    "ListName",
    "Lists",
    "apply_change",
]


class ListName(enum.Enum):
    """The lists that operators edit."""

    PLANS = "plans"
    ALLOWANCES = "allowances"


class Allowance(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on what each customer with a plan may use at the same time.

    Parameters
    ----------
    processors, memory_gb, accelerators
        Bounds on the sum over the customer's running tasks.
    vm_share : float
        The share, above 0 and at most 1, of each upstream VM's slots that the
        customer's requests may hold, and of the workers its tasks may run on.
    """

    processors: float
    memory_gb: float
    accelerators: int = 0
    vm_share: float = 1.0

    def __post_init__(self) -> None:
        for name in ("processors", "memory_gb", "accelerators"):
            value = getattr(self, name)
            if value < 0:
                raise ValueError(f"{name}: got {value}, expected 0 or more")
        if not 0 < self.vm_share <= 1:
            raise ValueError(
                f"vm_share: got {self.vm_share}, expected above 0 and at most 1"
            )

    @property
    def resources(self) -> Resources:
        """The bounds on running tasks."""
        return Resources(
            processors=self.processors,
            memory_gb=self.memory_gb,
            accelerators=self.accelerators,
        )


class Lists(msgspec.Struct, frozen=True, kw_only=True):
    """Both lists at one version; at version 0 no edit has been accepted yet."""

    version: ListVersion = NO_LISTS
    plan_by_customer: dict[CustomerId, PlanId] = msgspec.field(default_factory=dict)
    allowance_by_plan: dict[PlanId, Allowance] = msgspec.field(default_factory=dict)

    def allowance_of(self, customer: CustomerId) -> Allowance | None:
        """Return the allowance of `customer`, None if it has no plan."""
        plan = self.plan_by_customer.get(customer)
        return None if plan is None else self.allowance_by_plan.get(plan)

    def line_of(self, customer: CustomerId) -> str:
        """Return the lists' lines about `customer`, as decisions cite them."""
        plan = self.plan_by_customer.get(customer)
        if plan is None:
            return f"plans@{self.version}: no line for {customer}"
        allowance = self.allowance_by_plan[plan]
        return (
            f"plans@{self.version}: {customer} = {plan}; "
            f"allowances@{self.version}: {plan} = "
            f"{allowance.processors:g} processors, {allowance.memory_gb:g} GB, "
            f"{allowance.accelerators} accelerators, "
            f"{allowance.vm_share:g} of VMs"
        )


class Edit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's change to one list.

    Parameters
    ----------
    list : ListName
        The list to change.
    change : dict
        New lines by customer (a plan) or by plan (fields of an allowance;
        omitted fields keep their values). None removes a line.
    based_on : ListVersion
        The version the operator read.
    author : str
        The operator who makes the edit.
    token : str
        Unique to the edit, and unchanged when it is sent again, so that the
        edit is applied once however often it arrives.
    """

    list: ListName
    change: dict[str, Any]
    based_on: ListVersion
    author: str
    token: str


class EditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted edit and the lists after it."""

    edit: Edit
    accepted_at: str
    lists: Lists


def apply_change(lists: Lists, edit: Edit, *, version: ListVersion) -> Lists:
    """Return `lists` with `edit` applied, at `version`.

    Raises
    ------
    InputError
        If the change is malformed or would leave a customer on a plan that
        has no allowance.
    """
    if not edit.change:
        raise InputError(field="change", value={}, expected="at least one line")
    plans = dict(lists.plan_by_customer)
    allowances = dict(lists.allowance_by_plan)
    for key, line in edit.change.items():
        if edit.list is ListName.PLANS:
            _change_plan(plans, CustomerId(key), line)
        else:
            _change_allowance(allowances, PlanId(key), line)
    changed = Lists(
        version=version, plan_by_customer=plans, allowance_by_plan=allowances
    )
    _check_consistent(changed)
    return changed


def _change_plan(
    plans: dict[CustomerId, PlanId], customer: CustomerId, line: object
) -> None:
    if line is None:
        plans.pop(customer, None)
    elif isinstance(line, str):
        plans[customer] = PlanId(line)
    else:
        raise InputError(
            field=f"change.{customer}", value=line, expected="a plan's name or null"
        )


def _change_allowance(
    allowances: dict[PlanId, Allowance], plan: PlanId, line: object
) -> None:
    if line is None:
        allowances.pop(plan, None)
        return
    if not isinstance(line, dict):
        raise InputError(
            field=f"change.{plan}", value=line, expected="an allowance or null"
        )
    before = allowances.get(plan)
    fields = {} if before is None else msgspec.structs.asdict(before)
    try:
        allowances[plan] = msgspec.convert({**fields, **line}, type=Allowance)
    except msgspec.ValidationError as error:
        raise InputError(
            field=f"change.{plan}", value=line, expected=str(error)
        ) from error


def _check_consistent(lists: Lists) -> None:
    for customer, plan in lists.plan_by_customer.items():
        if plan not in lists.allowance_by_plan:
            raise InputError(
                field=f"plans.{customer}",
                value=plan,
                expected=f"one of the plans {sorted(lists.allowance_by_plan)}",
            )
