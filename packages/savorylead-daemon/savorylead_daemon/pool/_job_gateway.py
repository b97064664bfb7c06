"""Serves callers at any daemon: submits, cancels and queries jobs."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from typing import Any

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, to_millis
from savorylead.jobs import (
    JobRecord,
    JobState,
    RecordError,
    SpecError,
    decode_job,
    decode_progress,
    saved_state,
)
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import (
    CellStore,
    Committed,
    Put,
    Queue,
)
from savorylead.store import StoreError
from savorylead_daemon.concurrency import gather, spawn
from savorylead_daemon.http import JsonRequest, JsonResponse
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._adapter import CallerAnswer, CallerCall, CallerCodec, CallKind
from ._admission_check import AdmissionCheck
from ._cell_view import CellView
from ._config_feed import ConfigFeed
from ._job_announcer import JobAnnouncer, LeadProof
from ._job_locator import JobLocator
from ._job_writer import WRITE_RETRY_DELAY, JobWriter, StoreOutcome
from ._keys import cancel_key, progress_key
from ._lead_finder import LeadFinder
from ._peer_messages import (
    JobCancelled,
    LeadReply,
    PendingQuery,
    StateQuery,
)
from ._peers import Message, PeerCalls

#: Fraction of the caller's deadline that is spent on writes to the store. A caller
#: whose call fails then has more than half of its time left to try another daemon.
STORE_DEADLINE_FRACTION = 0.45
#: Before a key or a path is refused, a configuration older than this is read again.
CONFIG_CONFIRM_AGE = timedelta(milliseconds=50)
#: Timeout of that read. The platform requires that, of two calls to one daemon sent
#: 250 ms apart, the second is not answered from an older configuration version.
CONFIG_CONFIRM_TIMEOUT = timedelta(milliseconds=200)
#: Timeout of the read that proves that a refused job is unknown. The store answers
#: in 4 ms; while it does not, the job is not refused for backlog.
CLAIM_TIMEOUT = timedelta(milliseconds=200)
#: Range of the retry delay sent with a refusal, in seconds.
RETRY_AFTER_RANGE_S = (1, 3)

Kind = CallerAnswer.Kind


class JobGateway:
    """Answers callers' calls; durable state is in the store or held by a lead."""

    def __init__(
        self,
        name: str,
        codec: CallerCodec,
        store: CellStore,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
        config: ConfigFeed,
        view: CellView,
        peers: PeerCalls,
        deliver_here: Callable[[Message], Coroutine[Any, Any, LeadReply]],
        on_unreached: Callable[[str, str], None],
    ) -> None:
        """``deliver_here`` delivers a message to the leads of this daemon."""
        self._name = name
        self._codec = codec
        self._store = store
        self._clock = clock
        self._rng = rng
        self._log = log
        self._config = config
        self._view = view
        self._finder = LeadFinder(
            name,
            clock,
            rng,
            log,
            view,
            peers,
            deliver_here,
            config.store_answers,
            on_unreached,
        )
        self._admission = AdmissionCheck(clock, rng, log, self._finder)
        self._locator = JobLocator(store, config, view)
        self._job_writer = JobWriter(
            name,
            store,
            clock,
            rng,
            log,
            config,
            view,
            peers,
            self._locator,
            self._on_stored,
        )
        self._announcer = JobAnnouncer(store, clock, log, view, self._finder)
        #: Answers by call kind, answer kind and error code, for the metrics.
        self.counts: Counter[tuple[str, str, str]] = Counter()

    async def handle(self, request: JsonRequest) -> JsonResponse:
        """Answer one request of a caller."""
        call = self._codec.read(request)
        if call is None:
            return self._codec.write(self._refusal(Kind.MALFORMED, "method"))
        arrived_at = self._clock.now()
        answer = await self._answer(call, arrived_at)
        self.counts[(call.kind.value, answer.kind.value, answer.error)] += 1
        if answer.kind is not Kind.DONE:
            self._log.log_event(
                LogLevel.INFO,
                "call_refused",
                call=call.kind.value,
                path=call.path,
                answer=answer.kind.value,
                reason=answer.error,
                config_age_ms=_millis(self._config.age()),
                config_version=self._version(),
                took_ms=_millis(self._clock.now() - arrived_at),
            )
        return self._codec.write(answer)

    async def _answer(self, call: CallerCall, arrived_at: datetime) -> CallerAnswer:
        if self._config.document is None:
            return self._not_now("no_config")
        queue = self._config.match(call.host, call.path)
        if queue is None:
            if not await self._confirm_config():
                return self._not_now("config_unproved")
            queue = self._config.match(call.host, call.path)
            if queue is None:
                return self._refusal(Kind.NO_QUEUE, "no_queue")
        team = ""
        if call.key or not queue.anonymous:
            refusal, team = await self._check_key(call, queue)
            if refusal is not None:
                return refusal
        job_id = call.path[len(queue.prefix) :]
        if call.kind is CallKind.STATE and not job_id:
            return await self._pending(queue)
        if not self._codec.is_job_id(job_id):
            return self._refusal(Kind.NO_JOB, "no_job_id")
        if call.kind is CallKind.SUBMIT:
            return await self._submit(call, queue, team, job_id, arrived_at)
        if call.kind is CallKind.CANCEL:
            return await self._cancel(call, queue, job_id, arrived_at)
        return await self._state(queue, job_id)

    async def _check_key(
        self, call: CallerCall, queue: Queue
    ) -> tuple[CallerAnswer | None, str]:
        """Return a refusal, if any, and the team of the call's key."""
        if not self._config.is_fresh():
            return self._not_now("config_stale"), ""
        team = self._config.team_of(call.key)
        if team is None and not queue.anonymous:
            if not await self._confirm_config():
                return self._not_now("config_unproved"), ""
            team = self._config.team_of(call.key)
            if team is None:
                return self._refusal(Kind.UNKNOWN_KEY, "unknown_key"), ""
        return None, team or ""

    async def _confirm_config(self) -> bool:
        """Return whether the configuration is current, rereading it if necessary."""
        if not self._config.store_answers():
            return False
        age = self._config.age()
        if age is not None and age < CONFIG_CONFIRM_AGE:
            return True
        reading = Deferred.fromCoroutine(self._config.read_now())
        try:
            return await within(self._clock, CONFIG_CONFIRM_TIMEOUT, reading)
        except DeadlineExceededError:
            return False

    async def _submit(
        self,
        call: CallerCall,
        queue: Queue,
        team: str,
        job_id: str,
        arrived_at: datetime,
    ) -> CallerAnswer:
        document = self._config.document
        if document is not None and len(call.body) > document.max_body_bytes:
            return self._refusal(Kind.TOO_LARGE, "body_too_large")
        try:
            spec = self._codec.decode_job(call.body)
        except SpecError as exc:
            self._log.log_event(
                LogLevel.INFO, "job_malformed", job=job_id, detail=str(exc)
            )
            return self._refusal(Kind.MALFORMED, "job_malformed")
        record = JobRecord(
            id=job_id,
            pool=queue.pool,
            queue=queue.name,
            team=team,
            accepted_at_ms=to_millis(arrived_at),
            spec=spec,
        )
        retry_after_s = await self._admission.retry_after_s(record)
        if retry_after_s and await self._is_unknown(job_id):
            return self._refusal(Kind.NOT_NOW, "backlog", retry_after_s)
        outcome = await self._job_writer.store(
            record, _store_deadline(call, arrived_at)
        )
        if outcome is StoreOutcome.UNCLEAR:
            return self._refusal(Kind.UNCLEAR, "store_unclear")
        if outcome is StoreOutcome.NOT_DONE:
            return self._not_now("store_unavailable")
        return CallerAnswer(Kind.DONE)

    async def _is_unknown(self, job_id: str) -> bool:
        """Return whether it is certain that no job was accepted under an id.

        The lead that refuses a job knows only those of its own pool.
        """
        reading = Deferred.fromCoroutine(self._locator.claim(job_id))
        try:
            return await within(self._clock, CLAIM_TIMEOUT, reading) is None
        except (StoreError, RecordError, DeadlineExceededError) as exc:
            self._log.log_event(
                LogLevel.INFO,
                "claim_unread",
                job=job_id,
                detail=f"{type(exc).__name__}: {exc}",
            )
            return False

    async def store_for_peer(self, record: JobRecord) -> bool:
        """Store a job for a daemon that cannot reach the store.

        Returns False if nothing was written; raises StoreError if the outcome is
        unknown.
        """
        return await self._job_writer.store_for_peer(record)

    def _on_stored(
        self, record: JobRecord, revision: int, proof: LeadProof | None
    ) -> None:
        self._log.log_event(
            LogLevel.INFO,
            "job_accepted",
            job=record.id,
            queue=record.queue,
            team=record.team,
            revision_stored=revision,
            config_version=self._version(),
        )
        spawn("message of a job", self._announce_accepted(record, revision, proof))

    async def _announce_accepted(
        self, record: JobRecord, revision: int, proof: LeadProof | None
    ) -> None:
        reply = await self._announcer.announce(record, revision, proof)
        self._admission.record_reply(record, reply)

    async def _cancel(
        self, call: CallerCall, queue: Queue, job_id: str, arrived_at: datetime
    ) -> CallerAnswer:
        deadline = _store_deadline(call, arrived_at)
        while True:
            remaining = deadline - self._clock.now()
            storing = Deferred.fromCoroutine(self._store_cancel(queue, job_id))
            try:
                return await within(self._clock, remaining, storing)
            except (StoreError, RecordError, DeadlineExceededError) as exc:
                if self._clock.now() + WRITE_RETRY_DELAY >= deadline:
                    self._log.log_event(
                        LogLevel.WARNING,
                        "cancel_unclear",
                        job=job_id,
                        detail=f"{type(exc).__name__}: {exc}",
                    )
                    return self._refusal(Kind.UNCLEAR, "store_unclear")
            await self._clock.sleep(WRITE_RETRY_DELAY)

    async def _store_cancel(self, queue: Queue, job_id: str) -> CallerAnswer:
        while True:
            item = await self._locator.find(job_id, queue.pool)
            if item is None:
                return self._refusal(Kind.NO_JOB, "no_job")
            record = decode_job(item.key, item.value)
            key = cancel_key(record.pool, job_id)
            result = await self._store.commit(
                {item.key: item.revision}, [Put(key, b"1")]
            )
            if not isinstance(result, Committed):
                # The job's record was deleted meanwhile; the next read returns none.
                continue
            self._log.log_event(LogLevel.INFO, "cancel_stored", job=job_id)
            message = JobCancelled(record.pool, job_id)
            spawn(
                "message of a cancel",
                self._finder.send_with_retries(record.pool, message),
            )
            return CallerAnswer(Kind.DONE)

    async def _state(self, queue: Queue, job_id: str) -> CallerAnswer:
        state = await self._state_from_lead(queue.pool, job_id)
        if state is not None:
            return CallerAnswer(Kind.DONE, state=state)
        if not self._config.store_answers():
            return self._not_now("store_unavailable")
        try:
            item = await self._locator.find(job_id, queue.pool)
            if item is None:
                return self._refusal(Kind.NO_JOB, "no_job")
            record = decode_job(item.key, item.value)
            if record.pool != queue.pool:
                self._log.log_event(
                    LogLevel.INFO,
                    "job_in_other_pool",
                    job=job_id,
                    pool=record.pool,
                    route_pool=queue.pool,
                    config_version=self._version(),
                )
                state = await self._state_from_lead(record.pool, job_id)
            if state is None:
                state = await self._stored_state(record)
        except (StoreError, RecordError) as exc:
            self._log.log_event(
                LogLevel.INFO, "state_unread", job=job_id, detail=str(exc)
            )
            return self._not_now("store_unavailable")
        return CallerAnswer(Kind.DONE, state=state)

    async def _state_from_lead(self, pool: str, job_id: str) -> JobState | None:
        """Return a job's state, None if the pool's lead does not know it or answer."""
        reply = await self._finder.send(pool, StateQuery(pool, job_id))
        return JobState(reply.state) if reply is not None and reply.known else None

    async def _stored_state(self, record: JobRecord) -> JobState:
        """Return the job's state according to the records in the store."""
        saved = await self._store.get(progress_key(record.pool, record.id))
        if saved is None:
            return JobState.QUEUED
        progress = decode_progress(saved.key, saved.value)
        state = saved_state(record.id, progress)
        if state is not None:
            return state
        return JobState.RUNNING if progress.started else JobState.QUEUED

    async def _pending(self, queue: Queue) -> CallerAnswer:
        """Count the waiting jobs of a queue, also those in a pool that it has left."""
        pools = self._locator.served_pools(queue.pool)
        replies = await gather(
            [self._finder.send(p, PendingQuery(p, queue.name)) for p in pools]
        )
        unanswered = [
            p for p, reply in zip(pools, replies, strict=True) if reply is None
        ]
        if unanswered:
            self._log.log_event(
                LogLevel.INFO, "pending_unknown", queue=queue.name, pools=unanswered
            )
            return self._not_now("no_lead")
        return CallerAnswer(Kind.DONE, pending=sum(r.pending for r in replies))

    def _not_now(self, error: str) -> CallerAnswer:
        return self._refusal(
            Kind.NOT_NOW, error, self._rng.randint(*RETRY_AFTER_RANGE_S)
        )

    def _refusal(
        self, kind: CallerAnswer.Kind, error: str, retry_after_s: int | None = None
    ) -> CallerAnswer:
        return CallerAnswer(kind, error=error, retry_after_s=retry_after_s)

    def _version(self) -> int | None:
        document = self._config.document
        return None if document is None else document.version


def _store_deadline(call: CallerCall, arrived_at: datetime) -> datetime:
    return (
        arrived_at + timedelta(milliseconds=call.deadline_ms) * STORE_DEADLINE_FRACTION
    )


def _millis(age: timedelta | None) -> int | None:
    return None if age is None else int(age.total_seconds() * 1000)
