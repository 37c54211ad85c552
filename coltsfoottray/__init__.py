"""A scheduler that colocates latency-critical services with batch tasks."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
