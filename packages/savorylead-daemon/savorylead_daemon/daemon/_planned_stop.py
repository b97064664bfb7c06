"""A planned stop, which truncates no response and ends in bounded time."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Coroutine, Sequence
from datetime import datetime, timedelta
from typing import Any

from twisted.internet.defer import CancelledError

from savorylead.clock import Clock
from savorylead_daemon.http import JsonSite
from savorylead_daemon.observability import EventLog
from savorylead_daemon.routing import shielded
from savorylead_daemon.settings import LogLevel

#: Time that the load balancer needs to detect that this daemon is not ready.
BALANCER_DETECTION_TIME = timedelta(seconds=1)
#: Interval between checks whether all connections have closed.
DRAIN_CHECK_INTERVAL = timedelta(milliseconds=50)
#: Time limit for writing the last responses.
LAST_RESPONSES_TIMEOUT = timedelta(seconds=1)
#: Time limit for deleting this daemon's record in the store.
LEAVE_TIMEOUT = timedelta(seconds=2)


class StoppingDaemon(ABC):
    """The operations of a daemon that a planned stop calls."""

    @abstractmethod
    def drain(self) -> None:
        """Answer waiting calls soon with the current state."""

    @abstractmethod
    async def hand_over(self) -> None:
        """Resign from every led shard; callers are still served."""

    @abstractmethod
    async def stop_listening(self) -> None:
        """Accept no further connections."""

    @abstractmethod
    async def leave(self) -> None:
        """Leave the cell."""


class PlannedStop:
    """Runs the steps of a stop in their order.

    A store that is down must not delay the end of the process: shards that can't be
    handed over in time are abandoned, and taken over once their leases have expired.
    """

    def __init__(
        self,
        daemon: StoppingDaemon,
        sites: Sequence[JsonSite],
        clock: Clock,
        log: EventLog,
        bound: timedelta,
    ) -> None:
        """Create the stop; ``bound`` limits handing over and draining together."""
        self._daemon = daemon
        self._sites = sites
        self._clock = clock
        self._log = log
        self._bound = bound

    async def run(self) -> None:
        """Stop the daemon; calls that are still open at the end are cancelled."""
        await self._clock.sleep(BALANCER_DETECTION_TIME)
        deadline = self._clock.now() + self._bound
        self._daemon.drain()
        await self._step("hand_over", self._daemon.hand_over(), deadline)
        await self._step("stop_listening", self._daemon.stop_listening(), deadline)
        for site in self._sites:
            site.end_connections()
        await self._wait_for_connections(deadline)
        for site in self._sites:
            site.cancel_requests()
        await self._wait_for_connections(self._clock.now() + LAST_RESPONSES_TIMEOUT)
        leave_deadline = self._clock.now() + LEAVE_TIMEOUT
        await self._step("leave", self._daemon.leave(), leave_deadline)
        self._log.log_event(
            LogLevel.INFO, "daemon_stopped", open_connections=self._connections()
        )

    async def _wait_for_connections(self, deadline: datetime) -> None:
        """Wait until every response is written, at most until the deadline."""
        while self._connections() and self._clock.now() < deadline:
            await self._clock.sleep(DRAIN_CHECK_INTERVAL)

    async def _step(
        self, name: str, work: Coroutine[Any, Any, None], deadline: datetime
    ) -> None:
        """Run a step, or cancel it at the deadline and continue."""
        running = shielded(work)
        # A step that completes at once runs even if earlier ones used up the time.
        remaining = max(deadline - self._clock.now(), DRAIN_CHECK_INTERVAL)
        timer = self._clock.call_later(remaining, running.cancel)
        try:
            await running
        except CancelledError:
            self._log.log_event(LogLevel.WARNING, "stop_step_given_up", step=name)
        except Exception as exc:
            self._log.log_event(
                LogLevel.ERROR, "stop_step_failed", step=name, error=repr(exc)
            )
        finally:
            timer.cancel()

    def _connections(self) -> int:
        return sum(site.connections for site in self._sites)
