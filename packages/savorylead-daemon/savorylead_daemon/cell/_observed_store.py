"""Counts the calls and failures of the store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from savorylead.store import (
    KeyValue,
    Snapshot,
    Store,
    StoreError,
    SwapConflict,
    Swapped,
    Watch,
)

T = TypeVar("T")


class ObservedStore(Store):
    """Forwards every call to another store and counts it."""

    def __init__(self, inner: Store) -> None:
        #: Calls by method; a watch counts as one call.
        self.calls: Counter[str] = Counter()
        #: Failed calls by the error's type.
        self.failures: Counter[str] = Counter()
        self._inner = inner

    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it does not exist."""
        return await self._observe("get", self._inner.get(key))

    async def list(self, prefix: str) -> Snapshot:
        """Return all keys that start with ``prefix``."""
        return await self._observe("list", self._inner.list(prefix))

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> Swapped | SwapConflict:
        """Write ``value`` if the key's revision is ``expected_revision``."""
        call = self._inner.swap(key, value, expected_revision, lease_id)
        return await self._observe("swap", call)

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""
        return await self._observe("grant_lease", self._inner.grant_lease(ttl))

    async def renew_lease(self, lease_id: str) -> None:
        """Extend the lease by its ttl."""
        await self._observe("renew_lease", self._inner.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        """End the lease and delete the keys bound to it."""
        await self._observe("revoke_lease", self._inner.revoke_lease(lease_id))

    def watch(self, prefix: str, on_change: Callable[[str], None]) -> Watch:
        """Call ``on_change(key)`` after changes below ``prefix``."""
        self.calls["watch"] += 1
        return self._inner.watch(prefix, on_change)

    async def _observe(self, method: str, call: Awaitable[T]) -> T:
        self.calls[method] += 1
        try:
            return await call
        except StoreError as exc:
            self.failures[type(exc).__name__] += 1
            raise
