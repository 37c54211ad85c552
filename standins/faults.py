"""Switches that make a stand-in fail on purpose."""

from __future__ import annotations

from dataclasses import dataclass

import trio

__all__ = ["Faults"]


@dataclass(kw_only=True)
class Faults:
    """What goes wrong at the moment.

    Parameters
    ----------
    is_down : bool
        Answer every call with status 503, doing nothing.
    delay_s : float
        Wait this long before doing anything.
    lost_answers : int
        For so many writes: take effect, and then never answer.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0

    async def before_call(self) -> bool:
        """Wait out the delay; return whether the call may go on."""
        if self.delay_s:
            await trio.sleep(self.delay_s)
        return not self.is_down

    async def after_write(self) -> None:
        """Swallow the answer if one is to be lost."""
        if self.lost_answers > 0:
            self.lost_answers -= 1
            await trio.sleep_forever()
