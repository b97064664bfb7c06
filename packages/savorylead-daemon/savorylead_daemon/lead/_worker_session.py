"""A lead's session with one worker: lease renewals, commands and time-outs."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Sequence
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer
from savorylead.workers import (
    Declined,
    Inventory,
    RunReport,
    StaleEpoch,
    StartAccepted,
    StartRefused,
    Worker,
    WorkerContract,
    WorkerError,
)

from ._command_sender import CommandListener, CommandSender, raise_in_reactor
from ._session_listener import Attempt, SessionListener
from ._times import LeadTimes

#: Requests an inventory without renewing the lease.
NO_LEASE = timedelta(0)


class Contact(enum.Enum):
    """Whether the worker replies, and whether its lease may still be valid."""

    #: The worker has not replied in this epoch, or not since it declined a command that
    #: was sent to another incarnation.
    NEW = "new"
    HEARD = "heard"
    #: Unresponsive: probed without a lease until it replies or its lease expires.
    SUSPECTED = "suspected"
    #: Its lease has expired; renewals are sent again as probes.
    LOST = "lost"


class WorkerSession(CommandListener):
    """Holds the contact state of one worker and renews its lease.

    At most one command call and one renewal are in flight at a time.
    """

    def __init__(
        self,
        worker: Worker,
        epoch: int,
        contract: WorkerContract,
        clock: Clock,
        rng: random.Random,
        times: LeadTimes,
        listener: SessionListener,
        may_renew: Callable[[], bool],
        store_reachable_for: Callable[[], timedelta],
        earlier_leads_until: datetime,
    ) -> None:
        self.worker = worker
        self.contact = Contact.NEW
        #: Empty until the worker has replied.
        self.incarnation = ""
        self.accepting = False
        self._epoch = epoch
        self._contract = contract
        self._clock = clock
        self._rng = rng
        self._times = times
        self._listener = listener
        self._may_renew = may_renew
        self._store_reachable_for = store_reachable_for
        #: Starts as the time until which earlier leads, or other daemons during a store
        #: outage, may have renewed.
        self._last_renewal_sent = earlier_leads_until
        self._last_reply_at = clock.now()
        #: Commands to the worker.
        self.commands = CommandSender(
            worker, epoch, contract, clock, rng, times.order_retry, self
        )
        self._renewing = False
        self._closed = False
        self._renew_timer: Timer | None = None
        self._renew_due = clock.now()
        self._last_renew_began = clock.now() - times.renew_interval

    def begin(self) -> None:
        """Send the first renewal immediately."""
        self._schedule_renew(timedelta(0))

    def close(self) -> None:
        """Stop all timers and ignore replies to calls in flight."""
        self._closed = True
        self.commands.close()
        if self._renew_timer is not None:
            self._renew_timer.cancel()

    def expect_end_in(self, delay: timedelta) -> None:
        """Renew in about ``delay``, to fetch the result of a run soon after its end."""
        earliest = self._last_renew_began + self._times.early_renew_gap
        at = max(self._clock.now() + delay, earliest)
        if at < self._renew_due and self.contact is Contact.HEARD:
            self._schedule_renew(at - self._clock.now())

    def _schedule_renew(self, delay: timedelta) -> None:
        if self._closed:
            return
        if self._renew_timer is not None:
            self._renew_timer.cancel()
        delay = max(delay, timedelta(0))
        self._renew_due = self._clock.now() + delay
        self._renew_timer = self._clock.call_later(delay, self._renew_now)

    def _renew_now(self) -> None:
        self._renew_timer = None
        if self._renewing:
            self._schedule_renew(self._times.early_renew_gap)
            return
        Deferred.fromCoroutine(self._renew()).addErrback(raise_in_reactor, self._clock)

    async def _renew(self) -> None:
        lease = self._lease_to_request()
        self._renewing = True
        self._last_renew_began = self._clock.now()
        if lease > NO_LEASE:
            self._last_renewal_sent = max(self._last_renewal_sent, self._clock.now())
        try:
            reply = await self._contract.renew(self.worker, self._epoch, lease)
        except WorkerError:
            reply = None
        finally:
            self._renewing = False
        if self._closed:
            return
        if reply is None:
            self._on_no_reply()
        elif isinstance(reply, StaleEpoch):
            self._listener.on_stale_epoch(reply.seen_epoch)
        else:
            self._on_inventory_reply(reply, renewed=lease > NO_LEASE)

    def _lease_to_request(self) -> timedelta:
        """Return the lease to request, or ``NO_LEASE`` while it must expire."""
        if self.contact is Contact.SUSPECTED or not self._may_renew():
            return NO_LEASE
        return self._times.worker_lease

    def _on_inventory_reply(self, inventory: Inventory, renewed: bool) -> None:
        self._last_reply_at = self._clock.now()
        self.contact = Contact.HEARD
        self.incarnation = inventory.incarnation
        self.accepting = inventory.accepting
        self.commands.drop_sent_orders()
        if renewed or not self._may_renew():
            self._schedule_renew(self._jittered(self._times.renew_interval))
        else:
            self._schedule_renew(timedelta(0))
        self._listener.on_inventory(self, inventory)
        self.commands.send_pending()

    def _on_no_reply(self) -> None:
        now = self._clock.now()
        if self.contact is Contact.SUSPECTED:
            if self._is_lease_expired(now):
                self.contact = Contact.LOST
                self.incarnation = ""
                self._listener.on_lost(self)
        elif (
            self.contact is not Contact.LOST
            and now - self._last_reply_at >= self._times.suspect_after
        ):
            self.contact = Contact.SUSPECTED
            self._listener.on_suspected(self)
        if not self._closed:
            self._schedule_renew(self._jittered(self._times.renew_interval / 4))

    def _is_lease_expired(self, now: datetime) -> bool:
        """Return whether the lease has expired, whoever renewed it last.

        That is this lead, an earlier one, or another daemon during a store outage.
        """
        lapse = self._times.lease_expiry_delay()
        if now < self._last_renewal_sent + lapse:
            return False
        bridged = self._times.epoch_grace + self._times.peer_info_max_age
        return self._store_reachable_for() >= bridged + lapse

    def _jittered(self, delay: timedelta) -> timedelta:
        return delay * (0.9 + 0.2 * self._rng.random())

    def command_target(self) -> str:
        """Return the incarnation to send commands to; empty if there is none."""
        return self.incarnation if self.contact is Contact.HEARD else ""

    def on_start_result(
        self, attempt: Attempt, result: StartAccepted | StartRefused
    ) -> None:
        """Forward the reply to a start order."""
        if isinstance(result, StartAccepted):
            self._listener.on_started(self, attempt)
        else:
            self._listener.on_start_refused(self, attempt, result.reason)

    def on_end_reports(self, reports: Sequence[RunReport]) -> None:
        """Forward the reports of a stop or a checkpoint."""
        self._listener.on_reports(self, reports)

    def on_declined(self, reply: Declined) -> None:
        """Report a stale epoch, or renew to get the state of the attempts."""
        if isinstance(reply, StaleEpoch):
            self._listener.on_stale_epoch(reply.seen_epoch)
        else:
            # Only a renewal returns the state of the attempts, so commands wait for it.
            self.contact = Contact.NEW
            self._schedule_renew(timedelta(0))

    def on_failed(self, exc: WorkerError) -> None:
        """Report a command that will be retried."""
        self._listener.on_command_failed(self, exc)
