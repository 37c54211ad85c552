"""The micro-kernel, where components are registered and found by name."""

from __future__ import annotations

from coltsfoottray.kernel.kernel import Kernel
from coltsfoottray.kernel.service import Listener, Service, ServiceName

__all__ = ["Kernel", "Listener", "Service", "ServiceName"]
