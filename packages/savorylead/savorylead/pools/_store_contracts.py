"""What a pool needs of the store: transactions over several keys, and leases."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from savorylead.store import KeyValue, Snapshot, StoreError


class Put(NamedTuple):
    """One key to write."""

    key: str
    value: bytes
    #: The lease that the key ends with; empty for none.
    lease_id: str = ""


@dataclass(frozen=True)
class Committed:
    """Every change of a transaction took effect."""

    revision: int


@dataclass(frozen=True)
class Conflict:
    """A transaction did nothing, since an expected revision did not hold."""

    #: The expected keys as they are now; None for one that does not exist.
    current: Mapping[str, KeyValue | None]


class StoreRefusedError(StoreError):
    """The store refused the call and did nothing."""


class HistoryLostError(StoreError):
    """The changes since the revision asked for are not kept any more."""


class Change(NamedTuple):
    """One change of a key."""

    key: str
    #: None if the key was deleted.
    value: bytes | None
    revision: int


class Changes(NamedTuple):
    """What changed below a prefix."""

    events: tuple[Change, ...]
    #: Where to continue from.
    revision: int


class StorePage(NamedTuple):
    """Some of the keys below a prefix, in their order."""

    items: tuple[KeyValue, ...]
    #: The store's revision; the pages of one listing are not a snapshot.
    revision: int
    #: Whether more keys follow the last of these.
    has_more: bool


class LeaseGrant(NamedTuple):
    """A lease of the store."""

    id: str
    #: How long it lasts after each renewal.
    ttl: timedelta


async def read_pages(
    read_page: Callable[[str, str], Awaitable[StorePage]], prefix: str
) -> Snapshot:
    """Return all keys below ``prefix`` by ``read_page(prefix, after)``.

    The revision is the one of the first page. Raises what ``read_page`` does.
    """
    pages = [await read_page(prefix, "")]
    while pages[-1].has_more:
        pages.append(await read_page(prefix, pages[-1].items[-1].key))
    items = tuple(item for page in pages for item in page.items)
    return Snapshot(items, pages[0].revision)


class CellStore(ABC):
    """The platform's store, with transactions over several keys.

    Methods raise StoreRefusedError if nothing was done, and another StoreError if
    that is not known: a write may then have taken effect or may do so later, if
    what it expects still holds.
    """

    @abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it does not exist."""

    @abstractmethod
    async def page(self, prefix: str, after: str = "") -> StorePage:
        """Return the first keys below ``prefix`` that come after the key ``after``."""

    async def list(self, prefix: str) -> Snapshot:
        """Return all keys below ``prefix``, and the lowest revision of the pages."""
        return await read_pages(self.page, prefix)

    @abstractmethod
    async def changes(
        self, prefix: str, after_revision: int, wait: timedelta
    ) -> Changes:
        """Return changes since a revision, waiting up to ``wait`` for the first.

        Raises HistoryLostError.
        """

    @abstractmethod
    async def commit(
        self,
        expected: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        """Make all changes if every key of ``expected`` has its revision; else none.

        A revision of 0 expects that the key does not exist.
        """

    @abstractmethod
    async def grant_lease(self, ttl: timedelta) -> LeaseGrant:
        """Return a new lease that lasts at least ``ttl``."""

    @abstractmethod
    async def renew_lease(self, lease_id: str) -> None:
        """Extend the lease by its ttl; raises StoreLeaseLostError if it ended."""

    @abstractmethod
    async def end_lease(self, lease_id: str) -> None:
        """End the lease and delete its keys."""
