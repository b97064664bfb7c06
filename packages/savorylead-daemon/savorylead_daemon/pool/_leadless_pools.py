"""Which pools surely run nothing, since nobody has led them for long enough."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from datetime import datetime
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.pools import CellStore

from ._cell_lease import LEASE_TTL
from ._keys import lead_key, term_key
from ._pool_fleet import UNREACHED_WAIT

#: What the last lead of a pool started is over by then. Its key may end while it acts
#: under its lease, and what it renews last holds for as long as a new lead waits.
LEADLESS_FOR = LEASE_TTL + UNREACHED_WAIT
#: Most pools that are told at once: a transaction of the store takes 32 entries.
MOST_AT_ONCE = 5


class _Leadless(NamedTuple):
    """A pool that had no lead at one time."""

    #: Store revision of the number of its last term; a later lead changes it.
    term_revision: int
    since: datetime


class LeadlessPools:
    """Remembers since when pools have had no lead."""

    def __init__(
        self, store: CellStore, clock: Clock, has_lead: Callable[[str], bool]
    ) -> None:
        """``has_lead(pool)`` is what the view of the cell shows, which may be old."""
        self._store = store
        self._clock = clock
        self._has_lead = has_lead
        self._leadless: dict[str, _Leadless] = {}

    async def idle(self, pools: Iterable[str]) -> dict[str, Mapping[str, int]]:
        """Return those of the pools that run nothing; raises StoreError.

        Each comes with the revisions of keys that a transaction must expect: with them
        no lead can have begun meanwhile, and one that begins later reads what it wrote.
        """
        found: dict[str, Mapping[str, int]] = {}
        for pool in pools:
            if self._has_lead(pool):
                self.forget(pool)
                continue
            if pool not in self._leadless:
                await self._note(pool)
            seen = self._leadless.get(pool)
            if seen is None or self._clock.now() - seen.since < LEADLESS_FOR:
                continue
            found[pool] = {lead_key(pool): 0, term_key(pool): seen.term_revision}
            if len(found) >= MOST_AT_ONCE:
                break
        return found

    def forget(self, pool: str) -> None:
        """Wait anew for a pool that has or had a lead."""
        self._leadless.pop(pool, None)

    async def _note(self, pool: str) -> None:
        # In this order: a lead that begins between the two reads has another term.
        term = await self._store.get(term_key(pool))
        if await self._store.get(lead_key(pool)) is None:
            revision = 0 if term is None else term.revision
            self._leadless[pool] = _Leadless(revision, self._clock.now())
