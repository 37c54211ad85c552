"""Benchmarks, which are not part of the tests."""

from __future__ import annotations
