"""Directory of shard leads, read from the shard heads in the store."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType

from savorylead.clock import Clock
from savorylead.journal import HEADS_PREFIX, ShardHead, decode_heads
from savorylead.store import Snapshot, Store, WatchedPrefix, WatchSettings

_DEFAULTS = WatchSettings(poll=timedelta(seconds=1))


class LeadDirectory:
    """Tracks the head of every shard by a watch and by polling.

    ``on_change`` is called with all heads whenever an epoch or a lead has changed.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[Mapping[str, ShardHead]], None],
        settings: WatchSettings = _DEFAULTS,
    ) -> None:
        self._heads: dict[str, ShardHead] = {}
        self._on_change = on_change
        self._watched = WatchedPrefix(
            store, HEADS_PREFIX, clock, rng, self._apply_snapshot, settings
        )

    @property
    def heads(self) -> Mapping[str, ShardHead]:
        """The newest head of each shard that has ever had a lead, by shard."""
        return MappingProxyType(self._heads)

    def leads(self) -> dict[str, str]:
        """Return the name of each shard's lead; empty after it resigned."""
        return {shard: head.lead for shard, head in self._heads.items()}

    def age(self) -> timedelta | None:
        """Return the time since the heads were last confirmed; None before that."""
        return self._watched.age()

    def start(self) -> None:
        """Start watching and polling the heads."""
        self._watched.start()

    def stop(self) -> None:
        """Stop watching and polling."""
        self._watched.stop()

    def read_soon(self) -> None:
        """Request another read, for example after a call to a former lead."""
        self._watched.read_soon()

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        before = self._heads
        self._heads = decode_heads(snapshot)
        if _leaders(before) != _leaders(self._heads):
            self._on_change(self.heads)


def _leaders(heads: Mapping[str, ShardHead]) -> dict[str, tuple[int, str]]:
    return {shard: (head.epoch, head.lead) for shard, head in heads.items()}
