"""Measurements, apart from the tests."""

from __future__ import annotations
