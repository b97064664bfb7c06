"""Cuts between daemons, the store and workers that overlap and heal on their own."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from savorylead_standins.pools import PoolCell


class Cut(NamedTuple):
    """What can't reach each other."""

    peers: frozenset[frozenset[str]] = frozenset()
    #: Nodes that are partitioned from the store, and nodes that it refuses.
    silent_stores: frozenset[str] = frozenset()
    refusing_stores: frozenset[str] = frozenset()
    #: Nodes and addresses of workers.
    workers: frozenset[tuple[str, str]] = frozenset()


class Cuts:
    """The cuts of a cell; one that heals leaves the others as they are."""

    def __init__(self, cell: PoolCell) -> None:
        self._cell = cell
        self._now: list[Cut] = []
        #: What was done and when, in seconds, to tell a failed cell's story.
        self.story: list[str] = []
        self._began_at = cell.clock.now()

    def note(self, text: str) -> None:
        """Add an event to the story."""
        at = (self._cell.clock.now() - self._began_at).total_seconds()
        self.story.append(f"{at:.2f} {text}")

    def begin(self, cut: Cut, seconds: float) -> None:
        """Begin a cut that heals after some seconds."""
        self.note(f"for {seconds:.2f} s: {cut}")
        self._now.append(cut)
        self._apply()
        self._cell.clock.call_later(timedelta(seconds=seconds), self._heal, cut)

    def _heal(self, cut: Cut) -> None:
        self._now.remove(cut)
        self._apply()

    def _apply(self) -> None:
        cell = self._cell
        cell.cut_pairs = {pair for cut in self._now for pair in cut.peers}
        cell.cut_from_workers = {path for cut in self._now for path in cut.workers}
        for name, view in cell.views.items():
            view.is_cut = any(name in cut.silent_stores for cut in self._now)
            view.is_refused = any(name in cut.refusing_stores for cut in self._now)


def from_peers(node: str, peers: list[str]) -> Cut:
    return Cut(peers=frozenset(frozenset({node, peer}) for peer in peers))


def from_workers(nodes: list[str], addresses: list[str]) -> Cut:
    return Cut(workers=frozenset((n, address) for n in nodes for address in addresses))
