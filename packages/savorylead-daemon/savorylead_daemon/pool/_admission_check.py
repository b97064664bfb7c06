"""Asks the lead about jobs of teams that send more than their share."""

from __future__ import annotations

import math
import random
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.jobs import JobRecord
from savorylead.links import DeadlineExceededError, within
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._lead_finder import LeadFinder
from ._peer_messages import AdmissionAsked, Told

#: How long after a job beyond its share the jobs of a team are asked for. A team that
#: sends too much sends the next one within this time.
ASK_FOR = timedelta(seconds=2)
#: Longest wait for the lead's word, after which the job is taken in: it takes a few
#: milliseconds, and nobody should wait for it through a change of the lead.
PATIENCE = timedelta(milliseconds=100)
#: Callers that are turned away come back up to this share of the time later, so that
#: they don't come all at once.
SPREAD = 0.5
#: Teams that are remembered; more would not be asked for.
MAX_TEAMS = 1_000


class AdmissionCheck:
    """Turns away, before they are stored, jobs that would wait in vain.

    Only the lead knows the backlog and the shares. It is asked only where a job of the
    team was beyond its share just before, so other callers pay nothing.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, log: EventLog, finder: LeadFinder
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._log = log
        self._finder = finder
        #: Until when the jobs of a team are asked for, by pool and team.
        self._ask_until: dict[tuple[str, str], datetime] = {}

    def note(self, record: JobRecord, told: Told | None) -> None:
        """Take over what the lead said of a job that was stored."""
        if told is None or not told.asks_first:
            return
        now = self._clock.now()
        if len(self._ask_until) >= MAX_TEAMS:
            self._ask_until = {k: t for k, t in self._ask_until.items() if t > now}
        if len(self._ask_until) < MAX_TEAMS:
            self._ask_until[(record.pool, record.team)] = now + ASK_FOR

    async def retry_after_s(self, record: JobRecord) -> int:
        """Return when the caller should come back; 0 if the job is taken in."""
        key = (record.pool, record.team)
        until = self._ask_until.get(key)
        if until is None or record.spec.repeats:
            return 0
        now = self._clock.now()
        if now >= until:
            del self._ask_until[key]
            return 0
        message = AdmissionAsked(
            record.pool, record.id, record.queue, record.team, record.spec.steps
        )
        asking = Deferred.fromCoroutine(self._finder.ask(record.pool, message))
        try:
            told = await within(self._clock, PATIENCE, asking)
        except DeadlineExceededError:
            told = None
        if told is None:
            self._log.log_event(
                LogLevel.INFO, "admission_unknown", job=record.id, pool=record.pool
            )
            return 0
        if not told.retry_after_ms:
            return 0
        self._ask_until[key] = now + ASK_FOR
        spread = 1 + SPREAD * self._rng.random()
        return math.ceil(told.retry_after_ms * spread / 1000)
