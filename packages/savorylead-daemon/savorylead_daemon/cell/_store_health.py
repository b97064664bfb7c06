"""The store with its calls counted and its failures remembered."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from typing import TypeVar

from savorylead.clock import Clock
from savorylead.store import (
    KeyValue,
    Snapshot,
    Store,
    StoreError,
    StoreLeaseLostError,
    SwapConflict,
    Swapped,
    Watch,
)

T = TypeVar("T")


class ObservedStore(Store):
    """Passes every call on; knows since when the store has failed."""

    def __init__(self, inner: Store, clock: Clock) -> None:
        #: Calls by method, a waiting watch counting as one.
        self.calls: Counter[str] = Counter()
        #: Failed calls by the error's type.
        self.failures: Counter[str] = Counter()
        self._inner = inner
        self._clock = clock
        self._failing_since: datetime | None = None

    def is_down(self, for_at_least: timedelta) -> bool:
        """Return whether every call has failed for that long."""
        if self._failing_since is None:
            return False
        return self._clock.now() - self._failing_since >= for_at_least

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
            result = await call
        except StoreLeaseLostError:
            # The store has answered, so it is not down.
            self._failing_since = None
            raise
        except StoreError as exc:
            self.failures[type(exc).__name__] += 1
            if self._failing_since is None:
                self._failing_since = self._clock.now()
            raise
        self._failing_since = None
        return result
