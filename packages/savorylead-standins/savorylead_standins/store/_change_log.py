"""What was written lately, for watches that go on from a revision."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from twisted.internet.defer import Deferred

#: Writes remembered; a watch that is further behind is told to read all again.
_CAPACITY = 10_000


class Changes(NamedTuple):
    """Keys below one prefix that changed."""

    #: The store's revision now.
    revision: int
    #: Each key once; the prefix itself if it is no longer known which.
    keys: tuple[str, ...]


class _Waiter(NamedTuple):
    prefix: str
    woken: Deferred[None]


class ChangeLog:
    """Remembers the latest writes and wakes whoever waits for the next one."""

    def __init__(self) -> None:
        self.revision = 0
        self._entries: deque[tuple[int, str]] = deque(maxlen=_CAPACITY)
        self._waiters: list[_Waiter] = []

    def note(self, revision: int, key: str) -> None:
        """Remember a write or a deletion."""
        self.revision = revision
        self._entries.append((revision, key))
        self._wake(key)

    def since(self, prefix: str, revision: int) -> Changes:
        """Return what changed below ``prefix`` after ``revision``."""
        oldest = self._entries[0][0] if self._entries else self.revision + 1
        if revision > self.revision or revision < oldest - 1:
            return Changes(self.revision, (prefix,))
        keys: dict[str, None] = {}
        for changed_at, key in reversed(self._entries):
            if changed_at <= revision:
                break
            if key.startswith(prefix):
                keys[key] = None
        return Changes(self.revision, tuple(reversed(keys)))

    def next_change(self, prefix: str) -> Deferred[None]:
        """Return a Deferred that fires at the next write below ``prefix``."""
        woken: Deferred[None] = Deferred()
        waiter = _Waiter(prefix, woken)
        self._waiters.append(waiter)
        woken.addBoth(self._forget, waiter)
        return woken

    def wake_all(self) -> None:
        """Wake everybody, so that they see that the store's state changed."""
        for waiter in list(self._waiters):
            waiter.woken.callback(None)

    def _wake(self, key: str) -> None:
        for waiter in list(self._waiters):
            if key.startswith(waiter.prefix):
                waiter.woken.callback(None)

    def _forget(self, result: object, waiter: _Waiter) -> object:
        self._waiters.remove(waiter)
        return result
