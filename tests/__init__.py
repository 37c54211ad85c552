"""Tests, in folders that mirror the packages."""
