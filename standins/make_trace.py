"""Generate the shipped example traces from fixed seeds."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from random import Random

__all__ = ["make_demo_traces"]

_DURATION_S = 20.0


def make_demo_traces(folder: Path) -> None:
    """Write one trace per example user into `folder`."""
    _write(folder / "tregarth.jsonl", _tregarth(Random(1)))
    _write(folder / "ubuntu-image-labs.jsonl", _ubuntu_image_labs(Random(2)))


def _tregarth(random: Random) -> list[dict[str, object]]:
    customers = ["arolwg-gogledd", "arolwg-de", "prisiau-bach"]
    events = _requests(random, customers, "quote-check", "qc", 160, 25, True)
    events += _requests(random, customers, "quote-submission", "qs", 60, 40, False)
    events += _retries(events, random, "quote-submission")
    for number in range(18):
        customer = customers[number % 2]
        events.append(_task(random, customer, "basket-rebuild", f"br-{number}", 8, 24))
    events.append(_task(random, customers[2], "basket-rebuild", "br-small", 4, 12))
    events.append(
        {
            "at": 6.0,
            "event": "edit",
            "list": "allowances",
            "change": {"small": {"vm_share": 0.5}},
        }
    )
    events.append(_fault(8.0, "upstream-drain", "instance-03"))
    events.append(_fault(10.0, "worker-lost", "worker-01"))
    return events


def _ubuntu_image_labs(random: Random) -> list[dict[str, object]]:
    customers = ["district-cape-winelands", "district-overberg", "school-kayamandi"]
    events = _requests(random, customers, "profile-check", "pc", 120, 20, True)
    for number in range(14):
        customer = customers[number % 2]
        events.append(_task(random, customer, "image-build", f"ib-{number}", 4, 14, 1))
    for number in range(4):
        customer = customers[number % 3]
        events.append(_task(random, customer, "sync-worker", f"sw-{number}", 1, 2))
    events.append(
        {
            "at": 5.0,
            "event": "edit",
            "list": "plans",
            "change": {"school-kayamandi": "district"},
        }
    )
    events.append(_fault(7.0, "upstream-drain", "instance-05"))
    events.append(_fault(9.0, "worker-lost", "worker-02"))
    return events


def _requests(
    random: Random,
    customers: Sequence[str],
    kind: str,
    prefix: str,
    count: int,
    service_ms: float,
    idempotent: bool,
) -> list[dict[str, object]]:
    return [
        {
            "at": round(random.uniform(0.0, _DURATION_S), 3),
            "event": "request",
            "customer": random.choice(customers),
            "kind": kind,
            "id": f"{prefix}-{number}",
            "idempotent": idempotent,
            "worth": 1.0 if idempotent else 3.0,
            "service_ms": round(random.expovariate(1 / service_ms) + 5, 1),
        }
        for number in range(count)
    ]


def _retries(
    events: list[dict[str, object]], random: Random, kind: str
) -> list[dict[str, object]]:
    """Return retries by the callers for a tenth of the requests of `kind`."""
    originals = [event for event in events if event.get("kind") == kind]
    retries = []
    for event in random.sample(originals, len(originals) // 10):
        retry = dict(event, id=f"{event['id']}-again", retry_of=event["id"])
        at = event["at"]
        assert isinstance(at, float)
        retry["at"] = round(at + random.uniform(0.01, 1.0), 3)
        retries.append(retry)
    return retries


def _task(
    random: Random,
    customer: str,
    kind: str,
    task: str,
    processors: float,
    memory_gb: float,
    accelerators: int = 0,
) -> dict[str, object]:
    runtime_s = round(random.uniform(2.0, 6.0), 2)
    return {
        "at": round(random.uniform(0.0, _DURATION_S / 2), 3),
        "event": "task",
        "customer": customer,
        "kind": kind,
        "id": task,
        "processors": processors,
        "memory_gb": memory_gb,
        "accelerators": accelerators,
        "runtime_s": runtime_s,
        "real_runtime_s": round(runtime_s * random.choice([0.5, 1.0, 1.0, 2.0]), 2),
    }


def _fault(at: float, what: str, target: str) -> dict[str, object]:
    return {"at": at, "event": "fault", "what": what, "target": target}


def _write(path: Path, events: list[dict[str, object]]) -> None:
    ordered = sorted(events, key=lambda event: str(event["at"]).zfill(8))
    path.write_text("".join(json.dumps(event) + "\n" for event in ordered))
