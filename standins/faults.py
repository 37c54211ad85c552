"""Faults that tests and traces inject into the stand-in of a store."""

from __future__ import annotations

from dataclasses import dataclass

import trio

__all__ = ["Faults"]


@dataclass(kw_only=True)
class Faults:
    """Faults that are currently injected.

    Parameters
    ----------
    is_down : bool
        Every call is answered with status 503 and has no effect.
    delay_s : float
        Delay in seconds before a call has any effect.
    lost_answers : int
        Number of writes that will take effect and get no response.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0

    async def before_call(self) -> bool:
        """Wait for the delay and return whether the call can proceed."""
        if self.delay_s:
            await trio.sleep(self.delay_s)
        return not self.is_down

    async def after_write(self) -> None:
        """Block indefinitely if the response is to be lost."""
        if self.lost_answers > 0:
            self.lost_answers -= 1
            await trio.sleep_forever()
