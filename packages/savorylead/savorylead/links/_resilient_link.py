"""A link that retries calls and replaces failed connections."""

from __future__ import annotations

import random
from collections import Counter
from datetime import datetime, timedelta

from savorylead.clock import Clock

from ._backoff import Backoff, DecorrelatedJitterBackoff
from ._connection_pool import ConnectionPool
from ._counts import LinkCount
from ._deadline import (
    Deadline,
    DeadlineExceededError,
    while_progressing,
    within,
)
from ._errors import (
    LinkBrokenError,
    LinkClosedError,
    LinkError,
    LinkOverloadedError,
    LinkTimeoutError,
)
from ._heartbeat import Heartbeat
from ._link import Connection, Link, LinkReply, LinkRequest, Transport
from ._retry_budget import RetryBudget
from ._settings import LinkSettings

_ZERO = timedelta(0)


class ResilientLink(Link):
    """Gives every call a deadline and replaces unresponsive connections.

    A call that may have run is retried only if it is idempotent and the retry budget
    allows it. A call that is known not to have been sent may always be retried, up to
    ``max_attempts`` of the settings. A connection whose reply is overdue is closed
    instead of reused, so that a late reply never reaches another call.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        transport: Transport,
        budget: RetryBudget,
        settings: LinkSettings = LinkSettings(),  # noqa: B008 - it is immutable.
        counts: Counter[LinkCount] | None = None,
    ) -> None:
        """Count into ``counts``, which several links may share."""
        self.counts = Counter() if counts is None else counts
        self._clock = clock
        self._rng = rng
        self._transport = transport
        self._budget = budget
        self._settings = settings
        self._pool = ConnectionPool(
            clock, transport, self._new_backoff(), settings, self.counts
        )
        self._heartbeat = Heartbeat(clock, settings.heartbeat_interval, self._probe)

    def time_since_reply(self) -> timedelta:
        """Return the time since the last reply on any connection."""
        return self._heartbeat.time_since_reply()

    async def call(self, request: LinkRequest, timeout: timedelta) -> LinkReply:
        """Return the reply within ``timeout``, or raise LinkError."""
        self.counts[LinkCount.CALLS] += 1
        deadline = Deadline.after(self._clock, timeout)
        backoff: Backoff | None = None
        sent = False
        attempt = 1
        while True:
            try:
                reply = await self._attempt(request, attempt, deadline)
            except LinkError as exc:
                sent = sent or exc.sent
                backoff = backoff or self._new_backoff()
                delay = self._delay_before_retry(exc, attempt, backoff)
                if not self._may_retry(request, exc, attempt, delay, deadline):
                    self.counts[LinkCount.FAILED] += 1
                    # The error covers all attempts of the call, not only the last one.
                    exc.sent = sent
                    raise
            else:
                self.counts[LinkCount.SUCCEEDED] += 1
                self._budget.earn()
                return reply
            if delay:
                await self._clock.sleep(delay)
            attempt += 1

    def close(self) -> None:
        """Close all connections; calls in flight fail."""
        self._heartbeat.stop()
        self._pool.close()

    def _new_backoff(self) -> Backoff:
        settings = self._settings
        return DecorrelatedJitterBackoff(
            self._rng, settings.backoff_base, settings.backoff_cap
        )

    async def _attempt(
        self, request: LinkRequest, attempt: int, deadline: Deadline
    ) -> LinkReply:
        conn = await self._pool.acquire(deadline)
        limit = deadline.remaining(self._clock)
        if limit == _ZERO:
            self._pool.release(conn)
            raise LinkTimeoutError(
                "deadline passed before a connection was available", sent=False
            )
        if request.idempotent:
            # Doubled per attempt, so that a call to a slow server eventually succeeds.
            limit = min(limit, self._settings.attempt_timeout * 2 ** (attempt - 1))
        return await self._call_on(conn, request, limit)

    async def _call_on(
        self, conn: Connection, request: LinkRequest, limit: timedelta
    ) -> LinkReply:
        sent_at = self._clock.now()
        before = conn.received()
        calling = conn.call(request)
        try:
            if request.max_duration is None:
                reply = await within(self._clock, limit, calling)
            else:
                reply = await while_progressing(
                    self._clock, limit, request.max_duration, conn.received, calling
                )
        except DeadlineExceededError:
            received = conn.received() - before
            self._close_unresponsive(conn, sent_at)
            detail = f"no reply in time, {received} bytes of it arrived"
            raise LinkTimeoutError(detail, sent=True) from None
        except BaseException:
            self._pool.discard(conn)
            raise
        self._heartbeat.record_reply()
        self._heartbeat.start()
        self._pool.release(conn)
        return reply

    def _close_unresponsive(self, conn: Connection, sent_at: datetime) -> None:
        self.counts[LinkCount.SILENT_CLOSED] += 1
        self._pool.discard(conn)
        self._pool.close_idle_since(sent_at)

    def _delay_before_retry(
        self, exc: LinkError, attempt: int, backoff: Backoff
    ) -> timedelta:
        """Return the delay; there is none for the first retry on a dead connection."""
        if attempt == 1 and isinstance(exc, LinkTimeoutError | LinkBrokenError):
            return _ZERO
        return backoff.next_delay()

    def _may_retry(
        self,
        request: LinkRequest,
        exc: LinkError,
        attempt: int,
        delay: timedelta,
        deadline: Deadline,
    ) -> bool:
        refusal = self._refusal(request, exc, attempt, delay, deadline)
        if refusal is not None:
            self.counts[refusal] += 1
            return False
        self.counts[_retry_count(exc)] += 1
        return True

    def _refusal(
        self,
        request: LinkRequest,
        exc: LinkError,
        attempt: int,
        delay: timedelta,
        deadline: Deadline,
    ) -> LinkCount | None:
        if isinstance(exc, LinkOverloadedError):
            return LinkCount.REFUSED_OVERLOADED
        if isinstance(exc, LinkClosedError):
            return LinkCount.REFUSED_CLOSED
        if exc.sent and not request.idempotent:
            return LinkCount.REFUSED_NOT_IDEMPOTENT
        if attempt >= self._settings.max_attempts:
            return LinkCount.REFUSED_ATTEMPTS
        if delay >= deadline.remaining(self._clock):
            return LinkCount.REFUSED_DEADLINE
        if exc.sent and not self._budget.try_spend():
            return LinkCount.REFUSED_BUDGET
        return None

    async def _probe(self) -> None:
        """Probe the most recently used connection; replace it if there is no reply."""
        conn = self._pool.take_idle()
        if conn is None:
            return
        self._pool.close_all_idle()
        self.counts[LinkCount.HEARTBEATS] += 1
        try:
            await self._call_on(
                conn, self._transport.heartbeat(), self._settings.heartbeat_timeout
            )
        except LinkError:
            await self._reconnect()

    async def _reconnect(self) -> None:
        deadline = Deadline.after(self._clock, self._settings.connect_timeout)
        try:
            conn = await self._pool.acquire(deadline)
        except LinkError:
            return
        self._pool.release(conn)


def _retry_count(exc: LinkError) -> LinkCount:
    if not exc.sent:
        return LinkCount.RETRIED_NOT_SENT
    if isinstance(exc, LinkTimeoutError):
        return LinkCount.RETRIED_SILENT
    return LinkCount.RETRIED_BROKEN
