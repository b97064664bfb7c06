"""Polls the other daemons for the shards they lead and their view of the store."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.config import PeerObservation
from savorylead.domains import Member
from savorylead_daemon.lead import Periodic
from savorylead_daemon.peers import (
    DigestAnswer,
    DigestMessage,
    PeerClient,
    PeerCodecError,
    PeerError,
)

from ._directory import ShardDirectory
from ._message_handler import MessageHandler


class DigestTimes(NamedTuple):
    """Intervals and ages of the polls."""

    #: While the store answers this daemon.
    every: timedelta = timedelta(seconds=4)
    #: While the store does not answer this daemon, since then only the peers can
    #: confirm that the configuration is still the newest.
    every_in_outage: timedelta = timedelta(seconds=1)
    #: The store counts as down for a daemon that got no answer for this long.
    outage_after: timedelta = timedelta(seconds=2)
    #: An older digest is no longer evidence about the store.
    observation_max_age: timedelta = timedelta(seconds=5)


class TimedObservation(NamedTuple):
    """A peer's observation of the store, and when it was requested."""

    requested_at: datetime
    observation: PeerObservation


class DigestPoller:
    """Refreshes the directory's digests and the peers' observations of the store."""

    def __init__(
        self,
        own_name: str,
        directory: ShardDirectory,
        local: MessageHandler,
        client: PeerClient,
        clock: Clock,
        times: DigestTimes,
        own_store_age: Callable[[], timedelta | None],
        on_observation: Callable[[], None],
    ) -> None:
        self._own_name = own_name
        self._directory = directory
        self._local = local
        self._client = client
        self._clock = clock
        self._times = times
        self._own_store_age = own_store_age
        self._on_observation = on_observation
        self._pending: set[str] = set()
        self._observations: dict[str, TimedObservation] = {}
        self._periodic: Periodic | None = None
        self._last_round = clock.now() - times.every

    def begin(self) -> None:
        """Poll all peers now, and periodically from now on."""
        self._periodic = Periodic(
            self._clock, self._times.every_in_outage, self._poll_if_due
        )
        self.poll()

    def close(self) -> None:
        """Stop polling."""
        if self._periodic is not None:
            self._periodic.close()

    def poll(self) -> None:
        """Poll every daemon that has no request pending."""
        self._last_round = self._clock.now()
        self._directory.record_digest(self._local.digest(), self._clock.now())
        for member in list(self._directory.members.values()):
            if member.name != self._own_name and member.name not in self._pending:
                self._pending.add(member.name)
                Deferred.fromCoroutine(self._poll_peer(member))

    def peers(self) -> list[str]:
        """Return the names of all other members."""
        return [n for n in sorted(self._directory.members) if n != self._own_name]

    def observations(self) -> dict[str, TimedObservation]:
        """Return the last observation of each peer, if recent."""
        oldest = self._clock.now() - self._times.observation_max_age
        return {
            name: timed
            for name, timed in self._observations.items()
            if timed.requested_at >= oldest and name in self._directory.members
        }

    def store_is_down_here(self) -> bool:
        """Return whether this daemon has had no recent answer from the store."""
        age = self._own_store_age()
        return age is None or age >= self._times.outage_after

    def sees_outage(self, observation: PeerObservation) -> bool:
        """Return whether a peer has had no recent answer from the store."""
        age = observation.store_age
        return age is None or age >= self._times.outage_after

    def _poll_if_due(self) -> None:
        due_at = self._last_round + self._times.every
        if self.store_is_down_here() or self._clock.now() >= due_at:
            self.poll()

    async def _poll_peer(self, member: Member) -> None:
        requested_at = self._clock.now()
        try:
            answer, revision = await self._client.send_request_with_revision(
                member, DigestMessage(self._own_name)
            )
        except (PeerError, PeerCodecError):
            return
        finally:
            self._pending.discard(member.name)
        if not isinstance(answer, DigestAnswer):
            return
        self._directory.record_digest(answer, self._clock.now())
        observation = PeerObservation(
            member.name,
            revision,
            _millis(answer.confirmed_age_ms),
            _millis(answer.store_age_ms),
        )
        self._observations[member.name] = TimedObservation(requested_at, observation)
        self._on_observation()


def _millis(amount_ms: int | None) -> timedelta | None:
    return None if amount_ms is None else timedelta(milliseconds=amount_ms)
