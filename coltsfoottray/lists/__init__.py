"""The operators' two lists: the customers' plans, and each plan's allowance."""

from __future__ import annotations

from coltsfoottray.lists.editor import EditConflict, ListEditor
from coltsfoottray.lists.follower import ListFollower
from coltsfoottray.lists.holder import ListHolder
from coltsfoottray.lists.models import (
    Allowance,
    Edit,
    EditRecord,
    ListName,
    Lists,
    apply_change,
)

__all__ = [
    "Allowance",
    "Edit",
    "EditConflict",
    "EditRecord",
    "ListEditor",
    "ListFollower",
    "ListHolder",
    "ListName",
    "Lists",
    "apply_change",
]
