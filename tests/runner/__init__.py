"""Runs the scenarios, each in a process of its own, several at a time."""
