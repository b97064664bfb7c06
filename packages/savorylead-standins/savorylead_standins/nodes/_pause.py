"""A process that is paused: its timers and its replies wait until it goes on."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer
from savorylead.store import KeyValue, Snapshot, Store, SwapConflict, Swapped, Watch

T = TypeVar("T")


class Pause:
    """Says whether one process runs, and keeps what it must do once it goes on."""

    def __init__(self) -> None:
        self.paused = False
        self._waiting: list[Callable[[], None]] = []

    def begin(self) -> None:
        """Stop the process; calls that it has sent go on without it."""
        self.paused = True

    def end(self) -> None:
        """Let the process go on, with what waited in the order of its arrival."""
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for func in waiting:
            self.run(func)

    def run(self, func: Callable[[], None]) -> None:
        """Call ``func`` now, or once the process goes on."""
        if self.paused:
            self._waiting.append(func)
        else:
            func()


class _PausableTimer(Timer):
    """A timer that may have fired during a pause and still be cancelled."""

    def __init__(self) -> None:
        self.cancelled = False
        self.timer: Timer | None = None

    def cancel(self) -> None:
        self.cancelled = True
        if self.timer is not None:
            self.timer.cancel()


class PausableClock(Clock):
    """The clock of one process. Its time goes on during a pause."""

    def __init__(self, clock: Clock, pause: Pause) -> None:
        self._clock = clock
        self._pause = pause

    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""
        return self._clock.now()

    def call_later(
        self, delay: timedelta, func: Callable[..., Any], *args: Any
    ) -> Timer:
        """Call ``func(*args)`` after ``delay``, or after the pause."""
        timer = _PausableTimer()

        def fire() -> None:
            if not timer.cancelled:
                func(*args)

        timer.timer = self._clock.call_later(delay, self._pause.run, fire)
        return timer


class PausableStore(Store):
    """The store as a process reaches it that may be paused.

    A call that was sent before the pause takes effect; its reply waits.
    """

    def __init__(self, store: Store, pause: Pause) -> None:
        self._store = store
        self._pause = pause

    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it does not exist."""
        return await self._reply(self._store.get(key))

    async def list(self, prefix: str) -> Snapshot:
        """Return all keys that start with ``prefix``."""
        return await self._reply(self._store.list(prefix))

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> Swapped | SwapConflict:
        """Write ``value`` if the key's revision is ``expected_revision``."""
        return await self._reply(
            self._store.swap(key, value, expected_revision, lease_id)
        )

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""
        return await self._reply(self._store.grant_lease(ttl))

    async def renew_lease(self, lease_id: str) -> None:
        """Extend the lease by its ttl."""
        await self._reply(self._store.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        """End the lease and delete the keys bound to it."""
        await self._reply(self._store.revoke_lease(lease_id))

    def watch(self, prefix: str, on_change: Callable[[str], None]) -> Watch:
        """Call ``on_change(key)`` after changes below ``prefix``."""

        def changed(key: str) -> None:
            self._pause.run(lambda: on_change(key))

        return self._store.watch(prefix, changed)

    async def _reply(self, call: Coroutine[Any, Any, T]) -> T:
        try:
            return await call
        finally:
            if self._pause.paused:
                resumed: Deferred[None] = Deferred()
                self._pause.run(lambda: resumed.callback(None))
                await resumed
