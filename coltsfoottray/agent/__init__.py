"""Attendant of a worker that runs the tasks of jobs: lease, orders and reports."""

from __future__ import annotations
