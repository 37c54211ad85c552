"""Generates random variants of a site file, for tests on unseen deployments.

`python -m benchmarks.deployments SITE SEED OUT` reads a site file of the users' bench,
varies the customer's jobs and machines by a seed (never its names, bounds or prices),
and writes another site file. This compares two versions of the code on deployments
that neither was tuned on. The module holds no figures of any site: it scales the
values that it reads, or draws shape parameters from fixed ranges.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from random import Random
from typing import Annotated, Any

import tomli_w
import typer

__all__ = ["vary"]

_Table = dict[str, Any]


def vary(site: _Table, random: Random) -> _Table:
    """Vary a site in place and return it.

    Parameters
    ----------
    site : dict
        As read from a site file.
    """
    _vary_workers(site, random)
    filler_factor = random.uniform(0.6, 1.2)
    other_factor = random.uniform(0.5, 1.5)
    for kind in site["classes"]:
        _vary_kind(kind, random)
    filler_names = {
        kind["name"]
        for kind in site["classes"]
        if kind.get("jobs", {}).get("shares", {}).get("fills")
    }
    for table in (site, *site["day"]):
        for traffic in table["traffic"]:
            for name in traffic["mix"]:
                traffic["mix"][name] *= (
                    filler_factor if name in filler_names else other_factor
                )
    return site


def _vary_workers(site: _Table, random: Random) -> None:
    """Vary the number and sizes of workers, and how many share a rack."""
    scale = random.choice([0.75, 1.0, 1.5])
    for machines in site["machines"]:
        if machines["class"] == "side":
            machines["count"] = max(2, round(machines["count"] * scale))
    guards = random.random() < 0.3
    rack = random.choice([2, 3, 5])
    sizes = random.choice([[1.0], [1.0, 2.0], [0.75, 1.0, 1.5]])
    for service in site["services"]:
        service["node"].update(guards=guards, rack=rack, sizes=sizes)


def _vary_kind(kind: _Table, random: Random) -> None:
    """Vary the shape of a kind of job and the interference between its tasks."""
    jobs = kind.get("jobs")
    if jobs is None:
        return
    jobs["est_off"] = random.choice([0.0, 0.4, 0.9])
    jobs["width"]["mean"] *= random.uniform(0.6, 1.5)
    jobs["uneven"] = random.choice([0.1, 0.3, 0.6])
    if jobs.get("lasts"):
        jobs["apart"] = random.choice([0.0, 0.3, 0.7])
        jobs["stay_s"]["mean"] *= random.uniform(0.4, 1.2)
    else:
        jobs["gang"] = random.choice([0.0, 0.0, 0.2])
        jobs["timed"] = random.choice([0.0, 0.0, 0.2])
    shares = jobs.get("shares")
    if shares is None:
        return
    shares["images"] = max(2, round(shares["images"] * random.uniform(0.4, 1.6)))
    if shares.get("fills"):
        shares["heavy"] = random.choice([0.2, 0.5, 0.8])
    else:
        shares["swing"] *= random.uniform(0.2, 1.2)
        shares["swing_s"] *= random.uniform(0.5, 3.0)
        shares["target_x"] *= random.uniform(0.8, 1.3)


def main(
    site: Annotated[Path, typer.Argument(help="The site file to vary.")],
    seed: Annotated[int, typer.Argument(help="The same seed gives the same variant.")],
    out: Annotated[Path, typer.Argument(help="The site file to write.")],
) -> None:
    """Write a variant of a site file."""
    table = tomllib.loads(site.read_text())
    wire = Path(table["wire"])
    varied = vary(table, Random(seed))
    varied["wire"] = str((site.parent / wire).resolve())
    out.write_text(tomli_w.dumps(varied))


if __name__ == "__main__":
    typer.run(main)
