"""Plot of jobs' time by part: a panel for each queue, with the parts stacked."""

from __future__ import annotations

from pathlib import Path

from matplotlib import colormaps
from matplotlib.figure import Figure

from coltsfoottray.explain.losses import WINDOW, Losses, Part

__all__ = ["draw_losses"]

_WIDTH_IN = 10.0
_PANEL_HEIGHT_IN = 3.0
# A part has the same color in all panels.
_COLOR_BY_PART = {part: colormaps["tab20"](number) for number, part in enumerate(Part)}


def draw_losses(losses: Losses, path: Path) -> None:
    """Write the plot to `path`, in the format that its suffix names."""
    queues = sorted({queue for queue, _ in losses.seconds_by_window})
    figure = Figure(
        figsize=(_WIDTH_IN, _PANEL_HEIGHT_IN * len(queues)), layout="constrained"
    )
    panels = figure.subplots(len(queues), 1, squeeze=False)[:, 0]
    for queue, panel in zip(queues, panels, strict=True):
        numbers = [n for name, n in losses.seconds_by_window if name == queue]
        window_numbers = range(min(numbers), max(numbers) + 1)
        windows = [losses.seconds_by_window.get((queue, n), {}) for n in window_numbers]
        parts = [part for part in Part if any(part in window for window in windows)]
        panel.stackplot(
            [number * WINDOW.total_seconds() for number in window_numbers],
            [[window.get(part, 0.0) for window in windows] for part in parts],
            labels=[part.value for part in parts],
            colors=[_COLOR_BY_PART[part] for part in parts],
        )
        panel.set_title(queue)
        panel.set_xlabel("seconds since the first log line")
        panel.set_ylabel("job seconds in 2 s")
        panel.legend(loc="upper left", fontsize="x-small", ncols=3)
    figure.savefig(path)
