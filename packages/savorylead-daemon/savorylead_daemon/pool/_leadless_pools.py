"""Pools that certainly run nothing, as they have had no lead for long enough."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from datetime import datetime
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.pools import CellStore

from ._cell_lease import VALID_FOR
from ._keys import lead_key, term_key
from ._pool_fleet import former_lease_timeout

#: Maximum number of pools returned by one call: a transaction of the store takes 32
#: entries.
MAX_POOLS = 5


class _Leadless(NamedTuple):
    """A pool that was found to have no lead."""

    #: Store revision of the number of its last term; a later lead changes it.
    term_revision: int
    since: datetime


class LeadlessPools:
    """Tracks since when pools have had no lead."""

    def __init__(
        self,
        store: CellStore,
        clock: Clock,
        has_lead: Callable[[str], bool],
        max_lease_ms: int,
    ) -> None:
        """``has_lead(pool)`` is taken from the view of the cell, maybe outdated.

        Workers shorten longer leases to ``max_lease_ms`` milliseconds.
        """
        self._store = store
        self._clock = clock
        self._has_lead = has_lead
        #: Time without a lead after which the runs that the last lead started are over.
        #: It may act for a while after the end of its key, and may have leased a worker
        #: that had restarted for the longest time that the worker allows.
        self._leadless_for = VALID_FOR + former_lease_timeout(max_lease_ms)
        self._leadless: dict[str, _Leadless] = {}

    async def idle(self, pools: Iterable[str]) -> dict[str, Mapping[str, int]]:
        """Return those of the pools that run nothing; raises StoreError.

        Each is mapped to the key revisions that a transaction must expect. They ensure
        that no lead has begun meanwhile, and that a later one reads what it wrote.
        """
        idle_pools: dict[str, Mapping[str, int]] = {}
        for pool in pools:
            if self._has_lead(pool):
                self.forget(pool)
                continue
            if pool not in self._leadless:
                await self._check(pool)
            leadless = self._leadless.get(pool)
            if (
                leadless is None
                or self._clock.now() - leadless.since < self._leadless_for
            ):
                continue
            idle_pools[pool] = {
                lead_key(pool): 0,
                term_key(pool): leadless.term_revision,
            }
            if len(idle_pools) >= MAX_POOLS:
                break
        return idle_pools

    def forget(self, pool: str) -> None:
        """Restart the wait for a pool that has or had a lead."""
        self._leadless.pop(pool, None)

    async def _check(self, pool: str) -> None:
        # The term is read first: a lead that begins between the reads changes it.
        term = await self._store.get(term_key(pool))
        if await self._store.get(lead_key(pool)) is None:
            revision = 0 if term is None else term.revision
            self._leadless[pool] = _Leadless(revision, self._clock.now())
