"""Watches keys of the store by long polling."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec
from absl import logging
from twisted.internet.defer import CancelledError, Deferred

from savorylead.clock import Clock
from savorylead.links import DecorrelatedJitterBackoff, Link, LinkError, LinkRequest
from savorylead.store import Watch

from .store_wire import WatchReply

_OK = 200
_ONE_MILLISECOND = timedelta(milliseconds=1)
#: Makes the watch begin at the revision at which its first poll arrives.
_FROM_NOW = -1


class WatchSettings(NamedTuple):
    """Intervals and timeouts of a watch."""

    #: The store answers a poll after this long even if nothing changed.
    wait: timedelta = timedelta(seconds=10)
    #: A poll times out when its reply is overdue by this much.
    grace: timedelta = timedelta(seconds=1)
    #: Shortest time between two polls; merges changes that follow closely.
    min_interval: timedelta = timedelta(milliseconds=100)
    #: Shortest and longest delay after a failure.
    backoff_base: timedelta = timedelta(milliseconds=100)
    backoff_cap: timedelta = timedelta(seconds=1)


class PollingWatch(Watch):
    """Polls the store for changes since the last reply.

    A connection that has stopped responding is detected after ``wait`` plus
    ``grace``. The next poll continues from the same revision, so it returns the
    changes made meanwhile.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        link: Link,
        prefix: str,
        on_change: Callable[[str], None],
        settings: WatchSettings = WatchSettings(),  # noqa: B008 - immutable.
    ) -> None:
        self._clock = clock
        self._link = link
        self._prefix = prefix
        self._on_change = on_change
        self._settings = settings
        self._backoff = DecorrelatedJitterBackoff(
            rng, settings.backoff_base, settings.backoff_cap
        )
        self._after = _FROM_NOW
        self._failed = False
        self._cancelled = False
        self._last_reply_at = clock.now()
        self._notifying = False
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(lambda failure: failure.trap(CancelledError))

    def cancel(self) -> None:
        """Stop calling ``on_change`` and cancel the pending poll."""
        self._cancelled = True
        if not self._notifying:
            self._running.cancel()

    def silent_for(self) -> timedelta:
        """Return the time since the last reply to a poll."""
        return self._clock.now() - self._last_reply_at

    async def _run(self) -> None:
        while not self._cancelled:
            started_at = self._clock.now()
            reply = await self._poll()
            if reply is None:
                self._failed = True
                await self._clock.sleep(self._backoff.next_delay())
                continue
            self._process_reply(reply)
            remaining = started_at + self._settings.min_interval - self._clock.now()
            if remaining > timedelta(0) and not self._cancelled:
                await self._clock.sleep(remaining)

    async def _poll(self) -> WatchReply | None:
        query = {
            "prefix": self._prefix,
            "after": self._after,
            "wait_ms": self._settings.wait // _ONE_MILLISECOND,
        }
        # The watch schedules its own retries, so the link must not retry.
        request = LinkRequest("GET", f"/watch?{urlencode(query)}")
        timeout = self._settings.wait + self._settings.grace
        try:
            reply = await self._link.call(request, timeout)
        except LinkError:
            return None
        if reply.status != _OK:
            return None
        try:
            return msgspec.json.decode(reply.body, type=WatchReply)
        except msgspec.DecodeError:
            return None

    def _process_reply(self, reply: WatchReply) -> None:
        missed_changes = self._failed and self._after == _FROM_NOW
        self._last_reply_at = self._clock.now()
        self._backoff.reset()
        self._failed = False
        self._after = reply.revision
        if missed_changes:
            # The changes made while the first polls failed are unknown.
            self._notify(self._prefix)
        for key in reply.keys:
            self._notify(key)

    def _notify(self, key: str) -> None:
        if self._cancelled:
            return
        self._notifying = True
        try:
            self._on_change(key)
        except Exception:
            logging.exception("Callback of the watch on %s failed", self._prefix)
        finally:
            self._notifying = False
