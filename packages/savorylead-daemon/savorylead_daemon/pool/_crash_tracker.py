"""Logs and counts the workers that end, and which runs ended with them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from savorylead.jobs import Run
from savorylead.pools import PoolWorker
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

#: Maximum number of runs named in a log line; a worker rarely has more.
MAX_LOGGED_RUNS = 40

#: Number of workers that ended, by pool and by how they ended.
WorkerEndCounts = Counter[tuple[str, str]]


class CrashTracker:
    """Tells crashes of workers from planned ends."""

    def __init__(self, pool: str, log: EventLog, counts: WorkerEndCounts) -> None:
        self._pool = pool
        self._log = log
        self._counts = counts

    def note_worker_ended(
        self, worker: PoolWorker, runs: Sequence[Run], at_ms: int
    ) -> None:
        """Record that a worker's incarnation has ended, with the runs that it had.

        ``at_ms`` is when it stopped answering, in Unix milliseconds.
        """
        is_planned = worker.is_leaving or worker.evacuated
        self._counts[self._pool, "planned" if is_planned else "crashed"] += 1
        self._log.log_event(
            LogLevel.INFO,
            "worker_left" if is_planned else "worker_crashed",
            pool=self._pool,
            worker=worker.id,
            rack=worker.entry.rack,
            runs=len(runs),
            # A run that began just before its worker crashed is the likeliest cause.
            task_runs=[
                f"{run.task.name}/{run.number}"
                for run in sorted(runs, key=lambda run: -run.sent_at_ms)
            ][:MAX_LOGGED_RUNS],
            youngest_run_ms=at_ms - max((r.sent_at_ms for r in runs), default=at_ms),
        )
