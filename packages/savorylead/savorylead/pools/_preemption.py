"""Which runs to stop for more urgent tasks.

Load pattern: a burst of short urgent steps arrives while wide batch work fills every
worker. Tasks that can be checkpointed lose little when they are stopped, and their
jobs have minutes where urgent ones have a second. The same burst may come from a team
whose own batch work has filled the team's upper limit.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from savorylead.jobs import Run, RunState, StepRun
from savorylead.resources import ZERO, Resources

from ._contracts import Queue
from ._durations import DurationEstimator
from ._pool_worker import PoolWorker, held_by
from ._urgency import due_ms, remaining_chain_ms

#: A run is left alone for this long after its start, in milliseconds, or work would
#: only be moved about.
LEAST_RUN_MS = 400
#: A run that is this far is left to end.
MOST_PERCENT = 85
#: A job keeps at least this much time to spare when one of its runs is stopped.
LEAST_SLACK_MS = 2_000
#: Most runs that are stopped in one pass for one step.
MAX_VICTIMS = 12


def _lesser(one: Resources, other: Resources) -> Resources:
    return Resources(*(max(0, min(a, b)) for a, b in zip(one, other, strict=True)))


def _helps(freed: Resources, lacking: Resources) -> bool:
    """Return whether something of what is lacking would be freed."""
    return any(a > 0 and b > 0 for a, b in zip(freed, lacking, strict=True))


class Preemption:
    """Chooses victims: the least urgent runs on the fewest workers. Pure."""

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations

    def victims(
        self,
        step: StepRun,
        priority: int,
        missing: int,
        workers: Iterable[PoolWorker],
        free: dict[str, Resources],
        coming: dict[str, Resources],
        queues: Mapping[str, Queue],
        now_ms: int,
    ) -> list[Run]:
        """Return the runs to stop so that ``missing`` tasks of the step can start.

        What will be free is taken out of ``free`` and ``coming``, so that no other
        step counts on it. A gang gets room for all its tasks or none.
        """
        needed = held_by(step)
        if step.spec.fills or needed == ZERO:
            return []
        chosen: list[Run] = []
        undo: list[tuple[str, Resources, Resources]] = []
        for _ in range(missing):
            best = self._cheapest(
                needed, priority, workers, free, coming, queues, now_ms, chosen
            )
            if best is None or len(chosen) >= MAX_VICTIMS:
                if step.spec.gang:
                    for worker_id, old_free, old_coming in undo:
                        free[worker_id], coming[worker_id] = old_free, old_coming
                    return []
                break
            worker, runs = best
            undo.insert(0, (worker.id, free[worker.id], coming[worker.id]))
            for run in runs:
                freed = held_by(run.task.step)
                coming[worker.id] = coming[worker.id].plus(freed)
            chosen += runs
            # What is free now is used first, and the rest of what is coming.
            used = _lesser(needed, free[worker.id])
            free[worker.id] = free[worker.id].minus(used)
            coming[worker.id] = coming[worker.id].minus(needed.minus(used))
        return chosen

    def could_make_room(
        self,
        step: StepRun,
        priority: int,
        workers: Iterable[PoolWorker],
        free: Mapping[str, Resources],
        queues: Mapping[str, Queue],
        now_ms: int,
    ) -> list[PoolWorker]:
        """Return the workers on which victims would make room for one task."""
        needed = held_by(step)
        found = []
        for worker in workers:
            if not needed.fits(worker.entry.capacity):
                continue
            room = free[worker.id]
            for run in self._stoppable(worker, priority, queues, now_ms, ()):
                room = room.plus(held_by(run.task.step))
            if needed.fits(room):
                found.append(worker)
        return found

    def victims_at_limit(
        self,
        step: StepRun,
        priority: int,
        missing: int,
        room: Resources,
        workers: Iterable[PoolWorker],
        taken: Sequence[Run],
        queues: Mapping[str, Queue],
        now_ms: int,
    ) -> list[Run]:
        """Return runs of the step's own team to stop so that its limit has room.

        ``room`` is what the limit leaves now, ``taken`` are runs that are stopped
        already. A gang gets room for all its tasks or none.
        """
        team = step.job.record.team
        needed = step.spec.resources.times(missing)
        candidates: list[Run] = []
        for worker in workers:
            for run in worker.runs.values():
                if run.task.step.job.record.team != team:
                    continue
                if run.state is RunState.STOPPING or run in taken:
                    room = room.plus(run.task.step.spec.resources)
            candidates += [
                run
                for run in self._stoppable(worker, priority, queues, now_ms, taken)
                if run.task.step.job.record.team == team
            ]
        # Those with most time to spare first, as on one worker.
        candidates.sort(
            key=lambda run: (
                -self._slack_ms(run, queues[run.task.step.job.record.queue], now_ms)
            )
        )
        chosen: list[Run] = []
        for run in candidates:
            if needed.fits(room) or len(chosen) >= MAX_VICTIMS:
                break
            freed = run.task.step.spec.resources
            if _helps(freed, needed.minus(room)):
                chosen.append(run)
                room = room.plus(freed)
        if needed.fits(room):
            return chosen
        return [] if step.spec.gang or not step.spec.resources.fits(room) else chosen

    def _cheapest(
        self,
        needed: Resources,
        priority: int,
        workers: Iterable[PoolWorker],
        free: Mapping[str, Resources],
        coming: Mapping[str, Resources],
        queues: Mapping[str, Queue],
        now_ms: int,
        taken: Sequence[Run],
    ) -> tuple[PoolWorker, list[Run]] | None:
        """Return the worker with the fewest cores to stop, and the runs there."""
        best: tuple[PoolWorker, list[Run]] | None = None
        best_cost = 0
        for worker in workers:
            room = free[worker.id].plus(coming[worker.id])
            runs: list[Run] = []
            if not needed.fits(room):
                for run in self._stoppable(worker, priority, queues, now_ms, taken):
                    runs.append(run)
                    room = room.plus(held_by(run.task.step))
                    if needed.fits(room):
                        break
                else:
                    continue
            cost = sum(held_by(r.task.step).cores_milli for r in runs)
            if best is None or cost < best_cost:
                best, best_cost = (worker, runs), cost
        return best

    def _stoppable(
        self,
        worker: PoolWorker,
        priority: int,
        queues: Mapping[str, Queue],
        now_ms: int,
        taken: Sequence[Run],
    ) -> list[Run]:
        """Return the runs that may be stopped, those with most time to spare first."""
        found: list[tuple[float, Run]] = []
        for run in worker.runs.values():
            spec = run.task.step.spec
            if (
                run.state is not RunState.RUNNING
                or not spec.checkpoints
                or spec.long_running
                or spec.gang
                or spec.fills
                or run.percent > MOST_PERCENT
                or now_ms - run.confirmed_at_ms < LEAST_RUN_MS
                or run in taken
            ):
                continue
            theirs = queues.get(run.task.step.job.record.queue)
            if theirs is None or theirs.priority <= priority:
                continue
            slack = self._slack_ms(run, theirs, now_ms)
            if slack >= LEAST_SLACK_MS or run.task.step.job.surplus:
                found.append((-slack, run))
        found.sort(key=lambda pair: pair[0])
        return [run for _, run in found]

    def _slack_ms(self, run: Run, queue: Queue, now_ms: int) -> float:
        step = run.task.step
        due = due_ms(step.job, queue, step.occurrence, self._durations)
        return due - now_ms - remaining_chain_ms(step, self._durations)
