"""How soon and how surely heavy fillers are told from light ones, and at what cost.

Prints, over seeds, the part of pairs that are taken for the right kind some seconds
after their filler has started, and the processor time of a look as a ratio to that of
a look without fillers.
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
_SETTLED_S = 10.0
_TARGET_MS = 45.0
_TASKS = 3
_SHARE = 0.08
_PRESSURE_BY_IMAGE = {"light": 0.2, "heavy": 2.3, "other": 0.3}


def main() -> None:
    """Print the figures."""
    for after_s in (0.5, 1.0, 2.0, 5.0):
        right = sum(_judge(seed, after_s) for seed in range(_SEEDS))
        part = right / (_SEEDS * len(_PRESSURE_BY_IMAGE))
        print(f"right kind {after_s} s after the start: {part:.2f}")
    alone = _time_looks({})
    beside = _time_looks(dict.fromkeys(_PRESSURE_BY_IMAGE, _SHARE))
    print(f"a look beside three fillers' images, to one without: {beside / alone:.1f}")


def _play(
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


def _judge(seed: int, after_s: float) -> int:
    """Return for how many images alone on the worker the kind is right."""
    right = 0
    for image, pressure in _PRESSURE_BY_IMAGE.items():
        learner = _play(Random(seed), _SETTLED_S + after_s, _SETTLED_S, {image: _SHARE})
        is_light = learner.pressure(image, "svc").value < MAX_LIGHT_PRESSURE
        right += is_light == (pressure < 1.0)
    return right


def _time_looks(share_by_image: Mapping[str, float]) -> float:
    begun = time.process_time()
    _play(Random(1), 300.0, 0.0, share_by_image)
    return time.process_time() - begun


if __name__ == "__main__":
    main()
