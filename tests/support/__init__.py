"""Support code for the steps."""
