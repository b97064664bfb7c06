"""Admission checks with the lead for jobs of teams that exceed their share."""

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

#: Time for which a team's jobs are checked with the lead after one exceeded its share.
#: A team that submits too much submits the next job within this time.
ASK_FOR = timedelta(seconds=2)
#: Longest wait for the lead's answer, after which the job is admitted. The answer takes
#: a few milliseconds; callers should not wait while the lead changes.
PATIENCE = timedelta(milliseconds=100)
#: Rejected callers are told to retry up to this fraction of the time later, so that
#: they don't all retry at once.
SPREAD = 0.5
#: Most teams that are tracked; the jobs of further ones are not checked.
MAX_TEAMS = 1_000


class AdmissionCheck:
    """Rejects jobs that could not end in time before they are stored.

    Only the lead knows the backlog and the shares. It is queried only if a job of the
    team has exceeded the share recently, so other callers have no extra latency.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, log: EventLog, finder: LeadFinder
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._log = log
        self._finder = finder
        #: Time until which a team's jobs are checked, by pool and team.
        self._ask_until: dict[tuple[str, str], datetime] = {}

    def note(self, record: JobRecord, told: Told | None) -> None:
        """Record the lead's answer for a stored job."""
        if told is None or not told.asks_first:
            return
        now = self._clock.now()
        if len(self._ask_until) >= MAX_TEAMS:
            self._ask_until = {k: t for k, t in self._ask_until.items() if t > now}
        if len(self._ask_until) < MAX_TEAMS:
            self._ask_until[(record.pool, record.team)] = now + ASK_FOR

    async def retry_after_s(self, record: JobRecord) -> int:
        """Return after how long the caller should retry; 0 if the job is admitted."""
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
