"""Writes accepted jobs to the store, through another daemon where necessary."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure

from savorylead.clock import Clock
from savorylead.jobs import JobRecord, RecordError, decode_job, encode_job
from savorylead.links import AnswerTimes, DeadlineExceededError, within
from savorylead.pools import CellStore, Committed, Conflict, Put, StoreRefusedError
from savorylead.store import KeyValue, StoreError
from savorylead_daemon.concurrency import spawn
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._cell_view import CellView, MemberRecord
from ._config_feed import ConfigFeed
from ._job_announcer import LeadProof
from ._job_claims import JobClaim, encode_claim
from ._job_locator import JobLocator
from ._keys import claim_key, job_key, lead_key, pool_key
from ._peer_messages import JobStoreRequest
from ._peers import PeerCalls, PeerError

_log = Logger()

#: Delay before a write to the store is retried.
WRITE_RETRY_DELAY = timedelta(milliseconds=60)
#: Timeout of one write; a peer is asked in parallel once its answer is overdue. A write
#: takes 4 ms, and some 300 ms when the store is eighty times slower.
WRITE_TIMEOUT = timedelta(milliseconds=600)
#: Maximum number of peers that are asked to store one job. During an outage more peers
#: would only fail in the same way.
MAX_STORE_PEERS = 3
#: Maximum number of transactions of one write: further ones are needed if the view of
#: the lead is outdated, and if the claim of a deleted job is left.
MAX_COMMITS = 4


class StoreOutcome(enum.Enum):
    """Outcome of an attempt to store a job."""

    DONE = "done"
    #: Nothing was written, and no pending write can take effect.
    NOT_DONE = "not_done"
    #: A write may have taken effect, or may still do so.
    UNCLEAR = "unclear"


class _Attempts:
    """Concurrent attempts to store one job; the first success decides."""

    def __init__(self) -> None:
        #: Fires with DONE on the first success, or once all attempts have failed.
        self.outcome: Deferred[StoreOutcome] = Deferred()
        self._pending = 0
        self._unclear = False

    def add(self, attempt: Coroutine[Any, Any, StoreOutcome]) -> None:
        """Start one more attempt."""
        self._pending += 1
        Deferred.fromCoroutine(attempt).addCallbacks(self._on_outcome, self._on_error)

    def _on_outcome(self, outcome: StoreOutcome) -> None:
        self._pending -= 1
        self._unclear = self._unclear or outcome is StoreOutcome.UNCLEAR
        if self.outcome.called:
            return
        if outcome is StoreOutcome.DONE:
            self.outcome.callback(outcome)
        elif not self._pending:
            self.outcome.callback(StoreOutcome.UNCLEAR if self._unclear else outcome)

    def _on_error(self, failure: Failure) -> None:
        """Propagate an unexpected error, or log it if the outcome is decided."""
        if self.outcome.called:
            _log.failure(
                "an attempt to store a job raised an unexpected error", failure
            )
        else:
            self.outcome.errback(failure)


class JobWriter:
    """Writes each job's record exactly once, whatever answers are lost.

    Each write claims the job's id and expects it to be unclaimed, so concurrent
    attempts are safe, also by daemons for which the route names another pool: the
    second one finds the job stored.
    """

    def __init__(
        self,
        name: str,
        store: CellStore,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
        config: ConfigFeed,
        view: CellView,
        peers: PeerCalls,
        locator: JobLocator,
        on_stored: Callable[[JobRecord, int, LeadProof | None], None],
    ) -> None:
        """``on_stored`` is called with each durable job's record and revision.

        Its third argument is None if the lead of the job's pool was not read.
        """
        self._name = name
        self._store = store
        self._clock = clock
        self._rng = rng
        self._log = log
        self._config = config
        self._view = view
        self._peers = peers
        self._locator = locator
        self._on_stored = on_stored
        self._answer_times = AnswerTimes()

    async def store(self, record: JobRecord, deadline: datetime) -> StoreOutcome:
        """Store a job by ``deadline``; return the outcome known by then.

        Returns early while the store is unavailable here, so that the caller can try
        another daemon.
        """
        others = self._view.others(self._name)
        peers = self._rng.sample(others, min(MAX_STORE_PEERS, len(others)))
        unclear = False
        while True:
            outcome = StoreOutcome.NOT_DONE
            if self._config.store_answers():
                writing = self._write(record, deadline)
                outcome = await self._try_with_peers(writing, peers, record, deadline)
            if (
                outcome is not StoreOutcome.DONE
                and peers
                and self._clock.now() < deadline
            ):
                unclear = unclear or outcome is StoreOutcome.UNCLEAR
                asking = self._write_through_peer(peers.pop(), record, deadline)
                outcome = await self._try_with_peers(asking, peers, record, deadline)
            if outcome is StoreOutcome.DONE:
                return outcome
            unclear = unclear or outcome is StoreOutcome.UNCLEAR
            can_retry = self._clock.now() + WRITE_RETRY_DELAY < deadline
            if not unclear and not self._config.store_answers():
                if peers and can_retry:
                    continue
                return self._log_not_stored(record, StoreOutcome.NOT_DONE)
            if not can_retry:
                return self._log_not_stored(
                    record, StoreOutcome.UNCLEAR if unclear else StoreOutcome.NOT_DONE
                )
            await self._clock.sleep(WRITE_RETRY_DELAY)

    async def store_for_peer(self, record: JobRecord) -> bool:
        """Store a job for a daemon that cannot reach the store.

        Returns False if nothing was written; raises StoreError if the outcome is
        unknown.
        """
        if not self._config.store_answers():
            return False
        try:
            await self._commit(record)
        except StoreRefusedError as exc:
            self._log_failure(record, StoreOutcome.NOT_DONE, exc)
            return False
        except StoreError as exc:
            self._log_failure(record, StoreOutcome.UNCLEAR, exc)
            raise
        return True

    async def _try_with_peers(
        self,
        attempt: Coroutine[Any, Any, StoreOutcome],
        peers: list[MemberRecord],
        record: JobRecord,
        deadline: datetime,
    ) -> StoreOutcome:
        """Make an attempt, and others through peers while answers are overdue."""
        attempts = _Attempts()
        attempts.add(attempt)
        request = spawn(
            "store a job through peers",
            self._ask_peers_when_overdue(attempts, peers, record, deadline),
        )
        try:
            return await attempts.outcome
        finally:
            request.cancel()

    async def _ask_peers_when_overdue(
        self,
        attempts: _Attempts,
        peers: list[MemberRecord],
        record: JobRecord,
        deadline: datetime,
    ) -> None:
        """Ask further peers, each when the last answer is overdue, until cancelled."""
        overdue_count = 0
        while peers:
            await self._clock.sleep(self._answer_times.overdue_after(overdue_count))
            overdue_count += 1
            attempts.add(self._write_through_peer(peers.pop(), record, deadline))

    async def _write(self, record: JobRecord, deadline: datetime) -> StoreOutcome:
        timeout = min(WRITE_TIMEOUT, deadline - self._clock.now())
        writing = Deferred.fromCoroutine(self._commit(record))
        try:
            await within(self._clock, timeout, writing)
        except StoreRefusedError as exc:
            self._log_failure(record, StoreOutcome.NOT_DONE, exc)
            return StoreOutcome.NOT_DONE
        except (StoreError, DeadlineExceededError) as exc:
            self._log_failure(record, StoreOutcome.UNCLEAR, exc)
            return StoreOutcome.UNCLEAR
        return StoreOutcome.DONE

    async def _commit(self, record: JobRecord) -> None:
        """Store a job, or find that it is stored already.

        Raises StoreRefusedError only if nothing was written and no job of this id was
        found, and StoreError if that is unknown.
        """
        claim, lead = claim_key(record.id), lead_key(record.pool)
        expected = dict.fromkeys(
            [claim, *self._locator.record_keys(record.id, record.pool)], 0
        )
        queue = self._config.queue(record.queue)
        puts = [
            Put(job_key(record.pool, record.id), encode_job(record)),
            Put(claim, encode_claim(JobClaim.of(record.pool, queue))),
        ]
        if not self._locator.is_named(record.pool):
            # The daemon that took the job, or this one, has an outdated configuration.
            puts.append(Put(pool_key(record.pool), b"1"))
        # Expecting the lead's key proves that its term is not over when the job is
        # stored.
        proof = LeadProof.of_view(self._view.leads.get(record.pool))
        for _ in range(MAX_COMMITS):
            began_at = self._clock.now()
            result = await self._store.commit({**expected, lead: proof.revision}, puts)
            self._answer_times.add_sample(self._clock.now() - began_at)
            if isinstance(result, Committed):
                self._on_stored(record, result.revision, proof)
                return
            proof = LeadProof.of_key(result.current[lead])
            current = {key: _revision(result.current[key]) for key in expected}
            if current == expected:
                continue
            item = await self._find_stored(record, result)
            if item is not None:
                # A record that was found by a later read may be newer than the proof.
                is_proved = result.current.get(item.key) == item
                self._report_already_stored(record, item, proof if is_proved else None)
                return
            # A daemon of an earlier version has deleted the record of an ended job, but
            # not its claim.
            expected[claim] = current[claim]
        raise StoreRefusedError(f"the records beside job {record.id} keep changing")

    async def _find_stored(
        self, record: JobRecord, conflict: Conflict
    ) -> KeyValue | None:
        """Return the stored record of a job whose id is claimed, None if there is none.

        Raises StoreError other than StoreRefusedError, as the job may be stored.
        """
        others = (claim_key(record.id), lead_key(record.pool))
        for key, item in conflict.current.items():
            if item is not None and key not in others:
                return item
        try:
            return await self._locator.find(record.id, record.pool)
        except (StoreError, RecordError) as exc:
            raise StoreError(f"the id {record.id} is claimed: {exc}") from exc

    def _report_already_stored(
        self, record: JobRecord, item: KeyValue, proof: LeadProof | None
    ) -> None:
        try:
            stored = decode_job(item.key, item.value)
        except RecordError as exc:
            self._log.log_event(
                LogLevel.ERROR, "job_record_unreadable", detail=str(exc)
            )
            return
        self._log.log_event(
            LogLevel.INFO,
            "job_known",
            job=record.id,
            pool=stored.pool,
            route_pool=record.pool,
            revision_stored=item.revision,
        )
        # The proof concerns the pool that the route names.
        is_same_pool = stored.pool == record.pool
        self._on_stored(stored, item.revision, proof if is_same_pool else None)

    async def _write_through_peer(
        self, peer: MemberRecord, record: JobRecord, deadline: datetime
    ) -> StoreOutcome:
        remaining = deadline - self._clock.now()
        request = Deferred.fromCoroutine(
            self._peers.send_request(peer.address, JobStoreRequest(record))
        )
        try:
            stored = await within(self._clock, remaining, request)
        except PeerError as exc:
            outcome = StoreOutcome.UNCLEAR if exc.sent else StoreOutcome.NOT_DONE
            self._log_failure(record, outcome, exc, peer.name)
            return outcome
        except DeadlineExceededError as exc:
            self._log_failure(record, StoreOutcome.UNCLEAR, exc, peer.name)
            return StoreOutcome.UNCLEAR
        self._log.log_event(
            LogLevel.INFO,
            "job_stored_by_peer",
            job=record.id,
            peer=peer.name,
            stored=stored,
        )
        return StoreOutcome.DONE if stored else StoreOutcome.NOT_DONE

    def _log_failure(
        self, record: JobRecord, outcome: StoreOutcome, exc: Exception, peer: str = ""
    ) -> None:
        self._log.log_event(
            LogLevel.INFO,
            "job_write_failed",
            job=record.id,
            outcome=outcome.value,
            peer=peer,
            detail=f"{type(exc).__name__}: {exc}",
        )

    def _log_not_stored(self, record: JobRecord, outcome: StoreOutcome) -> StoreOutcome:
        age = self._config.age()
        self._log.log_event(
            LogLevel.WARNING,
            "job_not_stored",
            job=record.id,
            unclear=outcome is StoreOutcome.UNCLEAR,
            config_age_ms=None if age is None else age // timedelta(milliseconds=1),
        )
        return outcome


def _revision(item: KeyValue | None) -> int:
    return 0 if item is None else item.revision
