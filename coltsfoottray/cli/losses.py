"""The command that reads logs: `losses`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from coltsfoottray.cli.common import fail
from coltsfoottray.explain.history import History
from coltsfoottray.explain.logfiles import LogLines, read_lines
from coltsfoottray.explain.losses import WINDOW, JobLosses, Losses, Part, find_losses

__all__ = ["losses"]

_WORST_JOBS = 5
# Beyond it the logs tell too little for the rest to be trusted.
_MOST_UNKNOWN = 0.1


def losses(
    logs: Annotated[list[Path], typer.Option(help="Log files, of any processes.")],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
    plot: Annotated[
        Path | None,
        typer.Option(help="Draw it too, as SVG; needs the extra 'plot'."),
    ] = None,
) -> None:
    """Show where the time of jobs went between acceptance and end."""
    for path in logs:
        if not path.is_file():
            fail(f"--logs: got {str(path)!r}, expected a log file", code=2)
    read = read_lines(logs)
    found = find_losses(History(read.lines))
    if not found.jobs:
        fail("no line of these files tells of a job that was accepted")
    if plot is not None:
        _draw(found, plot)
    if as_json:
        typer.echo(msgspec.json.encode(_as_object(found, read)).decode())
        return
    for text in _as_text(found, read):
        typer.echo(text)


def _draw(found: Losses, path: Path) -> None:
    if path.suffix != ".svg":
        fail(f"--plot: got {str(path)!r}, expected a name that ends in .svg", code=2)
    try:
        from coltsfoottray.explain.plot import draw_losses
    except ImportError:
        fail("--plot needs a library: pip install 'coltsfoottray[plot]'")
    draw_losses(found, path)


def _as_text(found: Losses, read: LogLines) -> list[str]:
    parts = [
        part for part in Part if any(part in job.seconds_by_part for job in found.jobs)
    ]
    texts = [f"{len(read.lines)} lines, {read.skipped} skipped, {read.dropped} dropped"]
    for queue in sorted({job.queue for job in found.jobs}):
        jobs = [job for job in found.jobs if job.queue == queue]
        texts += ["", f"{queue}: {len(jobs)} jobs", *_shares(jobs, parts), ""]
        texts += _windows(found, queue, parts)
        texts += ["", "lost most:"]
        worst = sorted(jobs, key=lambda job: -job.lost_s)[:_WORST_JOBS]
        texts += [
            f"  {job.id}  {job.lost_s:.1f} of {job.total_s:.1f} s" for job in worst
        ]
    unknown = unknown_share(found)
    texts += ["", f"not told by these logs: {unknown:.1%} of the time"]
    if unknown > _MOST_UNKNOWN:
        texts.append("that is too much to trust the rest: are files missing?")
    return texts


def _shares(jobs: list[JobLosses], parts: list[Part]) -> list[str]:
    total = sum(job.total_s for job in jobs) or 1.0
    texts = []
    for part in parts:
        seconds = sum(job.seconds_by_part.get(part, 0.0) for job in jobs)
        texts.append(f"  {part.value:<11}{seconds:10.1f} s{seconds / total:8.1%}")
    return texts


def _windows(found: Losses, queue: str, parts: list[Part]) -> list[str]:
    heads = "".join(f"{part.value:>11}" for part in parts)
    texts = [f"{'second':>8}{heads}"]
    for (name, number), seconds in sorted(found.seconds_by_window.items()):
        if name == queue:
            cells = "".join(f"{seconds.get(part, 0.0):11.1f}" for part in parts)
            texts.append(f"{number * WINDOW.total_seconds():8.0f}{cells}")
    return texts


def unknown_share(found: Losses) -> float:
    """Return the part of all jobs' time that no line tells of."""
    total = sum(job.total_s for job in found.jobs) or 1.0
    return sum(job.seconds_by_part.get(Part.UNKNOWN, 0.0) for job in found.jobs) / total


def _as_object(found: Losses, read: LogLines) -> dict[str, Any]:
    return {
        "lines": len(read.lines),
        "skipped": read.skipped,
        "dropped": read.dropped,
        "unknown_share": unknown_share(found),
        "jobs": [
            {
                "id": job.id,
                "queue": job.queue,
                "total_s": job.total_s,
                "seconds_by_part": _by_name(job.seconds_by_part),
            }
            for job in found.jobs
        ],
        "windows": [
            {
                "queue": queue,
                "second": number * WINDOW.total_seconds(),
                "seconds_by_part": _by_name(seconds),
            }
            for (queue, number), seconds in sorted(found.seconds_by_window.items())
        ],
    }


def _by_name(seconds: dict[Part, float]) -> dict[str, float]:
    return {part.value: value for part, value in seconds.items()}
