"""The interface to the platform's key-value service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple


class KeyValue(NamedTuple):
    """A key of the store with its value and revision."""

    #: The full key, with "/" between its parts.
    key: str
    #: At most MAX_VALUE_BYTES long.
    value: bytes
    #: The store-wide revision of the last write to this key; 0 is never used.
    revision: int


class Snapshot(NamedTuple):
    """Every key below one prefix, read at one revision."""

    #: Sorted by key.
    items: tuple[KeyValue, ...]
    #: The store-wide revision at which the items were read.
    revision: int


@dataclass(frozen=True)
class Swapped:
    """A compare-and-swap took effect."""

    #: The key's new revision.
    revision: int


@dataclass(frozen=True)
class SwapConflict:
    """A compare-and-swap was refused because the key had another revision."""

    #: The key as it is now, or None if it does not exist.
    current: KeyValue | None


class StoreError(Exception):
    """Base class of the store's errors.

    None of the errors in this module proves that a write had no effect: the reply may
    be lost after the write took effect, and a write may take effect late.
    """


class StoreTimeoutError(StoreError):
    """The store did not reply within the deadline."""


class StoreUnavailableError(StoreError):
    """The store refused the call or could not be reached."""


class StoreLeaseLostError(StoreError):
    """The lease named in the call has lapsed or was revoked."""


class Watch(ABC):
    """An active watch. It may fall silent without an error, so callers also poll."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop the callbacks."""


#: Expected revision of a key that must not exist yet.
ABSENT = 0
#: Size limit of a value.
MAX_VALUE_BYTES = 1_000_000


class Store(ABC):
    """The platform's key-value service: compare-and-swap, leases and watches.

    Every method may raise StoreError.
    """

    @abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it does not exist."""

    @abstractmethod
    async def list(self, prefix: str) -> Snapshot:
        """Return all keys that start with ``prefix``."""

    @abstractmethod
    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> Swapped | SwapConflict:
        """Write ``value`` if the key's revision is ``expected_revision``.

        ABSENT expects that the key does not exist. A ``value`` of None deletes
        the key. A key bound to a lease is deleted when the lease ends.
        """

    @abstractmethod
    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""

    @abstractmethod
    async def renew_lease(self, lease_id: str) -> None:
        """Extend the lease by its ttl; raises StoreLeaseLostError if it ended."""

    @abstractmethod
    async def revoke_lease(self, lease_id: str) -> None:
        """End the lease and delete the keys bound to it."""

    @abstractmethod
    def watch(self, prefix: str, on_change: Callable[[str], None]) -> Watch:
        """Call ``on_change(key)`` after writes and deletions below ``prefix``.

        Calls may be delayed, merged or lost; they are only hints to read again.
        """
