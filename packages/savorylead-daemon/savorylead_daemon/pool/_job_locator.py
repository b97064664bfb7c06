"""Finds the records of accepted jobs, whatever pool their route names now."""

from __future__ import annotations

from savorylead.pools import CellStore
from savorylead.store import KeyValue

from ._cell_view import CellView
from ._config_feed import ConfigFeed
from ._job_claims import JobClaim, decode_claim
from ._keys import claim_key, job_key

#: Maximum number of pools whose records a transaction expects to be absent. It has at
#: most 32 entries; five are the expectations of the claim and of the lead's key, and
#: the keys that are written.
MAX_EXPECTED_POOLS = 27


class JobLocator:
    """Reads claims, and the records that daemons of earlier versions did not claim."""

    def __init__(self, store: CellStore, config: ConfigFeed, view: CellView) -> None:
        self._store = store
        self._config = config
        self._view = view

    def pools(self, first: str) -> list[str]:
        """Return the pools that may hold a job, ``first`` first.

        These are the pools of the configurations that were in force here, those that
        have a lead, and those marked in the store as possibly holding jobs.
        """
        return list(
            dict.fromkeys([first, *self._config.pools(), *self._view.all_pools()])
        )

    def is_named(self, pool: str) -> bool:
        """Return whether the configuration names a pool."""
        return pool in self._named_pools()

    def _named_pools(self) -> list[str]:
        document = self._config.document
        return [] if document is None else [p.name for p in document.pools]

    def served_pools(self, first: str) -> list[str]:
        """Return the pools that have or need a lead, ``first`` first."""
        return list(
            dict.fromkeys([first, *self._named_pools(), *self._view.all_pools()])
        )

    def record_keys(self, job_id: str, pool: str) -> list[str]:
        """Return the keys of a job's record in the pools, that of ``pool`` first."""
        pools = self.pools(pool)[:MAX_EXPECTED_POOLS]
        return [job_key(each, job_id) for each in pools]

    async def claim(self, job_id: str) -> JobClaim | None:
        """Return the claim of an id, None if no job was accepted under it.

        Raises StoreError, and RecordError for a claim that can't be decoded.
        """
        key = claim_key(job_id)
        item = await self._store.get(key)
        return None if item is None else decode_claim(key, item.value)

    async def find(self, job_id: str, pool: str) -> KeyValue | None:
        """Return a job's record, None if no such job exists.

        ``pool`` is where it most likely is. An id without a claim has no job, unless a
        daemon of an earlier version stored one, which claimed no ids; so all known
        pools are read then. Raises StoreError and RecordError.
        """
        item = await self._store.get(job_key(pool, job_id))
        if item is not None:
            return item
        claim = await self.claim(job_id)
        if claim is not None:
            return await self._store.get(job_key(claim.pool, job_id))
        for other in self.pools(pool)[1:]:
            item = await self._store.get(job_key(other, job_id))
            if item is not None:
                return item
        return None
