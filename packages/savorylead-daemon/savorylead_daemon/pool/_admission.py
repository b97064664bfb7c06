"""Admission decisions of a lead for jobs that might finish too late."""

from __future__ import annotations

from savorylead.pools import Backlog, backlog_of, drain_time_ms, retry_after_ms
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._peer_messages import AdmissionQuery
from ._pool_state import PoolState

#: Maximum number of jobs without a final state, of all teams, that a lead keeps in
#: memory. A job of five tasks takes 1.1 KB, so they take a third of the 32 MB that the
#: control process may use on a machine.
MAX_OPEN_JOBS = 10_000
#: Time for which a computed backlog is reused, in milliseconds; a busy lead plans about
#: as often.
BACKLOG_VALID_MS = 100


class Admission:
    """Decides which callers should retry later, and when.

    Work beyond its team's share is rejected if it can't end in time. Once the lead
    keeps MAX_OPEN_JOBS jobs, all work is.
    """

    def __init__(self, state: PoolState, log: EventLog) -> None:
        self._state = state
        self._log = log
        #: The backlog ahead of each priority, and when it was computed.
        self._backlogs: dict[int, tuple[Backlog, int]] = {}

    def must_check_next(self, job_id: str) -> bool:
        """Return whether the next job of a job's team needs an admission check."""
        job = self._state.jobs.jobs.get(job_id)
        return self._is_full() or (job is not None and job.surplus)

    def retry_after_ms(self, query: AdmissionQuery) -> int:
        """Return after how long the caller should retry; 0 if the job is admitted."""
        state = self._state
        queue = state.queues.get(query.queue)
        # A known job was accepted before, but the answer did not reach its caller.
        if queue is None or query.job in state.jobs.jobs:
            return 0
        if any(step.long_running for step in query.steps):
            return 0
        now_ms = state.now_ms()
        weight = state.weights.get(query.team, 1.0)
        is_surplus = state.jobs.meter.would_be_surplus(query.team, weight, now_ms)
        if not is_surplus and not self._is_full():
            return 0
        backlog = self._backlog(queue.priority, now_ms)
        times = state.planner.times
        needed_ms = times.chain_ms(queue.name, query.steps)
        objective_ms = times.objective_ms(queue, query.steps)
        if self._is_full():
            after_ms = drain_time_ms(backlog)
        else:
            after_ms = retry_after_ms(backlog, needed_ms, objective_ms)
        if after_ms:
            self._log.log_event(
                LogLevel.INFO,
                "admission_refused",
                job=query.job,
                team=query.team,
                queue=queue.name,
                open_jobs=len(state.jobs.open),
                ahead_core_s=round(backlog.ahead / 1e6, 1),
                waiting_core_s=round(backlog.total / 1e6, 1),
                draining_cores=round(backlog.draining_milli / 1000, 1),
                needed_ms=round(needed_ms),
                objective_ms=round(objective_ms),
                retry_after_ms=after_ms,
            )
        return after_ms

    def _is_full(self) -> bool:
        return len(self._state.jobs.open) >= MAX_OPEN_JOBS

    def _backlog(self, priority: int, now_ms: int) -> Backlog:
        cached = self._backlogs.get(priority)
        if cached is not None and 0 <= now_ms - cached[1] < BACKLOG_VALID_MS:
            return cached[0]
        state = self._state
        backlog = backlog_of(
            state.jobs.ready_steps(now_ms, lambda _: True),
            state.workers.values(),
            state.queues,
            state.planner.times,
            priority,
            now_ms,
        )
        self._backlogs[priority] = (backlog, now_ms)
        return backlog
