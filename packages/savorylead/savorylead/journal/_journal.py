"""Interface of a shard's journal."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from twisted.internet.defer import Deferred

from ._events import Event
from ._state import ShardState


class JournalError(Exception):
    """Base class of journal errors."""


class DeposedError(JournalError):
    """Another lead has taken over the shard; appends are no longer possible.

    If ``settled`` is true, the events of the failed append are not durable and never
    will be. Otherwise this is unknown: the journal was closed during the write, or the
    log wrapped around the ring before the result of the write was read back.
    """

    def __init__(self, shard: str, epoch: int, settled: bool = True) -> None:
        super().__init__(f"epoch {epoch} of shard {shard} is over")
        self.shard = shard
        self.epoch = epoch
        #: Whether the events are known not to be durable.
        self.settled = settled


class Journal(ABC):
    """Stores a shard's events durably and in order, for one lead at a time."""

    @abstractmethod
    async def open(self, lead: str) -> ShardState:
        """Take over the shard at a new epoch and return its state.

        Once this returns, no append of an earlier epoch can become durable.
        Raises StoreError if the store is unavailable, and DeposedError if another
        lead took over the shard meanwhile.
        """

    @abstractmethod
    def append(self, events: Sequence[Event]) -> Deferred[None]:
        """Make events durable; fires when they are, in the order of the calls.

        While the store fails, the append is retried, since only the journal can
        determine whether a timed-out write took effect. Fails with DeposedError.
        Appends made while a write is in flight are batched into the next write.
        """

    @abstractmethod
    async def resign(self) -> None:
        """Resign as the lead of the shard after all pending appends."""

    @abstractmethod
    def close(self) -> None:
        """Stop without resigning; pending appends fail with DeposedError.

        The write in flight may still take effect, so ``settled`` is false for its
        appends.
        """

    @property
    @abstractmethod
    def epoch(self) -> int:
        """The epoch of this lead; 0 until ``open`` has returned."""

    @property
    @abstractmethod
    def stalled(self) -> bool:
        """Whether the current write has failed at least once, or the log is full."""
