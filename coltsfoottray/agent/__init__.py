"""The attendant of a worker that runs jobs' tasks: its lease, orders, reports."""

from __future__ import annotations
