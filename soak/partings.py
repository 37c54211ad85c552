"""Which programs of a site do not reach which others."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from soak.parted import write_partings
from soak.plan import Fault
from soak.site import ENTRIES, WORKERS, Site
from standins.connections import Parting

__all__ = ["Partings"]

_PROGRAMS = (*ENTRIES, *WORKERS)
_STORE = "store"
# How many of the others a program is parted from.
_SHARE = 0.6


@dataclass(kw_only=True)
class Partings:
    """Parts programs that live from one another and from the store.

    Overlapping faults keep up what they have in common.
    """

    site: Site
    _count_by_pair: Counter[tuple[str, str, Parting]] = field(default_factory=Counter)

    def begin(self, fault: Fault) -> list[tuple[str, str, Parting]]:
        """Part the target of a fault from others, and return the pairs."""
        random = Random(str(fault))
        parting = random.choice(list(Parting))
        others = [name for name in (*_PROGRAMS, _STORE) if name != fault.target]
        pairs = []
        for other in others:
            if random.random() < _SHARE:
                pairs.append((fault.target, other, parting))
                pairs.append((other, fault.target, parting))
        self._count_by_pair.update(pairs)
        self._write()
        return pairs

    def end(self, pairs: list[tuple[str, str, Parting]]) -> None:
        """End what one fault has parted."""
        self._count_by_pair.subtract(pairs)
        self._write()

    def heal(self) -> None:
        """Let all programs reach one another."""
        self._count_by_pair.clear()
        self._write()

    def _write(self) -> None:
        for name in _PROGRAMS:
            parting_by_address = {
                self._address(name, other): parting
                for (sender, other, parting), count in self._count_by_pair.items()
                if sender == name and count > 0
            }
            write_partings(self.site.partings_file(name), parting_by_address)

    def _address(self, sender: str, other: str) -> str:
        if other == _STORE:
            return str(self.site.store_address(sender))
        return self.site.address(other, 0).host
