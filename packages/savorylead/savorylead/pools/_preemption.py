"""Preemption: chooses the runs to stop for more urgent tasks.

Load pattern: a burst of short urgent steps arrives while wide batch work fills every
worker. Stopping a task that can be checkpointed loses little work, and its job is due
in minutes where the urgent one is due within a second. Runs that end by themselves
before a stop would take effect are not stopped, and their room counts. The burst may
also come from a team whose own batch work has filled the team's upper limit.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from savorylead.jobs import Run, RunState, StepRun
from savorylead.resources import ZERO, Resources

from ._contracts import Queue
from ._pool_worker import PoolWorker, reservation_of
from ._step_times import StepTimes

#: Minimum time that a run gets before it may be preempted, in milliseconds; without it
#: tasks would be restarted again and again with little progress.
MIN_RUN_MS = 400
#: A run with more progress than this is left to finish.
MAX_PERCENT = 85
#: Minimum slack of a job whose run is stopped, in milliseconds.
MIN_SLACK_MS = 2_000
#: Maximum number of runs stopped in one pass for one step.
MAX_VICTIMS = 12


def _minimum(one: Resources, other: Resources) -> Resources:
    return Resources(*(max(0, min(a, b)) for a, b in zip(one, other, strict=True)))


def _frees_any_lacking(freed: Resources, lacking: Resources) -> bool:
    """Return whether the freed resources cover any part of the lacking ones."""
    return any(a > 0 and b > 0 for a, b in zip(freed, lacking, strict=True))


class _Preemptible(NamedTuple):
    """A run that may be stopped for more urgent work."""

    #: Slack of its job: time until it is due minus its remaining work, in milliseconds.
    slack_ms: float
    priority: int
    run: Run
    #: Whether it ends by itself as soon as if it were stopped.
    is_ending: bool

    def may_be_stopped_for(self, step: StepRun, priority: int) -> bool:
        """Return whether stopping the run serves a step of this priority.

        The tasks of a gang start together, and room that is freed bit by bit is taken
        by others, so a gang needs it at one time.
        """
        return self.priority > priority and (step.spec.gang or not self.is_ending)


class Preemption:
    """Chooses victims in one pass: the least urgent runs on the fewest workers.

    The preemptible runs of a worker are computed once a pass, however many steps need
    capacity. A run is chosen at most once.
    """

    def __init__(
        self,
        times: StepTimes,
        queues: Mapping[str, Queue],
        now_ms: int,
        is_ending: Callable[[Run, int], bool],
    ) -> None:
        """``is_ending`` tells whether a run ends as soon as if it were stopped."""
        self._times = times
        self._queues = queues
        self._now_ms = now_ms
        self._is_ending = is_ending
        self._by_worker: dict[str, list[_Preemptible]] = {}
        self._preemptible_by_priority: dict[tuple[str, int], Resources] = {}
        self._by_team: dict[str, list[_Preemptible]] = {}
        #: What runs being stopped will release of each team's limit.
        self._team_releasing: dict[str, Resources] = {}
        self._chosen: set[Run] = set()

    def victims(
        self,
        step: StepRun,
        priority: int,
        missing: int,
        workers: Iterable[PoolWorker],
        free: dict[str, Resources],
        releasing: dict[str, Resources],
    ) -> list[Run]:
        """Return the runs to stop so that ``missing`` tasks of the step can start.

        Deducts the resources from ``free`` and ``releasing``, so that no other step is
        promised them. Preempts for all tasks of a gang or for none.
        """
        needed = reservation_of(step)
        if step.spec.fills or needed == ZERO:
            return []
        chosen: list[Run] = []
        undo: list[tuple[str, Resources, Resources]] = []
        for _ in range(missing):
            best = self._cheapest_worker(step, priority, workers, free, releasing)
            if best is None or len(chosen) >= MAX_VICTIMS:
                if step.spec.gang:
                    for worker_id, old_free, old_releasing in undo:
                        free[worker_id], releasing[worker_id] = old_free, old_releasing
                    self._chosen.difference_update(chosen)
                    return []
                break
            worker, runs = best
            undo.insert(0, (worker.id, free[worker.id], releasing[worker.id]))
            for run in runs:
                freed = reservation_of(run.task.step)
                releasing[worker.id] = releasing[worker.id].plus(freed)
            chosen += runs
            self._chosen.update(runs)
            # Free resources are used first, the rest comes from runs being stopped.
            used = _minimum(needed, free[worker.id])
            free[worker.id] = free[worker.id].minus(used)
            releasing[worker.id] = releasing[worker.id].minus(needed.minus(used))
        self._note_team_releasing(chosen)
        return chosen

    def preemptable_workers(
        self,
        step: StepRun,
        priority: int,
        workers: Iterable[PoolWorker],
        free: Mapping[str, Resources],
    ) -> list[PoolWorker]:
        """Return the workers on which preemption would free enough for one task."""
        needed = reservation_of(step)
        return [
            worker
            for worker in workers
            if needed.fits(
                free[worker.id].plus(self._preemptible_resources(worker, priority))
            )
            and needed.fits(worker.entry.capacity)
        ]

    def victims_at_limit(
        self,
        step: StepRun,
        priority: int,
        missing: int,
        limit_left: Resources,
        workers: Iterable[PoolWorker],
    ) -> list[Run]:
        """Return runs of the step's own team to stop so that its limit suffices.

        ``limit_left`` is what remains of the limit now. Preempts for all tasks of a
        gang or for none.
        """
        team = step.job.record.team
        needed = step.spec.resources.times(missing)
        candidates = self._preemptible_of_team(team, workers)
        limit_left = limit_left.plus(self._team_releasing[team])
        chosen: list[Run] = []
        for candidate in candidates:
            if needed.fits(limit_left) or len(chosen) >= MAX_VICTIMS:
                break
            run = candidate.run
            if run in self._chosen or not candidate.may_be_stopped_for(step, priority):
                continue
            freed = run.task.step.spec.resources
            if _frees_any_lacking(freed, needed.minus(limit_left)):
                chosen.append(run)
                limit_left = limit_left.plus(freed)
        is_enough = needed.fits(limit_left)
        if not is_enough and (
            step.spec.gang or not step.spec.resources.fits(limit_left)
        ):
            return []
        self._chosen.update(chosen)
        self._note_team_releasing(chosen)
        return chosen

    def _cheapest_worker(
        self,
        step: StepRun,
        priority: int,
        workers: Iterable[PoolWorker],
        free: Mapping[str, Resources],
        releasing: Mapping[str, Resources],
    ) -> tuple[PoolWorker, list[Run]] | None:
        """Return the worker with the fewest cores to preempt, and its runs to stop."""
        needed = reservation_of(step)
        best: tuple[PoolWorker, list[Run]] | None = None
        best_cost = 0
        for worker in workers:
            available = free[worker.id].plus(releasing[worker.id])
            runs: list[Run] = []
            if not needed.fits(available):
                for candidate in self._preemptible(worker):
                    run = candidate.run
                    if run in self._chosen:
                        continue
                    if not candidate.may_be_stopped_for(step, priority):
                        continue
                    runs.append(run)
                    available = available.plus(reservation_of(run.task.step))
                    if needed.fits(available):
                        break
                else:
                    continue
            cost = sum(reservation_of(r.task.step).cores_milli for r in runs)
            if best is None or cost < best_cost:
                best, best_cost = (worker, runs), cost
                if not runs:
                    break
        return best

    def _preemptible_resources(self, worker: PoolWorker, priority: int) -> Resources:
        """Return the resources that preemptible runs of a worker hold."""
        key = (worker.id, priority)
        resources = self._preemptible_by_priority.get(key)
        if resources is None:
            resources = ZERO
            for candidate in self._preemptible(worker):
                if candidate.priority > priority:
                    resources = resources.plus(reservation_of(candidate.run.task.step))
            self._preemptible_by_priority[key] = resources
        return resources

    def _preemptible_of_team(
        self, team: str, workers: Iterable[PoolWorker]
    ) -> list[_Preemptible]:
        """Return a team's preemptible runs, most slack first."""
        found = self._by_team.get(team)
        if found is not None:
            return found
        found = []
        releasing = self._team_releasing.get(team, ZERO)
        for worker in workers:
            for run in worker.runs.values():
                is_stopping = run.state is RunState.STOPPING
                if is_stopping and run.task.step.job.record.team == team:
                    releasing = releasing.plus(run.task.step.spec.resources)
            found += [
                candidate
                for candidate in self._preemptible(worker)
                if candidate.run.task.step.job.record.team == team
            ]
        found.sort(key=lambda candidate: -candidate.slack_ms)
        self._team_releasing[team] = releasing
        self._by_team[team] = found
        return found

    def _note_team_releasing(self, chosen: Iterable[Run]) -> None:
        for run in chosen:
            team = run.task.step.job.record.team
            releasing = self._team_releasing.get(team, ZERO)
            self._team_releasing[team] = releasing.plus(run.task.step.spec.resources)

    def _preemptible(self, worker: PoolWorker) -> list[_Preemptible]:
        """Return the preemptible runs of a worker, most slack first."""
        found = self._by_worker.get(worker.id)
        if found is None:
            found = [
                candidate
                for run in worker.runs.values()
                if (candidate := self._as_preemptible(run)) is not None
            ]
            found.sort(key=lambda candidate: -candidate.slack_ms)
            self._by_worker[worker.id] = found
        return found

    def _as_preemptible(self, run: Run) -> _Preemptible | None:
        """Return the run with its slack, or None if it must not be preempted."""
        step = run.task.step
        spec = step.spec
        if (
            run.state is not RunState.RUNNING
            or not spec.checkpoints
            or spec.long_running
            or spec.gang
            or spec.fills
            or run.percent > MAX_PERCENT
            or self._now_ms - run.confirmed_at_ms < MIN_RUN_MS
        ):
            return None
        queue = self._queues.get(step.job.record.queue)
        if queue is None:
            return None
        time = self._times.of(step, queue, self._now_ms)
        slack_ms = time.due_ms - self._now_ms - time.remaining_ms
        if slack_ms < MIN_SLACK_MS and not step.job.surplus:
            return None
        is_ending = self._is_ending(run, self._now_ms)
        return _Preemptible(slack_ms, queue.priority, run, is_ending)
