"""Draws deployments that nobody has looked at, as variants of a site file.

`python -m benchmarks.deployments SITE SEED OUT` reads a site file of the users' bench,
changes by a seed what its customer runs and where (never its names, its bounds or its
prices), and writes another site file. Two versions of the code can then be compared on
what neither was tuned on. It holds no figure of any site: all are drawn around what it
reads.
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
    """Change a site in place, and return it.

    Parameters
    ----------
    site : dict
        As read from a site file.
    """
    _vary_workers(site, random)
    fillers = random.uniform(0.6, 1.2)
    others = random.uniform(0.5, 1.5)
    for kind in site["classes"]:
        _vary_kind(kind, random)
    filling = {
        kind["name"]
        for kind in site["classes"]
        if kind.get("jobs", {}).get("shares", {}).get("fills")
    }
    for table in (site, *site["day"]):
        for traffic in table["traffic"]:
            for name in traffic["mix"]:
                traffic["mix"][name] *= fillers if name in filling else others
    return site


def _vary_workers(site: _Table, random: Random) -> None:
    """Change how many workers there are, how large, and what shares a rack."""
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
    """Change the shape of a kind of job, and how its tasks disturb one another."""
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
    seed: Annotated[int, typer.Argument(help="Draws the same variant each time.")],
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
