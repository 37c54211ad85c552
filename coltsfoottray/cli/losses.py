"""The `losses` command, which attributes jobs' time by their logs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from coltsfoottray.cli.common import expect_log_files, fail
from coltsfoottray.explain.history import History
from coltsfoottray.explain.logfiles import LogLines, read_lines
from coltsfoottray.explain.losses import WINDOW, JobLosses, Losses, Part, find_losses

__all__ = ["losses"]

_MAX_LISTED_JOBS = 5
_MAX_SHOWN_CHARACTERS = 80
# With a larger share of unknown time the rest of the report is not reliable.
_MAX_UNKNOWN_SHARE = 0.1


def losses(
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files of any processes.")
    ] = None,
    logs: Annotated[
        list[Path] | None, typer.Option(help="A log file; may be repeated.")
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
    plot: Annotated[
        Path | None,
        typer.Option(help="Write a plot to this SVG file; needs the extra 'plot'."),
    ] = None,
) -> None:
    """Show what jobs spent their time on between acceptance and end."""
    paths = expect_log_files(files, logs)
    if not paths:
        fail("FILES: got none, expected one or more log files", code=2)
    log = read_lines(paths)
    result = find_losses(History(log.lines))
    if not result.jobs:
        fail(_explain_no_job(log))
    if plot is not None:
        _draw(result, plot)
    if as_json:
        typer.echo(msgspec.json.encode(_to_json_object(result, log)).decode())
        return
    for text in _format_text(result, log):
        typer.echo(text)


def _explain_no_job(log: LogLines) -> str:
    text = f"no job was accepted according to these log files: {len(log.lines)} lines"
    if log.skipped:
        shown = log.first_skipped[:_MAX_SHOWN_CHARACTERS]
        text += f", and {log.skipped} that are not log lines, the first one {shown!r}"
    return text


def _draw(result: Losses, path: Path) -> None:
    if path.suffix != ".svg":
        fail(f"--plot: got {str(path)!r}, expected a name that ends in .svg", code=2)
    try:
        from coltsfoottray.explain.plot import draw_losses
    except ImportError:
        fail("--plot needs matplotlib: pip install 'coltsfoottray[plot]'")
    draw_losses(result, path)


def _format_text(result: Losses, log: LogLines) -> list[str]:
    parts = [
        part for part in Part if any(part in job.seconds_by_part for job in result.jobs)
    ]
    texts = [f"{len(log.lines)} lines, {log.skipped} skipped, {log.dropped} dropped"]
    for queue in sorted({job.queue for job in result.jobs}):
        jobs = [job for job in result.jobs if job.queue == queue]
        texts += ["", f"{queue}: {len(jobs)} jobs", *_format_parts(jobs, parts), ""]
        texts += _format_windows(result, queue, parts)
        texts += ["", "lost most:"]
        worst = sorted(jobs, key=lambda job: -job.lost_s)[:_MAX_LISTED_JOBS]
        texts += [
            f"  {job.id}  {job.lost_s:.1f} of {job.total_s:.1f} s" for job in worst
        ]
    unknown = unknown_share(result)
    texts += ["", f"not told by these logs: {unknown:.1%} of the time"]
    if unknown > _MAX_UNKNOWN_SHARE:
        texts.append("that is too much to trust the rest: are files missing?")
    return texts


def _format_parts(jobs: list[JobLosses], parts: list[Part]) -> list[str]:
    total = sum(job.total_s for job in jobs) or 1.0
    texts = []
    for part in parts:
        seconds = sum(job.seconds_by_part.get(part, 0.0) for job in jobs)
        texts.append(f"  {part.value:<11}{seconds:10.1f} s{seconds / total:8.1%}")
    return texts


def _format_windows(result: Losses, queue: str, parts: list[Part]) -> list[str]:
    header = "".join(f"{part.value:>11}" for part in parts)
    texts = [f"{'second':>8}{header}"]
    for (name, number), seconds in sorted(result.seconds_by_window.items()):
        if name == queue:
            cells = "".join(f"{seconds.get(part, 0.0):11.1f}" for part in parts)
            texts.append(f"{number * WINDOW.total_seconds():8.0f}{cells}")
    return texts


def unknown_share(result: Losses) -> float:
    """Return the share of all jobs' time that no log line accounts for, 0 to 1."""
    total = sum(job.total_s for job in result.jobs) or 1.0
    return (
        sum(job.seconds_by_part.get(Part.UNKNOWN, 0.0) for job in result.jobs) / total
    )


def _to_json_object(result: Losses, log: LogLines) -> dict[str, Any]:
    return {
        "lines": len(log.lines),
        "skipped": log.skipped,
        "dropped": log.dropped,
        "unknown_share": unknown_share(result),
        "jobs": [
            {
                "id": job.id,
                "queue": job.queue,
                "total_s": job.total_s,
                "seconds_by_part": _to_seconds_by_name(job.seconds_by_part),
            }
            for job in result.jobs
        ],
        "windows": [
            {
                "queue": queue,
                "second": number * WINDOW.total_seconds(),
                "seconds_by_part": _to_seconds_by_name(seconds),
            }
            for (queue, number), seconds in sorted(result.seconds_by_window.items())
        ],
    }


def _to_seconds_by_name(seconds: dict[Part, float]) -> dict[str, float]:
    return {part.value: value for part, value in seconds.items()}
