"""Decisions for times in which not all work can be done by its deadline."""
