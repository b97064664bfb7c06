"""Connection pool of one link."""

from __future__ import annotations

from collections import Counter, deque
from datetime import datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred

from savorylead.clock import Clock

from ._backoff import Backoff
from ._counts import LinkCount
from ._deadline import Deadline, DeadlineExceededError, within
from ._errors import (
    LinkClosedError,
    LinkError,
    LinkOverloadedError,
    LinkTimeoutError,
    LinkUnavailableError,
)
from ._link import Connection, Transport
from ._settings import LinkSettings


class _IdleConnection(NamedTuple):
    """An idle connection."""

    conn: Connection
    last_reply_at: datetime


class ConnectionPool:
    """Lends each connection to one caller at a time, most recently used first.

    After a failed connection attempt, all callers wait for the same jittered delay, so
    the rate of attempts does not grow with the number of callers.
    """

    def __init__(
        self,
        clock: Clock,
        transport: Transport,
        backoff: Backoff,
        settings: LinkSettings,
        counts: Counter[LinkCount],
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._backoff = backoff
        self._settings = settings
        self._counts = counts
        self._idle: list[_IdleConnection] = []
        self._busy: set[Connection] = set()
        self._connecting: set[Deferred[Connection]] = set()
        self._slots_used = 0
        self._waiting: deque[Deferred[None]] = deque()
        self._connect_not_before = clock.now()
        self._closed = False
        self._resuming = False

    async def acquire(self, deadline: Deadline) -> Connection:
        """Return a connection for one caller; raises LinkError with sent False."""
        self._raise_if_closed()
        idle = self.take_idle()
        if idle is not None:
            return idle
        if self._slots_used >= self._settings.max_connections:
            await self._wait_for_slot(deadline)
            idle = self.take_idle()
            if idle is not None:
                return idle
        return await self._open(deadline)

    def take_idle(self) -> Connection | None:
        """Return the most recently used idle connection, if any."""
        while self._idle:
            conn = self._idle.pop().conn
            if not conn.is_closed():
                self._busy.add(conn)
                return conn
            self._free_slot()
        return None

    def release(self, conn: Connection) -> None:
        """Return a connection to the pool after a reply was received on it."""
        self._busy.discard(conn)
        self._idle.append(_IdleConnection(conn, self._clock.now()))
        self._resume_waiting()

    def discard(self, conn: Connection) -> None:
        """Close a connection that is in use."""
        if conn in self._busy:
            self._busy.discard(conn)
            self._free_slot()
        conn.close()

    def close_idle_since(self, moment: datetime) -> None:
        """Close idle connections without a reply since ``moment``.

        If one connection stopped responding, the server or a middlebox may have lost
        the state of the others as well.
        """
        unresponsive = [idle for idle in self._idle if idle.last_reply_at < moment]
        self._close_idle(unresponsive, LinkCount.SUSPECT_CLOSED)

    def close_all_idle(self) -> None:
        """Close every idle connection."""
        self._close_idle(list(self._idle), LinkCount.SPARE_CLOSED)

    def close(self) -> None:
        """Close every connection and fail every waiting caller."""
        self._closed = True
        for idle in self._idle:
            idle.conn.close()
        for conn in list(self._busy):
            conn.close()
        self._idle.clear()
        for pending in [*self._connecting, *self._waiting]:
            pending.cancel()

    def _close_idle(
        self, connections: list[_IdleConnection], reason: LinkCount
    ) -> None:
        for idle in connections:
            self._idle.remove(idle)
            self._counts[reason] += 1
            idle.conn.close()
            self._free_slot()

    async def _open(self, deadline: Deadline) -> Connection:
        self._raise_if_closed()
        self._slots_used += 1
        try:
            await self._wait_for_backoff(deadline)
            conn = await self._connect(deadline)
        except BaseException:
            self._free_slot()
            raise
        self._busy.add(conn)
        return conn

    async def _wait_for_backoff(self, deadline: Deadline) -> None:
        """Wait for the delay after the last failed connection attempt."""
        delay = self._connect_not_before - self._clock.now()
        if delay <= timedelta(0):
            return
        if delay >= deadline.remaining(self._clock):
            raise LinkUnavailableError(
                "not connected: backoff after a failed connect exceeds the deadline"
            )
        await self._clock.sleep(delay)

    async def _connect(self, deadline: Deadline) -> Connection:
        limit = min(self._settings.connect_timeout, deadline.remaining(self._clock))
        pending = self._transport.connect()
        self._connecting.add(pending)
        try:
            conn = await within(self._clock, limit, pending)
        except DeadlineExceededError:
            self._record_connect_failure()
            raise LinkUnavailableError("connect timed out") from None
        except LinkError:
            self._record_connect_failure()
            raise
        except Exception:
            self._raise_if_closed()
            raise
        finally:
            self._connecting.discard(pending)
        self._backoff.reset()
        self._counts[LinkCount.CONNECTED] += 1
        return conn

    def _record_connect_failure(self) -> None:
        self._raise_if_closed()
        self._counts[LinkCount.CONNECT_FAILED] += 1
        now = self._clock.now()
        if now >= self._connect_not_before:
            self._connect_not_before = now + self._backoff.next_delay()

    def _raise_if_closed(self) -> None:
        if self._closed:
            raise LinkClosedError("link is closed", sent=False) from None

    async def _wait_for_slot(self, deadline: Deadline) -> None:
        if len(self._waiting) >= self._settings.max_waiting:
            raise LinkOverloadedError(
                "connection pool exhausted and its wait queue is full"
            )
        waiter: Deferred[None] = Deferred()
        self._waiting.append(waiter)
        try:
            await within(self._clock, deadline.remaining(self._clock), waiter)
        except DeadlineExceededError:
            raise LinkTimeoutError(
                "timed out waiting for a free connection", sent=False
            ) from None
        except Exception:
            self._raise_if_closed()
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def _free_slot(self) -> None:
        self._slots_used -= 1
        self._resume_waiting()

    def _resume_waiting(self) -> None:
        """Resume waiting callers while a connection or a slot is available.

        A resumed caller may fail immediately and free its slot for the next one. The
        loop avoids deep recursion for a long queue.
        """
        if self._resuming:
            return
        self._resuming = True
        while self._waiting and self._has_capacity():
            self._waiting.popleft().callback(None)
        self._resuming = False

    def _has_capacity(self) -> bool:
        return bool(self._idle) or self._slots_used < self._settings.max_connections
