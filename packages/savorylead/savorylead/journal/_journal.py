"""The interface of a shard's journal."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from twisted.internet.defer import Deferred

from ._events import Event
from ._state import ShardState


class JournalError(Exception):
    """Base of the journal's failures."""


class DeposedError(JournalError):
    """Another lead has taken the shard; nothing more can be appended here.

    If ``settled`` is true, the events of the failed append are not durable and
    never will be. Otherwise that is not known: the journal was closed during the
    write, or the log went once around the ring before the reply was read back.
    """

    def __init__(self, shard: str, epoch: int, settled: bool = True) -> None:
        super().__init__(f"epoch {epoch} of shard {shard} is over")
        self.shard = shard
        self.epoch = epoch
        #: Whether it is proved that the events are not durable.
        self.settled = settled


class Journal(ABC):
    """Makes a shard's events durable, in order, for one lead at a time."""

    @abstractmethod
    async def open(self, lead: str) -> ShardState:
        """Take the shard at a new epoch and return its state.

        Once this returns, no append of an earlier epoch can become durable.
        Raises StoreError if the store cannot be used, and DeposedError if another
        lead took the shard meanwhile.
        """

    @abstractmethod
    def append(self, events: Sequence[Event]) -> Deferred[None]:
        """Make events durable; fires once they are, in the order of the calls.

        While the store fails, the append waits and is tried again, since only the
        journal can tell whether a timed-out write took effect. Fails with
        DeposedError. Appends gather while a write is in flight and go out as one.
        """

    @abstractmethod
    async def resign(self) -> None:
        """Append that this lead gives the shard up, after everything pending."""

    @abstractmethod
    def close(self) -> None:
        """Stop without resigning; pending appends fail with DeposedError.

        The write in flight may still take effect: its appends are not settled.
        """

    @property
    @abstractmethod
    def epoch(self) -> int:
        """The epoch of this lead; 0 before ``open`` returned."""

    @property
    @abstractmethod
    def stalled(self) -> bool:
        """Whether the next write has failed at least once, or has no room yet."""
