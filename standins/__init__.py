"""Small stand-ins for the platform and the users' services, for tests and demo."""

from __future__ import annotations
