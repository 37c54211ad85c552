"""Tests, in folders named after the packages."""
