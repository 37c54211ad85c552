"""Stand-ins for the platform and the users' services, for tests and the demo."""

from __future__ import annotations
