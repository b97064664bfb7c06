"""The lease in the store under which a daemon leads its pools."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from typing import Any

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.pools import CellStore
from savorylead.store import StoreError, StoreLeaseLostError
from savorylead_daemon.concurrency import spawn, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

#: Time for which a daemon that stops renewing still counts as the lead. A shorter lease
#: would lapse when the store answers two renewals in a row slowly.
LEASE_TTL = timedelta(milliseconds=2_000)
#: Time between two renewals.
RENEW_INTERVAL = timedelta(milliseconds=500)
#: Time until a failed call is retried.
RETRY_DELAY = timedelta(milliseconds=150)
#: Time without an answer after which a peer is asked to end the lease. Two renewals
#: have failed by then, and the lease would be valid for more than another second.
END_THROUGH_PEER_AFTER = timedelta(milliseconds=300)
#: The lease counts as over this much earlier, to allow for orders in flight and for
#: clock drift.
SAFETY_MARGIN = timedelta(milliseconds=200)
#: Longest time for which a daemon acts after it sent its last successful renewal.
VALID_FOR = LEASE_TTL - SAFETY_MARGIN


class CellLease:
    """Renews one lease and reports whether it is certain to be valid.

    ``on_granted(lease_id)`` is called for each new lease, ``on_lost()`` when the
    store reports its end. The clock must advance during a suspension.
    """

    def __init__(
        self,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        on_granted: Callable[[str], None],
        on_lost: Callable[[], None],
        end_through_peer: Callable[[str], Coroutine[Any, Any, bool | None]],
    ) -> None:
        """``end_through_peer(lease_id)`` returns whether a peer ended the lease.

        It returns None if this is unknown.
        """
        self._store = store
        self._clock = clock
        self._log = log
        self._on_granted = on_granted
        self._on_lost = on_lost
        self._end_through_peer = end_through_peer
        self._valid_until: datetime | None = None
        self._proved_at: datetime | None = None
        self._failing_since: datetime | None = None
        self._peers_asked_to_end = False
        self._running: Deferred[None] | None = None
        self._was_valid = False
        #: Empty while there is no lease.
        self.id = ""

    def start(self) -> None:
        """Obtain a lease and renew it from then on."""
        running = supervised("cell lease", self._clock, self._run)
        self._running = spawn("cell lease", running)

    def holds(self) -> bool:
        """Return whether the lease is certain to be valid now."""
        return self._valid_until is not None and self._clock.now() < self._valid_until

    @property
    def proved_at(self) -> datetime | None:
        """When the last successful renewal or grant was sent; None without a lease."""
        return self._proved_at

    def renewed_ms_ago(self) -> int | None:
        """Return the milliseconds since ``proved_at``, None without a lease."""
        if self._proved_at is None:
            return None
        return (self._clock.now() - self._proved_at) // timedelta(milliseconds=1)

    def stop(self) -> None:
        """Stop renewing the lease, so that it lapses."""
        self._valid_until = None
        if self._running is not None:
            self._running.cancel()

    async def end(self) -> None:
        """End the lease, and with it every key attached to it."""
        self.stop()
        lease_id, self.id = self.id, ""
        self._proved_at = None
        if not lease_id:
            return
        try:
            await self._store.end_lease(lease_id)
        except StoreError as exc:
            self._log.log_event(
                LogLevel.WARNING, "lease_not_ended", lease=lease_id, detail=str(exc)
            )

    async def _run(self) -> None:
        while True:
            pause = RENEW_INTERVAL
            try:
                if self.id:
                    await self._renew()
                else:
                    await self._grant()
                self._failing_since = None
                self._peers_asked_to_end = False
            except StoreLeaseLostError:
                self._handle_loss()
                pause = timedelta(0)
            except StoreError as exc:
                pause = RETRY_DELAY
                self._note_failure(exc)
                await self._end_through_peer_early()
            await self._clock.sleep(pause)

    async def _grant(self) -> None:
        sent_at = self._clock.now()
        grant = await self._store.grant_lease(LEASE_TTL)
        self.id = grant.id
        self._valid_until = sent_at + VALID_FOR
        self._proved_at = sent_at
        self._was_valid = True
        self._log.log_event(LogLevel.INFO, "lease_granted", lease=grant.id)
        self._on_granted(grant.id)

    async def _renew(self) -> None:
        sent_at = self._clock.now()
        await self._store.renew_lease(self.id)
        self._valid_until = sent_at + VALID_FOR
        self._proved_at = sent_at
        if not self._was_valid:
            self._was_valid = True
            self._log.log_event(LogLevel.INFO, "lease_regained", lease=self.id)

    async def _end_through_peer_early(self) -> None:
        """Have a peer that can reach the store end the lease, as this daemon can't.

        The lease counts as invalid from the moment the peer is asked, so that the next
        lead can rely on its end. If it is certain that no peer ended it, it counts as
        valid again; if that is unknown, only a renewal proves that it is.
        """
        now = self._clock.now()
        if self._failing_since is None:
            self._failing_since = now
        if not self.id or self._peers_asked_to_end or not self.holds():
            return
        if now - self._failing_since < END_THROUGH_PEER_AFTER:
            return
        self._peers_asked_to_end = True
        valid_until, self._valid_until = self._valid_until, None
        ended = await self._end_through_peer(self.id)
        self._log.log_event(
            LogLevel.WARNING,
            "lease_given_up",
            lease=self.id,
            ended=ended,
            renewed_ms_ago=self.renewed_ms_ago(),
        )
        if ended:
            self._handle_loss()
        elif ended is False:
            self._valid_until = valid_until

    def _handle_loss(self) -> None:
        self._log.log_event(
            LogLevel.WARNING,
            "lease_lost",
            lease=self.id,
            renewed_ms_ago=self.renewed_ms_ago(),
        )
        self.id = ""
        self._valid_until = None
        self._was_valid = False
        self._on_lost()
        # Only now, since each lead that ends logs the age of the last renewal.
        self._proved_at = None

    def _note_failure(self, exc: StoreError) -> None:
        if self._was_valid and not self.holds():
            self._was_valid = False
            self._log.log_event(
                LogLevel.WARNING,
                "lease_unproved",
                lease=self.id,
                renewed_ms_ago=self.renewed_ms_ago(),
                detail=str(exc),
            )
