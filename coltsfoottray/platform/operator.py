"""Decoder of the config that the platform's operator writes."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from coltsfoottray.decoding import MalformedData, decode_json
from coltsfoottray.jobs.config import Queue, ServiceTerms, SiteConfig
from coltsfoottray.jobs.model import AdviceTerms, QueueTerms

__all__ = ["parse_config", "read_evacuated_data_centre"]

# A row with this key requests that nothing more be started in the zone it ends with.
_EVACUATION_PREFIX = "op//evacuate/"


class _Recommendation(msgspec.Struct):
    decisionMs: float = 0.0  # noqa: N815
    periodMs: float = 0.0  # noqa: N815  additional time per worker in a request
    validityMs: float = 0.0  # noqa: N815


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    service: str = ""
    timeoutMs: float = 30_000.0  # noqa: N815
    targetLatencyMs: float = 0.0  # noqa: N815
    priority: int = 0
    # Only failed runs count as attempts; lost and stopped ones do not.
    maxAttempts: int = 1  # noqa: N815
    slowdownFactor: float = 1.0  # noqa: N815
    # Not a hint: if set, only workers that the external service allows may run the
    # queue's steps.
    recommendation: _Recommendation | None = None


class _Service(msgspec.Struct):
    name: str
    rejectsOverload: bool = False  # noqa: N815
    standby: bool = False


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = msgspec.field(default_factory=list)
    services: list[_Service] = msgspec.field(default_factory=list)


def parse_config(value: msgspec.Raw) -> Result[SiteConfig, str]:
    """Return the config in a row, or the reason why it is invalid."""
    try:
        wire = decode_json(value, _Config)
    except MalformedData as error:
        return Failure(str(error))
    config = SiteConfig(
        version=wire.version,
        queues=[_as_queue(route) for route in wire.routes],
        services=[
            ServiceTerms(
                name=service.name,
                rejects_overload=service.rejectsOverload,
                is_standby=service.standby,
            )
            for service in wire.services
        ],
    )
    return Success(config)


def read_evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that a row evacuates, None for another kind of row.

    The value of such a row says nothing: the request holds until the row is deleted.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key.removeprefix(_EVACUATION_PREFIX) or None


def _as_advice(wire: _Recommendation | None) -> AdviceTerms | None:
    if wire is None:
        return None
    return AdviceTerms(
        decision_ms=wire.decisionMs,
        per_worker_ms=wire.periodMs,
        validity_ms=wire.validityMs,
    )


def _as_queue(route: _Route) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.pathPrefix,
        timeout_ms=route.timeoutMs,
        terms=QueueTerms(
            service=route.service,
            priority=route.priority,
            max_attempts=route.maxAttempts,
            slowdown_factor=route.slowdownFactor,
            target_latency_ms=route.targetLatencyMs,
            advice=_as_advice(route.recommendation),
        ),
    )
