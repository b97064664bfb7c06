"""Sends commands to one worker and repeats each until the worker replies."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead.clock import Clock, Timer
from savorylead.resources import Resources
from savorylead.workers import (
    Declined,
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

from ._session_listener import Attempt


class CommandListener(ABC):
    """Receives the results of commands; implemented by the session."""

    @abstractmethod
    def command_target(self) -> str:
        """Return the incarnation to send commands to; empty if there is none."""

    @abstractmethod
    def on_start_result(
        self, attempt: Attempt, result: StartAccepted | StartRefused
    ) -> None:
        """Handle the worker's reply to a start order."""

    @abstractmethod
    def on_end_reports(self, reports: Sequence[RunReport]) -> None:
        """Handle the reports with which the worker replied to a stop or checkpoint."""

    @abstractmethod
    def on_declined(self, reply: Declined) -> None:
        """Handle a command rejected for its epoch or incarnation; it had no effect."""

    @abstractmethod
    def on_failed(self, exc: WorkerError) -> None:
        """Handle a failed command, which will be retried."""


class CommandSender:
    """Queues commands while a call is in flight and sends all of a kind as a batch.

    Start orders are sent first, so that a stop never overtakes its start.
    """

    def __init__(
        self,
        worker: Worker,
        epoch: int,
        contract: WorkerContract,
        clock: Clock,
        rng: random.Random,
        retry_delay: timedelta,
        listener: CommandListener,
    ) -> None:
        self._worker = worker
        self._epoch = epoch
        self._contract = contract
        self._clock = clock
        self._rng = rng
        self._retry_delay = retry_delay
        self._listener = listener
        self._orders: dict[Attempt, StartOrder] = {}
        self._checkpoints: dict[Attempt, None] = {}
        self._stops: dict[Attempt, None] = {}
        self._caps: dict[Attempt, Resources] = {}
        self._releases: dict[Attempt, None] = {}
        #: Attempts whose start order may have been sent.
        self._sent: set[Attempt] = set()
        self._sending = False
        self._closed = False
        self._retry_timer: Timer | None = None

    def close(self) -> None:
        """Stop sending and ignore replies to calls in flight."""
        self._closed = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def start(self, order: StartOrder) -> None:
        """Queue a start order."""
        self._orders[order.task, order.attempt] = order
        self.send_pending()

    def checkpoint(self, attempt: Attempt) -> None:
        """Request a checkpoint of an attempt."""
        self._checkpoints[attempt] = None
        self.send_pending()

    def stop(self, attempt: Attempt) -> None:
        """Stop an attempt, or prevent it from starting."""
        self._stops[attempt] = None
        self.send_pending()

    def throttle(self, attempt: Attempt, cap: Resources) -> None:
        """Cap the resources that a running attempt may use."""
        self._caps[attempt] = cap
        self.send_pending()

    def release(self, attempt: Attempt) -> None:
        """Allow the worker to discard the report of an ended attempt."""
        self._sent.discard(attempt)
        self._releases[attempt] = None
        self.send_pending()

    def withdraw_order(self, attempt: Attempt) -> bool:
        """Drop a pending order; True if it is certain that it was never sent."""
        order = self._orders.pop(attempt, None)
        return order is not None and attempt not in self._sent

    def has_pending_order(self, attempt: Attempt) -> bool:
        """Return whether the order is queued or in flight."""
        return attempt in self._orders

    def drop_sent_orders(self) -> None:
        """Drop orders that may have been sent; the inventory shows their state."""
        for attempt in self._sent & self._orders.keys():
            del self._orders[attempt]

    def send_pending(self) -> None:
        """Send pending commands, unless a call is in flight or a retry is scheduled."""
        if self._sending or self._closed or self._retry_timer is not None:
            return
        if self._has_pending() and self._listener.command_target():
            self._sending = True
            sending = Deferred.fromCoroutine(self._send())
            sending.addErrback(raise_in_reactor, self._clock)

    def _has_pending(self) -> bool:
        return bool(
            self._orders
            or self._checkpoints
            or self._stops
            or self._caps
            or self._releases
        )

    async def _send(self) -> None:
        try:
            while self._has_pending() and not self._closed:
                incarnation = self._listener.command_target()
                if not incarnation:
                    return
                await self._send_one_call(incarnation)
        except WorkerError as exc:
            if not self._closed:
                self._listener.on_failed(exc)
                delay = self._retry_delay * (0.5 + self._rng.random())
                self._retry_timer = self._clock.call_later(delay, self._retry)
        finally:
            self._sending = False

    def _retry(self) -> None:
        self._retry_timer = None
        self.send_pending()

    async def _send_one_call(self, incarnation: str) -> None:
        if self._orders:
            await self._send_orders(incarnation)
        elif self._checkpoints:
            await self._send_end_commands(
                incarnation, self._checkpoints, self._contract.checkpoint
            )
        elif self._stops:
            await self._send_end_commands(incarnation, self._stops, self._contract.stop)
        elif self._caps:
            await self._send_caps(incarnation)
        else:
            await self._send_releases(incarnation)

    async def _send_orders(self, incarnation: str) -> None:
        orders = list(self._orders.values())
        attempts = [(order.task, order.attempt) for order in orders]
        self._sent.update(attempts)
        results = await self._contract.start(
            self._worker, self._epoch, incarnation, orders
        )
        if self._should_ignore(results):
            return
        for attempt, result in zip(attempts, results, strict=True):
            self._orders.pop(attempt, None)
            self._listener.on_start_result(attempt, result)

    async def _send_end_commands(
        self,
        incarnation: str,
        pending: dict[Attempt, None],
        command: Callable[..., object],
    ) -> None:
        attempts = list(pending)
        reports = await command(self._worker, self._epoch, incarnation, attempts)
        if self._should_ignore(reports):
            return
        for attempt in attempts:
            pending.pop(attempt, None)
        self._listener.on_end_reports(reports)

    async def _send_caps(self, incarnation: str) -> None:
        caps = [(*attempt, cap) for attempt, cap in self._caps.items()]
        reports = await self._contract.throttle(
            self._worker, self._epoch, incarnation, caps
        )
        if self._should_ignore(reports):
            return
        for task, attempt, _ in caps:
            self._caps.pop((task, attempt), None)

    async def _send_releases(self, incarnation: str) -> None:
        attempts = list(self._releases)
        reply = await self._contract.release(
            self._worker, self._epoch, incarnation, attempts
        )
        if self._should_ignore(reply):
            return
        for attempt in attempts:
            self._releases.pop(attempt, None)

    def _should_ignore(self, reply: object) -> bool:
        """Return whether to ignore a reply; notifies the listener of a rejection."""
        if self._closed:
            return True
        if isinstance(reply, StaleEpoch | WrongIncarnation):
            self._listener.on_declined(reply)
            return True
        return False


def raise_in_reactor(failure: Failure, clock: Clock) -> None:
    """Raise an unexpected error in the reactor, so that it is not lost."""
    clock.call_later(timedelta(0), failure.raiseException)
