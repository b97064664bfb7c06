"""One lead's dealings with one worker: renewals, commands and silence."""

from __future__ import annotations

import enum
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer
from savorylead.contracts import TaskId
from savorylead.resources import Resources
from savorylead.workers import (
    Inventory,
    RunReport,
    StaleEpoch,
    StartAccepted,
    StartOrder,
    StartRefused,
    Worker,
    WorkerContract,
    WorkerError,
    WrongIncarnation,
)

from ._times import LeadTimes

#: Asks for a report without renewing.
NO_LEASE = timedelta(0)

#: One attempt of one task.
Attempt = tuple[TaskId, int]


class SessionListener(ABC):
    """Hears what a session learns; the lead implements it."""

    @abstractmethod
    def on_inventory(self, session: WorkerSession, inventory: Inventory) -> None:
        """The worker answered a renewal."""

    @abstractmethod
    def on_reports(self, session: WorkerSession, reports: Sequence[RunReport]) -> None:
        """The worker answered a stop or a checkpoint."""

    @abstractmethod
    def on_started(self, session: WorkerSession, attempt: Attempt) -> None:
        """The worker confirmed a start."""

    @abstractmethod
    def on_start_refused(
        self, session: WorkerSession, attempt: Attempt, reason: str
    ) -> None:
        """The worker refused a start for good."""

    @abstractmethod
    def on_suspected(self, session: WorkerSession) -> None:
        """The worker does not answer and must get no new work."""

    @abstractmethod
    def on_lost(self, session: WorkerSession) -> None:
        """The worker's lease has surely lapsed and nothing runs there any more."""

    @abstractmethod
    def on_stale_epoch(self, epoch: int) -> None:
        """A worker has seen a later lead of this shard."""

    @abstractmethod
    def on_command_failed(self, session: WorkerSession, exc: WorkerError) -> None:
        """A command failed and will be sent again."""


class Contact(enum.Enum):
    """How sure it is that the worker's lease runs."""

    #: Not heard of yet in this epoch.
    NEW = "new"
    HEARD = "heard"
    #: Silent: only asked for reports, until it answers or its lease surely lapsed.
    SUSPECTED = "suspected"
    #: Its lease has lapsed; renewals are sent again as probes.
    LOST = "lost"


class _Outbox:
    """Commands that wait to be sent, in the order in which kinds are sent."""

    def __init__(self) -> None:
        self.orders: dict[Attempt, StartOrder] = {}
        self.checkpoints: dict[Attempt, None] = {}
        self.stops: dict[Attempt, None] = {}
        self.caps: dict[Attempt, Resources] = {}
        self.releases: dict[Attempt, None] = {}

    def __bool__(self) -> bool:
        return bool(
            self.orders or self.checkpoints or self.stops or self.caps or self.releases
        )


