"""A lead's communication with one worker of its pool."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timedelta

from twisted.internet.defer import CancelledError, Deferred

from savorylead.clock import Clock, Wakeup, to_millis
from savorylead.jobs import Run, RunState
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import (
    PoolWorker,
    RunOrder,
    RunRejected,
    RunStarted,
    StaleFenceError,
    StartRejection,
    UnansweredStarts,
    WorkerCalls,
    WorkerNotReachedError,
    WorkerReport,
    WorkerUnhealthyError,
    WrongIncarnationError,
    reconcile,
)
from savorylead.workers import WorkerError, WorkerTimeoutError
from savorylead_daemon.concurrency import TaskSet, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._late_starts import LateStarts
from ._pace_orders import PaceOrders
from ._session_owner import MAY_ACT_CHECK_INTERVAL, RETRY_AFTER, SessionOwner
from ._start_answers import Poll, StartAnswers
from ._worker_answers import WorkerAnswers
from ._worker_clock import WorkerClock

#: Duration of a worker's lease, after which it ends its runs. It must outlast a change
#: of the lead: a store lease of 2 s, the election and the claim.
WORKER_LEASE_MS = 4_500
#: How long a start order is valid. A worker may execute an order whose answer was lost
#: up to 12 s late, but rejects it after this time.
ORDER_VALID_MS = 1_500
#: Longest wait of one renewal for an end; also the interval between renewals.
RENEW_WAIT = timedelta(milliseconds=1_000)
#: The same while tasks with a response time target share the worker with tasks that
#: fill it.
SHARED_WORKER_WAIT = timedelta(milliseconds=400)
#: Interval between polls of a worker on which a run is being stopped.
STOPPING_POLL_INTERVAL = timedelta(milliseconds=60)
#: Interval between polls while reported ends are not durable. The worker then answers
#: at once with the same ends, so a poll cannot wait for the next end. While the store
#: is slow or unavailable, ends of other tasks on the worker are seen at most this late.
UNRELEASED_POLL_INTERVAL = timedelta(milliseconds=100)
#: Delay of a poll after a stop was accepted. A report proves that the run is gone only
#: if it was requested after the stop, on a clock with a resolution of 1 ms.
POLL_DELAY_AFTER_STOP = timedelta(milliseconds=2)
#: A report that is older does not prove that the worker has not restarted. Workers
#: with runs report every RENEW_WAIT.
REPORT_VALID_FOR = timedelta(milliseconds=1_500)
#: Unanswered orders, without a report in between, after which a worker is not used.
#: The answer to a single one may have been lost by the network.
MAX_UNANSWERED_ORDERS = 2
#: Delay before a failed poll is retried while the worker may return and execute a start
#: order that was given up. It must be told before the order arrives.
LATE_START_RETRY_AFTER = timedelta(milliseconds=50)
#: Failed polls in a row after which a worker's runs are recorded. A single answer may
#: have been lost.
MISSES_TO_RECORD = 2
#: Delay before an accepted stop is sent again if the run is still reported.
STOP_RETRY_DELAY = timedelta(milliseconds=1_500)
#: Longest interval between polls of an idle worker.
IDLE_POLL_INTERVAL = timedelta(seconds=60)
#: Releases no ends. A worker that has restarted numbers its ends from 1 again, so any
#: other number may release ends of the new incarnation that were not read yet.
_NOTHING_RELEASED = 0
_NO_WAIT = timedelta(0)


class WorkerSession:
    """Renews a worker's lease, polls its reports and sends it orders."""

    def __init__(
        self,
        worker: PoolWorker,
        owner: SessionOwner,
        calls: WorkerCalls,
        clock: Clock,
        log: EventLog,
        answers: WorkerAnswers,
        max_lease_ms: int,
        unanswered_starts: UnansweredStarts,
    ) -> None:
        """``answers`` is shared by the sessions of one lead.

        ``unanswered_starts`` are those of earlier sessions with this worker.

        Workers shorten longer leases to ``max_lease_ms`` milliseconds.
        """
        self.worker = worker
        #: Whether the worker's runs are known to this lead.
        self.claimed = False
        self._owner = owner
        self._calls = calls
        self._clock = clock
        self._log = log
        self._answers = answers
        self._max_lease_ms = max_lease_ms
        self._wakeup = Wakeup(clock)
        self._poll_soon = False
        self._tasks = TaskSet()
        self.pace = PaceOrders(worker, owner, calls, log, self._tasks)
        self._incarnation_start_ms = 0
        self._worker_clock = WorkerClock(clock)
        self._seen_end = 0
        #: Ends up to this sequence number are durable here and may be released.
        self._durable_end = 0
        self._released_end = 0
        #: Whether an earlier lead's runs are renewed while this one reads its records.
        self._is_renewed = False
        #: Number of consecutive failed polls.
        self._misses = 0
        #: Whether another worker answers at its address, so that it has ended.
        self.is_replaced = False
        #: Number of unanswered orders since the last report.
        self._unanswered = 0
        #: The incarnation in which former leads gave the worker only leases of usual
        #: length, as they recorded it; 0 if there is none. None if they never used it.
        self.recorded_incarnation_ms: int | None = None
        #: Until when a lease of unusual length may hold, on the worker's clock.
        self._long_lease_until_ms = 0
        #: Runs whose lease lapsed in the present silence, which a crash may explain.
        self._lapsed: list[Run] = []
        self._start_answers = StartAnswers()
        self._late_starts = LateStarts(
            worker,
            owner,
            calls,
            clock,
            log,
            self._tasks,
            unanswered_starts,
            lambda: self._incarnation_start_ms,
            self._poll_in_parallel,
        )
        self._reported_at: datetime | None = None
        #: Starts that wait for the report of a worker that was not polled for a while.
        self._waiting_starts: list[Deferred[None]] = []

    def start(self) -> None:
        """Claim the worker and poll it from then on."""
        running = supervised("worker session", self._clock, self._run)
        self._tasks.spawn("worker session", running)

    def close(self) -> None:
        """Stop all calls to the worker."""
        self._tasks.close()

    def poll_soon(self) -> None:
        """Request a report without delay."""
        self._poll_soon = True
        self._wakeup.wake()

    def poll_at_once(self) -> None:
        """Request a report even if an earlier poll is not answered yet.

        The worker has restarted, and that poll may wait for the former incarnation.
        """
        self.poll_soon()
        if self.claimed:
            self._tasks.spawn("report of a restarted worker", self._poll_in_parallel())

    @property
    def incarnation_start_ms(self) -> int:
        """Start of the worker's incarnation in Unix milliseconds; 0 if unknown."""
        return self._incarnation_start_ms

    @property
    def settled_incarnation_ms(self) -> int:
        """The incarnation in which leads gave only leases of usual length; 0 if none.

        A worker that has restarted reads a deadline on its former clock as a much later
        time, and shortens the lease only to the longest one that it allows.
        """
        if not self.claimed:
            return self.recorded_incarnation_ms or 0
        if self._worker_clock.now_ms() <= self._long_lease_until_ms:
            return 0
        return self._incarnation_start_ms

    def expect_incarnation(self, start_ms: int) -> None:
        """Treat any other incarnation as a restart, since a former lead used this."""
        self._incarnation_start_ms = start_ms
        self.is_replaced = False

    @property
    def is_silent(self) -> bool:
        """Whether the worker did not answer the last poll."""
        return self._misses > 0

    @property
    def was_renewed(self) -> bool:
        """Whether this lead may have sent the worker a deadline."""
        return self._worker_clock.has_lease

    def lease_is_over(self) -> bool:
        """Return whether all deadlines that this lead sent the worker are over."""
        return self._worker_clock.lease_is_over()

    def lease_left_ms(self) -> int:
        """Return how long the worker's lease may still hold on its clock."""
        return self._worker_clock.lease_left_ms()

    async def confirm_incarnation(self) -> bool:
        """Return whether a task may start on the worker as its entry describes it.

        An idle worker, which is polled rarely, is polled first: it may have restarted
        as another kind of worker.
        """
        if not self._has_recent_report():
            waiting: Deferred[None] = Deferred()
            self._waiting_starts.append(waiting)
            if len(self._waiting_starts) == 1:
                self._tasks.spawn("report before a start", self._report_for_starts())
            await waiting
        if not self._has_recent_report():
            self.worker.usable = False
            self.poll_soon()
        return self.worker.usable and self.worker.is_entry_current

    def _has_recent_report(self) -> bool:
        at = self._reported_at
        return at is not None and self._clock.now() - at < REPORT_VALID_FOR

    async def _report_for_starts(self) -> None:
        try:
            await self._poll_in_parallel()
        finally:
            waiting, self._waiting_starts = self._waiting_starts, []
            for each in waiting:
                if not each.called:
                    each.callback(None)

    async def start_run(
        self, run: Run, order: RunOrder
    ) -> RunStarted | RunRejected | None:
        """Send a start order; None if it is unknown whether it took effect.

        Raises WorkerNotReachedError if it definitely did not.
        """
        deadline_ms = self._worker_clock.extend_lease(ORDER_VALID_MS)
        run.void_clock_ms = deadline_ms + 1
        order = order._replace(deadline_ms=deadline_ms)
        earliest_clock_ms = self._worker_clock.now_ms()
        start = self._late_starts.start_of(order)
        try:
            result = await self._calls.start(
                self.worker.entry, self._owner.fence, order
            )
        except WorkerNotReachedError:
            self.worker.usable = False
            self.worker.note_silent(to_millis(self._clock.now()))
            self.poll_soon()
            raise
        except WorkerError as exc:
            self._unanswered += 1
            self._late_starts.note_unanswered(start)
            self._start_answers.note_doubtful()
            # A restarted worker may have taken the deadline for a later one.
            self._worker_clock.extend_lease(self._max_lease_ms)
            self.worker.note_silent(to_millis(self._clock.now()))
            if self._unanswered >= MAX_UNANSWERED_ORDERS:
                self.worker.usable = False
            self._log.log_event(
                LogLevel.INFO,
                "start_unanswered",
                worker=self.worker.id,
                unanswered=self._unanswered,
                task_run=f"{order.task}/{order.number}",
                detail=str(exc),
            )
            self.poll_soon()
            return None
        if isinstance(result, RunRejected):
            if result.reason is StartRejection.STALE_FENCE:
                self._owner.superseded()
            elif result.reason is StartRejection.WRONG_INCARNATION:
                self.worker.usable = False
        else:
            self._start_answers.note_answered((str(run.task.name), run.number))
            self._wakeup.wake()
        if result.clock_ms is not None and result.clock_ms < earliest_clock_ms:
            self._note_clock_went_back(run, result.clock_ms, earliest_clock_ms)
        return result

    def _note_clock_went_back(
        self, run: Run, clock_ms: int, earliest_clock_ms: int
    ) -> None:
        """Use the worker again after its next report: it has restarted."""
        self._log.log_event(
            LogLevel.INFO,
            "worker_clock_went_back",
            worker=self.worker.id,
            task_run=f"{run.task.name}/{run.number}",
            clock_ms=clock_ms,
            earliest_clock_ms=earliest_clock_ms,
        )
        self._worker_clock.update(clock_ms)
        self._worker_clock.limit_lease(clock_ms + self._max_lease_ms)
        self._start_answers.note_doubtful()
        self.worker.usable = False
        self.poll_soon()
        # The pending poll may wait a second for a run to end.
        self._tasks.spawn("report of a restarted worker", self._poll_in_parallel())

    def stop_run(self, run: Run, reason: str) -> None:
        """Stop a run, with retries; its resources are freed once its end is known."""
        if run.state is RunState.STOPPING:
            return
        run.state = RunState.STOPPING
        run.stop_reason = reason
        run.stop_ordered_at_ms = to_millis(self._clock.now())
        stopping = supervised(
            "stop of a run", self._clock, lambda: self._stop_until_gone(run)
        )
        self._tasks.spawn("stop of a run", stopping)

    async def _stop_until_gone(self, run: Run) -> None:
        key = (str(run.task.name), run.number)
        while key in self.worker.runs:
            if not self._owner.may_act():
                await self._clock.sleep(MAY_ACT_CHECK_INTERVAL)
                continue
            try:
                await self._calls.stop(
                    self.worker.entry, self._owner.fence, run.task.name, run.number
                )
            except StaleFenceError:
                self._owner.superseded()
                return
            except (WorkerError, WrongIncarnationError, WorkerUnhealthyError):
                await self._clock.sleep(RETRY_AFTER)
                continue
            run.stopped_at_ms = to_millis(self._clock.now())
            self.poll_soon()
            if not run.confirmed_at_ms and self.claimed:
                # If the start order never arrived, the stop causes no end, and the
                # pending poll may wait a second for an end of another run.
                await self._clock.sleep(POLL_DELAY_AFTER_STOP)
                await self._poll_in_parallel()
            await self._clock.sleep(STOP_RETRY_DELAY)

    async def _poll_in_parallel(self) -> None:
        """Request a report at once, while another poll may wait for a run to end."""
        if not self._owner.may_act():
            return
        poll = self._new_poll()
        try:
            report = await self._hold(_NOTHING_RELEASED, None, _NO_WAIT)
        except StaleFenceError:
            self._owner.superseded()
        except (WorkerError, WrongIncarnationError, WorkerUnhealthyError) as exc:
            self._log.log_event(
                LogLevel.INFO,
                "look_aside_failed",
                worker=self.worker.id,
                detail=f"{type(exc).__name__}: {exc}",
            )
        else:
            self._process(report, poll)

    async def _run(self) -> None:
        while True:
            if not self._owner.may_act():
                await self._clock.sleep(MAY_ACT_CHECK_INTERVAL)
                continue
            if self.claimed and self._is_idle() and not self._poll_soon:
                await self._wakeup.wait(IDLE_POLL_INTERVAL)
                continue
            self._poll_soon = False
            takes_reports = self._owner.can_apply_reports()
            call = self._poll if takes_reports else self._renew
            address = self.worker.entry.address
            try:
                if self.claimed or self._misses:
                    await call()
                else:
                    await self._answers.claim(self._owner.may_act, call)
            except StaleFenceError:
                self._owner.superseded()
                return
            except (WorkerError, WrongIncarnationError, WorkerUnhealthyError) as exc:
                self._note_failure(exc)
                is_replaced = isinstance(exc, WrongIncarnationError)
                if is_replaced and address == self.worker.entry.address:
                    self._note_replaced()
                if self._misses != 1:
                    is_urgent = self._late_starts.has_open
                    await self._clock.sleep(
                        LATE_START_RETRY_AFTER if is_urgent else RETRY_AFTER
                    )
                continue
            except CancelledError:
                raise
            except Exception as exc:
                # No more tasks may start on a worker whose reports cannot be processed.
                self._note_failure(exc)
                raise
            if not takes_reports:
                await self._wakeup.wait(RENEW_WAIT if self._is_renewed else _NO_WAIT)
            elif self._seen_end != self._durable_end:
                await self._wakeup.wait(UNRELEASED_POLL_INTERVAL)
            elif any(r.state is RunState.STOPPING for r in self.worker.runs.values()):
                await self._wakeup.wait(STOPPING_POLL_INTERVAL)
            elif not self.worker.runs and self._late_starts.may_arrive:
                await self._wakeup.wait(RENEW_WAIT)

    def _is_idle(self) -> bool:
        return (
            not self.worker.runs
            and not self.worker.unknown_runs
            and self._released_end == self._seen_end
            and not self._misses
            and not self._late_starts.may_arrive
        )

    async def _renew(self) -> None:
        """Renew the worker's lease, without applying its report."""
        deadline_ms = None
        if self._worker_clock.is_known and not self._misses:
            deadline_ms = self._worker_clock.extend_lease(self._owner.worker_lease_ms())
        poll = self._new_poll()
        report = await self._hold(_NOTHING_RELEASED, deadline_ms, _NO_WAIT)
        self._is_renewed = deadline_ms is not None or not report.active
        self._note_report(report, poll)

    async def _poll(self) -> None:
        deadline_ms = None
        # A worker that does not answer may still receive calls. If they renewed its
        # lease, its runs could never be considered over.
        is_responsive = self._worker_clock.is_known and not self._misses
        if is_responsive and self.worker.runs:
            deadline_ms = self._worker_clock.extend_lease(self._owner.worker_lease_ms())
        poll = self._new_poll()
        released = self._releasable_end()
        report = await self._hold(released, deadline_ms, self._wait())
        self._released_end = max(self._released_end, released)
        self._process(report, poll)

    def _new_poll(self) -> Poll:
        return self._start_answers.new_poll(to_millis(self._clock.now()))

    def _is_uncertain(self) -> bool:
        """Return whether another incarnation than the known one may answer."""
        return self._misses > 0 or self._start_answers.is_doubtful

    def _releasable_end(self) -> int:
        """Return up to which number the next poll releases ends.

        The same number may belong to an unread end of a restarted worker, so nothing is
        released twice, or while another incarnation may have started a task.
        """
        if self._is_uncertain() or self._durable_end == self._released_end:
            return _NOTHING_RELEASED
        return self._durable_end

    async def _hold(
        self, released: int, deadline_ms: int | None, wait: timedelta
    ) -> WorkerReport:
        """Return the answer to a poll; raises WorkerTimeoutError once it is overdue."""
        began_at = self._clock.now()
        holding = Deferred.fromCoroutine(
            self._calls.hold(
                self.worker.entry, self._owner.fence, released, deadline_ms, wait
            )
        )
        limit = wait + self._answers.overdue_after(self._misses)
        try:
            report = await within(self._clock, limit, holding)
        except DeadlineExceededError:
            raise WorkerTimeoutError("the answer is overdue") from None
        self._answers.note(self._clock.now() - began_at, wait)
        return report

    def _process(self, report: WorkerReport, poll: Poll) -> None:
        """Process a report, unless a later one was processed before."""
        is_older = self._worker_clock.is_older(report.clock_ms)
        if is_older and self._incarnation_start_ms == report.incarnation_start_ms:
            return
        overtaken = self._start_answers.have_overtaken(poll, self.worker.runs)
        if overtaken and self._is_restart(report):
            # The next report tells in which incarnation those runs are.
            self._start_answers.note_doubtful()
            self.worker.usable = False
            return
        self._note_report(report, poll)
        if not self.claimed:
            self._limit_former_orders(report)
        findings = reconcile(self.worker, report, self._seen_end, poll.sent_at_ms)
        seen = max([self._seen_end, *(e.sequence for e in report.ended)])
        if not self.claimed:
            self._assume_former_lease(report)
        self.claimed = True
        self._late_starts.note_executed(report)
        self.worker.usable = not self._late_starts.refuse()
        self._owner.apply(self, findings, report)
        if seen != self._seen_end:
            self._seen_end = seen
            self._tasks.spawn(
                "release of ends",
                self._release_when_durable(seen, self._incarnation_start_ms),
            )

    def _assume_former_lease(self, report: WorkerReport) -> None:
        """Assume that a former lead renewed the lease just before the report.

        It may have done so even if no task runs now.
        """
        if self.recorded_incarnation_ms in (None, report.incarnation_start_ms):
            self._worker_clock.extend_lease(WORKER_LEASE_MS)
        else:
            self._worker_clock.extend_lease(self._max_lease_ms)
            self._long_lease_until_ms = report.clock_ms + self._max_lease_ms

    def _limit_former_orders(self, report: WorkerReport) -> None:
        """Determine until when a former lead's order may start a recorded run."""
        for run in self.worker.runs.values():
            run.void_clock_ms = report.clock_ms + ORDER_VALID_MS

    async def _release_when_durable(self, seen: int, incarnation_start_ms: int) -> None:
        """Release ends once all changes that they led to are durable."""
        await self._owner.wait_until_durable()
        if incarnation_start_ms == self._incarnation_start_ms:
            self._durable_end = max(self._durable_end, seen)
            self._wakeup.wake()

    def _wait(self) -> timedelta:
        is_stopping = any(
            r.state is RunState.STOPPING for r in self.worker.runs.values()
        )
        has_runs = bool(self.worker.runs)
        if not self.claimed or is_stopping or not has_runs or self._is_uncertain():
            return _NO_WAIT
        longest = RENEW_WAIT
        if self.worker.serves() and self.worker.filler_demand_milli():
            longest = SHARED_WORKER_WAIT
        return self._answers.wait(longest)

    def _note_report(self, report: WorkerReport, poll: Poll) -> None:
        self._misses = 0
        self._unanswered = 0
        self.is_replaced = False
        if self._is_restart(report):
            self._note_restart(report)
        self.worker.note_answer(to_millis(self._clock.now()))
        self._owner.worker_answered(self.worker)
        self._lapsed = []
        self._incarnation_start_ms = report.incarnation_start_ms
        self.worker.answering_incarnation_ms = report.incarnation_start_ms
        self._worker_clock.update(report.clock_ms)
        self._start_answers.note_report(poll, self.worker.runs)
        self._reported_at = self._clock.now()

    def _is_restart(self, report: WorkerReport) -> bool:
        known_ms = self._incarnation_start_ms
        return known_ms != 0 and report.incarnation_start_ms != known_ms

    def _note_restart(self, report: WorkerReport) -> None:
        """Record that the worker's earlier incarnation is over, and its runs with it.

        A run that no report has listed may have begun in either incarnation.
        """
        self._seen_end = self._durable_end = self._released_end = 0
        # The new incarnation has accepted the deadlines of starts that it received.
        self._long_lease_until_ms = report.clock_ms + self._max_lease_ms
        self._worker_clock.limit_lease(self._long_lease_until_ms)
        ended, unanswered, continued = [], [], []
        for key, run in self.worker.runs.items():
            if run.last_reported_at_ms:
                ended.append(run)
            elif report.names(key):
                continued.append(run)
            elif run.confirmed_at_ms:
                ended.append(run)
            else:
                unanswered.append(run)
        self._log.log_event(
            LogLevel.INFO,
            "worker_reborn",
            worker=self.worker.id,
            born=report.incarnation_start_ms,
            former_born=self._incarnation_start_ms,
            ended=len(ended),
            unanswered=len(unanswered),
            continued=[f"{r.task.name}/{r.number}" for r in continued],
        )
        self._note_ended([*ended, *unanswered])
        for run in unanswered:
            # The order may still be in flight and start in the new incarnation.
            run.void_clock_ms = 0
            run.stopped_at_ms = 0
            self.stop_run(run, "worker_reborn")
        if ended:
            self._owner.lost(self, ended, "worker_reborn")

    def _note_replaced(self) -> None:
        """Record that the worker has ended: its address belongs to another one."""
        if not self.is_replaced:
            self.is_replaced = True
            self._log.log_event(
                LogLevel.INFO,
                "worker_replaced",
                worker=self.worker.id,
                address=self.worker.entry.address,
                runs=len(self.worker.runs),
            )
            self._note_ended(list(self.worker.runs.values()))
        runs = list(self.worker.runs.values())
        if runs:
            self._owner.lost(self, runs, "worker_replaced")

    def _note_ended(self, runs: Sequence[Run]) -> None:
        """Report the end of an incarnation, with the runs that it may have had."""
        lapsed, self._lapsed = self._lapsed, []
        self._owner.worker_ended(self, [*lapsed, *runs], is_certain=True)

    def note_former_lease_over(self) -> None:
        """Record that runs of former leads are over on a worker that never answered."""
        runs = list(self.worker.runs.values())
        if runs:
            self._lapsed += runs
            self._owner.lost(self, runs, "worker_lease_lapsed")

    def note_gone(self) -> None:
        """Report that a silent worker is no longer listed, so it may have crashed."""
        lapsed, self._lapsed = self._lapsed, []
        if lapsed:
            self._owner.worker_ended(self, lapsed, is_certain=False)

    def _note_failure(self, exc: Exception) -> None:
        self._misses += 1
        self.worker.note_silent(to_millis(self._clock.now()))
        if self._misses == 1:
            if isinstance(exc, WorkerTimeoutError) and self._worker_clock.is_known:
                self._answers.note_lost()
            self._log.log_event(
                LogLevel.INFO,
                "worker_unreachable",
                worker=self.worker.id,
                runs=len(self.worker.runs),
                detail=f"{type(exc).__name__}: {exc}",
            )
        elif self._misses == MISSES_TO_RECORD:
            self._owner.worker_silent(self.worker)
        self.worker.usable = False
        if self.worker.runs and self._worker_clock.lease_is_over():
            runs = list(self.worker.runs.values())
            self._lapsed += runs
            self._owner.lost(self, runs, "worker_lease_lapsed")
