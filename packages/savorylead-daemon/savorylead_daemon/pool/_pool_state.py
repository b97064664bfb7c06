"""In-memory state of a pool's lead, shared by its components."""

from __future__ import annotations

from savorylead.clock import Clock, to_millis
from savorylead.jobs import Run
from savorylead.pools import PoolPlanner, PoolWorker, Queue, SchedulingPolicy
from savorylead.resources import ZERO, Resources

from ._job_registry import JobRegistry
from ._worker_session import WorkerSession


class PoolState:
    """Jobs, workers and teams' usage; each change fits in one reactor iteration."""

    def __init__(
        self,
        clock: Clock,
        status_for_ms: int,
        policy: SchedulingPolicy = SchedulingPolicy(),  # noqa: B008 - immutable.
    ) -> None:
        self._clock = clock
        self.jobs = JobRegistry(status_for_ms)
        #: By worker id, like the sessions.
        self.workers: dict[str, PoolWorker] = {}
        self.sessions: dict[str, WorkerSession] = {}
        self.queues: dict[str, Queue] = {}
        #: Rate in jobs per second that each team is entitled to.
        self.weights: dict[str, float] = {}
        #: Resources held by each team's runs, including runs that are being started.
        self.held: dict[str, Resources] = {}
        #: The part of it that runs hold which do not end by themselves.
        self.lasting: dict[str, Resources] = {}
        #: When a run of each team was last added, in Unix milliseconds.
        self.last_start_ms: dict[str, int] = {}
        self.planner = PoolPlanner(policy)

    def now_ms(self) -> int:
        """Return the time in Unix milliseconds."""
        return to_millis(self._clock.now())

    def hold(self, worker: PoolWorker, run: Run) -> None:
        """Charge a run's resources to its worker and to its team."""
        worker.add(run)
        spec = run.task.step.spec
        team = run.task.step.job.record.team
        self.held[team] = self.held.get(team, ZERO).plus(spec.resources)
        if spec.long_running:
            self.lasting[team] = self.lasting.get(team, ZERO).plus(spec.resources)
        self.last_start_ms[team] = self.now_ms()

    def free(self, run: Run) -> bool:
        """Release all resources of a run, which must be over.

        Returns whether it held any.
        """
        worker = self.workers.get(run.worker)
        if worker is None or (str(run.task.name), run.number) not in worker.runs:
            return False
        worker.remove(run)
        spec = run.task.step.spec
        team = run.task.step.job.record.team
        self.held[team] = self.held[team].minus(spec.resources)
        if spec.long_running:
            self.lasting[team] = self.lasting[team].minus(spec.resources)
        run.task.forget_run(run)
        return True