class WorkerSession:
    """Owns everything that one lead knows of its contact with one worker.

    One call is under way at a time for commands and one for renewals. Commands
    gather while a call is under way and go out together.
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
        store_seen_for: Callable[[], timedelta],
        other_lead_until: datetime,
    ) -> None:
        self.worker = worker
        self.contact = Contact.NEW
        #: Empty until the worker was heard of.
        self.incarnation = ""
        self.accepting = False
        self._epoch = epoch
        self._contract = contract
        self._clock = clock
        self._rng = rng
        self._times = times
        self._listener = listener
        self._may_renew = may_renew
        self._store_seen_for = store_seen_for
        #: Until then an earlier lead or a caretaker may still have renewed.
        self._last_renewal_sent = other_lead_until
        self._last_heard = clock.now()
        self._outbox = _Outbox()
        self._sent: set[Attempt] = set()
        self._sending = False
        self._renewing = False
        self._closed = False
        self._renew_timer: Timer | None = None
        self._renew_due = clock.now()
        self._last_renew_began = clock.now() - times.renew_interval
        self._retry_timer: Timer | None = None

    def begin(self) -> None:
        """Send the first renewal at once."""
        self._schedule_renew(timedelta(0))

    def close(self) -> None:
        """Stop all timers; calls under way are ignored when they answer."""
        self._closed = True
        for timer in (self._renew_timer, self._retry_timer):
            if timer is not None:
                timer.cancel()

    def takes_work(self) -> bool:
        """Return whether the worker may be given new tasks."""
        return self.contact is Contact.HEARD and self.accepting

    def start(self, order: StartOrder) -> None:
        """Send a start order, again and again until it is answered."""
        self._outbox.orders[order.task, order.attempt] = order
        self._kick()

    def checkpoint(self, attempt: Attempt) -> None:
        """Ask for a checkpoint."""
        self._outbox.checkpoints[attempt] = None
        self._kick()

    def stop(self, attempt: Attempt) -> None:
        """Stop an attempt, or keep it from ever starting."""
        self._outbox.stops[attempt] = None
        self._kick()

    def throttle(self, attempt: Attempt, cap: Resources) -> None:
        """Cap what a running attempt may use."""
        self._outbox.caps[attempt] = cap
        self._kick()

    def release(self, attempt: Attempt) -> None:
        """Let the worker forget the report of an ended attempt."""
        self._sent.discard(attempt)
        self._outbox.releases[attempt] = None
        self._kick()

    def withdraw_order(self, attempt: Attempt) -> bool:
        """Drop a waiting order; True if it surely never left this lead."""
        order = self._outbox.orders.pop(attempt, None)
        return order is not None and attempt not in self._sent

    def has_waiting_order(self, attempt: Attempt) -> bool:
        """Return whether the order waits here or is under way."""
        return attempt in self._outbox.orders

    def expect_end_in(self, delay: timedelta) -> None:
        """Renew about then, so that an answer is fetched without a long wait."""
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
        Deferred.fromCoroutine(self._renew()).addErrback(_raise_later, self._clock)

    async def _renew(self) -> None:
        lease = self._lease_to_ask()
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
            self._after_silence()
        elif isinstance(reply, StaleEpoch):
            self._listener.on_stale_epoch(reply.seen_epoch)
        else:
            self._after_inventory(reply, renewed=lease > NO_LEASE)

    def _lease_to_ask(self) -> timedelta:
        """Return the lease to renew, or none while it must be let lapse."""
        if self.contact is Contact.SUSPECTED or not self._may_renew():
            return NO_LEASE
        return self._times.worker_lease

    def _after_inventory(self, inventory: Inventory, renewed: bool) -> None:
        self._last_heard = self._clock.now()
        self.contact = Contact.HEARD
        self.incarnation = inventory.incarnation
        self.accepting = inventory.accepting
        self._drop_old_orders()
        if renewed or not self._may_renew():
            self._schedule_renew(self._jittered(self._times.renew_interval))
        else:
            self._schedule_renew(timedelta(0))
        self._listener.on_inventory(self, inventory)
        self._kick()

    def _after_silence(self) -> None:
        now = self._clock.now()
        if self.contact is Contact.SUSPECTED:
            if self._is_surely_lapsed(now):
                self.contact = Contact.LOST
                self.incarnation = ""
                self._listener.on_lost(self)
        elif (
            self.contact is not Contact.LOST
            and now - self._last_heard >= self._times.suspect_after
        ):
            self.contact = Contact.SUSPECTED
            self._listener.on_suspected(self)
        if not self._closed:
            self._schedule_renew(self._jittered(self._times.renew_interval / 4))

    def _is_surely_lapsed(self, now: datetime) -> bool:
        """Return whether nobody can have renewed the lease that long.

        Neither this lead, nor an earlier one or a caretaker during an outage.
        """
        lapse = self._times.surely_lapsed_after()
        if now < self._last_renewal_sent + lapse:
            return False
        bridged = self._times.epoch_grace + self._times.sight_max_age
        return self._store_seen_for() >= bridged + lapse

    def _drop_old_orders(self) -> None:
        """Drop orders that name an incarnation which is over."""
        for attempt in list(self._outbox.orders):
            if attempt in self._sent:
                del self._outbox.orders[attempt]

    def _jittered(self, delay: timedelta) -> timedelta:
        return delay * (0.9 + 0.2 * self._rng.random())

    def _kick(self) -> None:
        if self._sending or self._closed or not self._outbox:
            return
        if self.contact is not Contact.HEARD or self._retry_timer is not None:
            return
        self._sending = True
        Deferred.fromCoroutine(self._send()).addErrback(_raise_later, self._clock)

    async def _send(self) -> None:
        try:
            while self._outbox and self.contact is Contact.HEARD and not self._closed:
                await self._send_one_call()
        except WorkerError as exc:
            if not self._closed:
                self._listener.on_command_failed(self, exc)
                self._retry_timer = self._clock.call_later(
                    self._jittered(self._times.order_retry), self._retry
                )
        finally:
            self._sending = False

    def _retry(self) -> None:
        self._retry_timer = None
        self._kick()

    async def _send_one_call(self) -> None:
        box = self._outbox
        if box.orders:
            await self._send_orders()
        elif box.checkpoints:
            await self._send_ends(box.checkpoints, self._contract.checkpoint)
        elif box.stops:
            await self._send_ends(box.stops, self._contract.stop)
        elif box.caps:
            await self._send_caps()
        else:
            await self._send_releases()

    async def _send_orders(self) -> None:
        orders = list(self._outbox.orders.values())
        attempts = [(order.task, order.attempt) for order in orders]
        self._sent.update(attempts)
        results = await self._contract.start(
            self.worker, self._epoch, self.incarnation, orders
        )
        if self._closed or self._is_declined(results):
            return
        for attempt, result in zip(attempts, results, strict=True):
            self._outbox.orders.pop(attempt, None)
            if isinstance(result, StartAccepted):
                self._listener.on_started(self, attempt)
            elif isinstance(result, StartRefused):
                self._listener.on_start_refused(self, attempt, result.reason)

    async def _send_ends(
        self, waiting: dict[Attempt, None], command: Callable[..., object]
    ) -> None:
        attempts = list(waiting)
        reports = await command(self.worker, self._epoch, self.incarnation, attempts)
        if self._closed or self._is_declined(reports):
            return
        for attempt in attempts:
            waiting.pop(attempt, None)
        self._listener.on_reports(self, reports)

    async def _send_caps(self) -> None:
        caps = [(*attempt, cap) for attempt, cap in self._outbox.caps.items()]
        reports = await self._contract.throttle(
            self.worker, self._epoch, self.incarnation, caps
        )
        if self._closed or self._is_declined(reports):
            return
        for task, attempt, _ in caps:
            self._outbox.caps.pop((task, attempt), None)

    async def _send_releases(self) -> None:
        attempts = list(self._outbox.releases)
        reply = await self._contract.release(
            self.worker, self._epoch, self.incarnation, attempts
        )
        if self._closed or self._is_declined(reply):
            return
        for attempt in attempts:
            self._outbox.releases.pop(attempt, None)

    def _is_declined(self, reply: object) -> bool:
        """Handle a reply by which the worker did nothing."""
        if isinstance(reply, StaleEpoch):
            self._listener.on_stale_epoch(reply.seen_epoch)
            return True
        if isinstance(reply, WrongIncarnation):
            # Only a renewal tells what became of the attempts, so commands wait.
            self.contact = Contact.NEW
            self._schedule_renew(timedelta(0))
            return True
        return False


def _raise_later(failure: object, clock: Clock) -> None:
    """Report a programming error through the reactor instead of losing it."""
    clock.call_later(timedelta(0), failure.raiseException)  # type: ignore[attr-defined]
