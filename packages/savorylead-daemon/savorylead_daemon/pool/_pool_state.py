"""What a pool's lead knows, shared by its parts."""

from __future__ import annotations

from savorylead.clock import Clock, to_millis
from savorylead.jobs import Run
from savorylead.pools import PoolPlanner, PoolWorker, Queue
from savorylead.resources import ZERO, Resources

from ._job_book import JobBook
from ._worker_session import WorkerSession


class PoolState:
    """Jobs, workers and what teams hold; changed within one turn of the reactor."""

    def __init__(self, clock: Clock, status_for_ms: int) -> None:
        self._clock = clock
        self.jobs = JobBook(status_for_ms)
        #: By id, as the sessions.
        self.workers: dict[str, PoolWorker] = {}
        self.sessions: dict[str, WorkerSession] = {}
        self.queues: dict[str, Queue] = {}
        #: Jobs a second owed to each team.
        self.weights: dict[str, float] = {}
        #: What the runs of each team hold, those under way included.
        self.held: dict[str, Resources] = {}
        self.planner = PoolPlanner()

    def now_ms(self) -> int:
        """Return the time in Unix milliseconds."""
        return to_millis(self._clock.now())

    def hold(self, worker: PoolWorker, run: Run) -> None:
        """Hold the room of a run on its worker and in its team's limit."""
        worker.add(run)
        team = run.task.step.job.record.team
        held = self.held.get(team, ZERO)
        self.held[team] = held.plus(run.task.step.spec.resources)

    def free(self, run: Run) -> None:
        """Give back everything that a run held; it is surely over."""
        worker = self.workers.get(run.worker)
        if worker is None or (str(run.task.name), run.number) not in worker.runs:
            return
        worker.remove(run)
        team = run.task.step.job.record.team
        self.held[team] = self.held[team].minus(run.task.step.spec.resources)
        if run.task.run is run:
            run.task.run = None
