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
from ._peer_messages import AdmissionQuery, LeadReply

#: Time for which a team's jobs are checked with the lead after one exceeded its share.
#: A team that submits too much submits the next job within this time.
CHECK_FOR = timedelta(seconds=2)
#: Longest wait for the lead's answer, after which the job is admitted. The answer takes
#: a few milliseconds; callers should not wait while the lead changes.
LEAD_TIMEOUT = timedelta(milliseconds=100)
#: Rejected callers are told to retry up to this fraction of the time later, so that
#: they don't all retry at once.
SPREAD = 0.5
#: Maximum number of teams that are tracked; the jobs of further ones are not checked.
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
        self._check_until: dict[tuple[str, str], datetime] = {}

    def record_reply(self, record: JobRecord, reply: LeadReply | None) -> None:
        """Record the lead's answer for a stored job."""
        if reply is None or not reply.check_next:
            return
        now = self._clock.now()
        if len(self._check_until) >= MAX_TEAMS:
            self._check_until = {k: t for k, t in self._check_until.items() if t > now}
        if len(self._check_until) < MAX_TEAMS:
            self._check_until[(record.pool, record.team)] = now + CHECK_FOR

    async def retry_after_s(self, record: JobRecord) -> int:
        """Return after how long the caller should retry; 0 if the job is admitted."""
        key = (record.pool, record.team)
        until = self._check_until.get(key)
        if until is None or record.spec.repeats:
            return 0
        now = self._clock.now()
        if now >= until:
            del self._check_until[key]
            return 0
        query = AdmissionQuery(
            record.pool, record.id, record.queue, record.team, record.spec.steps
        )
        call = Deferred.fromCoroutine(self._finder.send(record.pool, query))
        try:
            reply = await within(self._clock, LEAD_TIMEOUT, call)
        except DeadlineExceededError:
            reply = None
        if reply is None:
            self._log.log_event(
                LogLevel.INFO, "admission_unknown", job=record.id, pool=record.pool
            )
            return 0
        if not reply.retry_after_ms:
            return 0
        self._check_until[key] = now + CHECK_FOR
        jitter = 1 + SPREAD * self._rng.random()
        return math.ceil(reply.retry_after_ms * jitter / 1000)
