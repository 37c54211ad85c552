"""Helpers of the steps."""
