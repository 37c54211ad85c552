"""Measures how fast and accurately heavy fillers are classified, and the cost.

Prints, over all seeds, the share of images that are correctly classified as light or
heavy some seconds after their filler has started, and the processor time of a poll
with fillers as a ratio to that of a poll without fillers.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from datetime import timedelta
from random import Random

from coltsfoottray.agent.learning import Observation, PressureLearner
from coltsfoottray.agent.pressure import MAX_LIGHT_PRESSURE
from standins.interference import POLL_INTERVAL_S, InterferedService

_SEEDS = 40
_WARMUP_S = 10.0
_TARGET_MS = 45.0
_TASKS = 3
_SHARE = 0.08
_PRESSURE_BY_IMAGE = {"light": 0.2, "heavy": 2.3, "other": 0.3}


def main() -> None:
    """Print the accuracy and the cost."""
    for after_s in (0.5, 1.0, 2.0, 5.0):
        correct = sum(_count_correct(seed, after_s) for seed in range(_SEEDS))
        accuracy = correct / (_SEEDS * len(_PRESSURE_BY_IMAGE))
        print(f"correctly classified {after_s} s after the start: {accuracy:.2f}")
    baseline_s = _time_updates({})
    loaded_s = _time_updates(dict.fromkeys(_PRESSURE_BY_IMAGE, _SHARE))
    print(f"time of a poll, three fillers to none: {loaded_s / baseline_s:.1f}")


def _simulate(
    random: Random, seconds: float, start_s: float, share_by_image: Mapping[str, float]
) -> PressureLearner:
    phase = random.uniform(0, 6.28)
    period_s = random.uniform(8, 16)
    services = [
        InterferedService(
            period_s=period_s,
            phase=phase,
            pressure_by_image=_PRESSURE_BY_IMAGE,
            random=Random(random.random()),
        )
        for _ in range(_TASKS)
    ]
    learner = PressureLearner()
    for look in range(round(seconds / POLL_INTERVAL_S)):
        now_s = look * POLL_INTERVAL_S
        shares = share_by_image if now_s >= start_s else {}
        observations = [
            Observation(
                service=str(number),
                job="s",
                image="svc",
                latency_ms=service.sample_latency(now_s, shares),
                target_ms=_TARGET_MS,
            )
            for number, service in enumerate(services)
        ]
        learner.learn(observations, shares, timedelta(seconds=now_s))
    return learner


def _count_correct(seed: int, after_s: float) -> int:
    """Return how many images are classified correctly, each alone on the worker."""
    correct = 0
    for image, pressure in _PRESSURE_BY_IMAGE.items():
        learner = _simulate(
            Random(seed), _WARMUP_S + after_s, _WARMUP_S, {image: _SHARE}
        )
        is_light = learner.pressure(image, "svc").value < MAX_LIGHT_PRESSURE
        correct += is_light == (pressure < 1.0)
    return correct


def _time_updates(share_by_image: Mapping[str, float]) -> float:
    started_at = time.process_time()
    _simulate(Random(1), 300.0, 0.0, share_by_image)
    return time.process_time() - started_at


if __name__ == "__main__":
    main()
