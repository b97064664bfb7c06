"""The workers of a pool, and their listing, claiming, recording and removal."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta

from savorylead.clock import Clock, to_millis
from savorylead.jobs import Run
from savorylead.pools import (
    MAX_ORDER_DELAY_MS,
    PoolWorker,
    UnansweredStarts,
    WorkerCalls,
    WorkerEntry,
)
from savorylead.resources import ZERO, Resources
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._cell_lease import VALID_FOR
from ._pool_records import PoolRecords, RecordedWorker
from ._pool_state import PoolState
from ._session_owner import SessionOwner
from ._term import Term
from ._worker_answers import WorkerAnswers
from ._worker_clock import CLOCK_DRIFT
from ._worker_session import WORKER_LEASE_MS, WorkerSession

#: Added to the longest time that a worker's lease may last, for calls in flight and
#: for differences between the clocks of daemons.
FORMER_LEASE_MARGIN = timedelta(milliseconds=300)
#: A worker without runs is removed once it has been unlisted for this long. Entries
#: that lapsed in a store outage reappear two seconds after the store.
UNLISTED_WAIT = timedelta(milliseconds=2_500)
#: A lead that no worker has answered for this long (seven polls of 400 ms each)
#: resigns. Workers of one failure domain fail together, but not those of all domains.
NO_ANSWER_TIMEOUT = timedelta(seconds=3)
#: With fewer silent workers, the fault may be theirs rather than the lead's.
MIN_SILENT_WORKERS = 2
#: Maximum number of workers without an answer that a new lead logs one by one.
MAX_LOGGED_FORMER_LEASES = 20
#: A task is moved off a leaving worker unless it is expected to end this long before
#: the worker does.
LEAVING_MARGIN_MS = 500


def former_lease_timeout(lease_ms: int) -> timedelta:
    """Return the time after which a worker's lease is over on the worker's own clock.

    It counts from the last act of the lead that gave the lease.
    """
    return timedelta(milliseconds=lease_ms) / (1 - CLOCK_DRIFT) + FORMER_LEASE_MARGIN


class PoolFleet:
    """Opens and closes sessions, and locates the runs of earlier leads."""

    def __init__(
        self,
        state: PoolState,
        owner: SessionOwner,
        calls: WorkerCalls,
        records: PoolRecords,
        clock: Clock,
        log: EventLog,
        term: Term,
        max_lease_ms: int,
    ) -> None:
        """Workers shorten longer leases to ``max_lease_ms`` milliseconds."""
        self._max_lease_ms = max_lease_ms
        self._state = state
        self._owner = owner
        self._calls = calls
        self._records = records
        self._clock = clock
        self._log = log
        self._term = term
        self._answers = WorkerAnswers(clock, lambda: len(state.sessions))
        self._began_at = clock.now()
        self._loaded = False
        self._located = False
        #: Workers that earlier leads may have used, with the incarnation in which they
        #: gave each only leases of usual length; 0 if they may have given a longer one.
        self._to_locate: Mapping[str, int] = {}
        #: Whether the lead of an earlier term may have acted after its end.
        self._ended_early = False
        #: Whether the platform's list has been read in this term.
        self._is_listing_known = False
        self._to_locate_is_known = True
        self._unlisted_since: dict[str, int] = {}
        #: By worker; they outlast the sessions, since a worker may return.
        self._unanswered_starts: dict[str, UnansweredStarts] = {}
        #: Failure domains in which nothing may start.
        self._evacuated: frozenset[str] = frozenset()
        #: Start of the period in which no worker has answered its last poll.
        self._silent_since: datetime | None = None

    def load(
        self, recorded: Sequence[RecordedWorker] | None, ended_early: bool
    ) -> None:
        """Claim the workers that earlier leads may have used; None if unknown.

        ``ended_early`` is whether the lead of an earlier term may have acted after its
        end.
        """
        self._to_locate_is_known = recorded is not None
        self._ended_early = ended_early
        self._loaded = True
        self._open_recorded(recorded or ())
        for session in self._state.sessions.values():
            session.poll_soon()

    def renew(self, recorded: Sequence[RecordedWorker]) -> None:
        """Renew the workers' leases before the jobs are loaded.

        Load pattern: on a low-bandwidth link a new lead takes longer to read its
        records than the leases last that the former lead renewed.
        """
        self._open_recorded(recorded)

    def _open_recorded(self, recorded: Sequence[RecordedWorker]) -> None:
        self._to_locate = {r.entry.id: r.entry.incarnation_start_ms for r in recorded}
        for each in recorded:
            self._open_session(each.entry)
            session = self._state.sessions[each.entry.id]
            session.recorded_incarnation_ms = each.entry.incarnation_start_ms

    def close(self) -> None:
        """Close all sessions."""
        for session in self._state.sessions.values():
            session.close()
        self._state.sessions.clear()

    def leases_left_ms(self) -> list[int]:
        """Return how long each lease that may still hold does, on its worker's clock.

        Until this lead knows that they are over, leases of earlier leads count too.
        """
        left_ms = [s.lease_left_ms() for s in self._state.sessions.values()]
        return [each for each in left_ms if each > 0]

    def usable(self) -> list[PoolWorker]:
        """Return the workers that are recorded for the next lead."""
        return [
            w for w in self._state.workers.values() if self._records.is_recorded(w.id)
        ]

    def set_workers(self, entries: Sequence[WorkerEntry]) -> None:
        """Apply the platform's current list of this pool's workers."""
        now_ms = self._state.now_ms()
        self._is_listing_known = True
        listed = {entry.id for entry in entries}
        for entry in entries:
            self._unlisted_since.pop(entry.id, None)
            self._open_session(entry)
            worker = self._state.workers[entry.id]
            if not worker.listed:
                self._owner.worker_listed(worker)
            worker.listed = True
        for worker_id in [w for w in self._state.workers if w not in listed]:
            self._note_unlisted(worker_id, now_ms)
        self.record_workers()
        self._drain_leaving_workers()

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Start nothing in these failure domains; what runs there continues."""
        self._evacuated = domains
        for worker in self._state.workers.values():
            worker.evacuated = worker.entry.zone in domains

    def record_workers(self) -> None:
        """Record the workers that are or may be in use; the next lead claims them.

        Unreachable workers that cannot have runs are left out, since claiming them
        would only delay the next lead. So are idle leaving workers: they are removed
        soon and get no new tasks.
        """
        used = [
            w
            for w in self._state.workers.values()
            if w.runs or w.unknown_runs or (w.usable and w.entry.accepting)
        ]
        unlocated = self._to_locate if not self._located else ()
        used += [
            self._state.workers[w]
            for w in unlocated
            if w in self._state.workers and not self._state.workers[w].usable
        ]
        self._records.save_workers([self._record_of(w) for w in used])

    def _record_of(self, worker: PoolWorker) -> RecordedWorker:
        settled_ms = self._state.sessions[worker.id].settled_incarnation_ms
        return RecordedWorker(worker.entry._replace(incarnation_start_ms=settled_ms))

    def _open_session(self, entry: WorkerEntry) -> None:
        worker = self._state.workers.get(entry.id)
        if worker is not None:
            if worker.entry.accepting and not entry.accepting:
                self._log.log_event(LogLevel.INFO, "worker_leaving", worker=entry.id)
            self._update_entry(worker, entry)
            return
        worker = self._state.workers[entry.id] = PoolWorker(entry)
        worker.evacuated = entry.zone in self._evacuated
        worker.cold_until_ms = self._state.now_ms() + entry.cold_remaining_ms
        session = WorkerSession(
            worker,
            self._owner,
            self._calls,
            self._clock,
            self._log,
            self._answers,
            self._max_lease_ms,
            self._unanswered_starts_of(entry.id),
        )
        self._state.sessions[entry.id] = session
        session.start()

    def _unanswered_starts_of(self, worker_id: str) -> UnansweredStarts:
        starts = self._unanswered_starts.get(worker_id)
        if starts is None:
            former_until_ms = to_millis(self._began_at) + MAX_ORDER_DELAY_MS
            starts = self._unanswered_starts[worker_id] = UnansweredStarts(
                former_until_ms
            )
        return starts

    def _forget_unanswered_starts(self, now_ms: int) -> None:
        """Forget removed workers that no order can reach any more."""
        for worker_id, starts in list(self._unanswered_starts.items()):
            if worker_id not in self._state.sessions and not starts.may_arrive(now_ms):
                del self._unanswered_starts[worker_id]

    def _update_entry(self, worker: PoolWorker, entry: WorkerEntry) -> None:
        # Its entry is rewritten only every few seconds, so an unchanged remaining time
        # counts from when it was first read.
        if entry.cold_remaining_ms != worker.entry.cold_remaining_ms:
            worker.cold_until_ms = self._state.now_ms() + entry.cold_remaining_ms
        if entry.incarnation_start_ms != worker.entry.incarnation_start_ms:
            # An idle worker is polled rarely, and may have restarted meanwhile.
            self._state.sessions[entry.id].poll_at_once()
        worker.entry = entry
        worker.is_leaving = not entry.accepting
        worker.evacuated = entry.zone in self._evacuated

    def _note_unlisted(self, worker_id: str, now_ms: int) -> None:
        worker = self._state.workers[worker_id]
        worker.entry = worker.entry._replace(accepting=False)
        since_ms = self._unlisted_since.setdefault(worker_id, now_ms)
        unlisted = timedelta(milliseconds=now_ms - since_ms)
        if unlisted < UNLISTED_WAIT or worker.runs or not self.all_runs_located():
            return
        if self._unanswered_starts[worker_id].may_arrive(now_ms):
            # If it returns, it must soon be told which start orders to refuse.
            return
        self._log.log_event(LogLevel.INFO, "worker_gone", worker=worker_id)
        session = self._state.sessions.pop(worker_id)
        session.note_gone()
        session.close()
        del self._state.workers[worker_id]
        del self._unlisted_since[worker_id]
        self._forget_unanswered_starts(now_ms)

    def is_isolated(self) -> bool:
        """Return whether no worker has answered this daemon for too long."""
        sessions = self._state.sessions.values()
        is_silent = len(sessions) >= MIN_SILENT_WORKERS and all(
            session.is_silent for session in sessions
        )
        now = self._clock.now()
        if not is_silent:
            self._silent_since = None
        elif self._silent_since is None:
            self._silent_since = now
        since = self._silent_since
        return since is not None and now - since >= NO_ANSWER_TIMEOUT

    def unlocated_resources(self) -> Resources:
        """Return an upper bound on the resources of runs that are not located yet."""
        total = ZERO
        if self.all_runs_located():
            return total
        for worker_id in self._to_locate:
            session = self._state.sessions.get(worker_id)
            if session is not None and self._may_have_unknown_runs(session):
                total = total.plus(session.worker.entry.capacity)
        return total

    def all_runs_located(self) -> bool:
        """Return whether every run of earlier leads is known here or has ended."""
        if self._located:
            return True
        if not self._loaded:
            return False
        if not self._to_locate_is_known and not self._have_expired(self._max_lease_ms):
            return False
        sessions = [self._state.sessions.get(w) for w in self._to_locate]
        if not any(s is not None and self._may_have_unknown_runs(s) for s in sessions):
            self._located = True
            waited_ms = to_millis(self._clock.now()) - to_millis(self._began_at)
            self._log_former_leases_over(waited_ms)
            for session in sessions:
                if session is not None and not session.claimed:
                    session.note_former_lease_over()
            self._log.log_event(
                LogLevel.INFO,
                "runs_located",
                pool=self._term.pool,
                term=self._term.number,
                waited_ms=waited_ms,
                unreached=[
                    w
                    for w in self._to_locate
                    if w in self._state.sessions and not self._state.sessions[w].claimed
                ],
            )
        return self._located

    def _log_former_leases_over(self, waited_ms: int) -> None:
        """Log the workers whose runs count as over although they did not answer."""
        sessions = self._state.sessions
        silent = [
            worker_id
            for worker_id in sorted(self._to_locate.keys() & sessions.keys())
            if not sessions[worker_id].claimed and not sessions[worker_id].is_replaced
        ]
        for worker_id in silent[:MAX_LOGGED_FORMER_LEASES]:
            is_listed = self._state.workers[worker_id].listed
            self._log.log_event(
                LogLevel.INFO,
                "former_lease_over",
                worker=worker_id,
                pool=self._term.pool,
                term=self._term.number,
                waited_ms=waited_ms,
                listed=is_listed and worker_id not in self._unlisted_since,
            )

    def reaches_all_runs(self) -> bool:
        """Return whether every run is known, and every worker with runs answers."""
        return self.all_runs_located() and not any(
            session.is_silent and (session.worker.runs or session.worker.unknown_runs)
            for session in self._state.sessions.values()
        )

    def _may_have_unknown_runs(self, session: WorkerSession) -> bool:
        """Return whether unknown runs of earlier leads may continue on the worker."""
        if session.claimed or session.is_replaced:
            return False
        if session.was_renewed and not session.lease_is_over():
            return True
        return not self._have_expired(self._longest_former_lease_ms(session))

    def _longest_former_lease_ms(self, session: WorkerSession) -> int:
        """Return the longest lease that a former lead may have given a silent worker.

        The worker may have restarted before the former lead's last order. Its entry
        shows the incarnation that registered last.
        """
        worker = session.worker
        recorded_ms = session.recorded_incarnation_ms
        listed_ms = worker.entry.incarnation_start_ms
        has_restarted = worker.listed and listed_ms != recorded_ms
        if not recorded_ms or has_restarted or not self._is_listing_known:
            return self._max_lease_ms
        return WORKER_LEASE_MS

    def _have_expired(self, lease_ms: int) -> bool:
        """Return whether leases of this length by former leads have expired."""
        timeout = former_lease_timeout(lease_ms)
        if self._ended_early:
            timeout += VALID_FOR
        return self._clock.now() - self._began_at >= timeout

    def _drain_leaving_workers(self) -> None:
        """Stop the runs that leaving workers would cut short, to restart elsewhere."""
        for session in self._state.sessions.values():
            remaining_ms = session.worker.entry.remaining_ms
            if session.worker.entry.accepting or remaining_ms is None:
                continue
            for run in list(session.worker.runs.values()):
                if self._must_move(run, remaining_ms):
                    session.stop_run(run, "worker_leaving")

    def _must_move(self, run: Run, remaining_ms: int) -> bool:
        spec = run.task.step.spec
        if spec.long_running:
            return True
        if not spec.checkpoints:
            return False
        durations = self._state.planner.durations
        length_ms = durations.step_ms(run.task.step) * durations.factor(run.worker)
        left_ms = length_ms * (1 - run.percent / 100)
        return left_ms > remaining_ms - LEAVING_MARGIN_MS
