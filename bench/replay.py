"""Drives the decisions of a pool over a drawn load, against a naive order.

It replays decisions with a clock that jumps from event to event: no calls, no faults
of machines. Printed with the naive order as the baseline: the share served in time and
the waits by queue, and core-seconds of work that was stopped and not saved.
"""

from __future__ import annotations

import argparse
import heapq
from collections import defaultdict
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from bench._replay_load import START_MS, ReplayLoad
from bench._replay_pattern import PATTERNS, Adviser, JobKind, Pattern, load_pattern
from bench._report import percentile, report
from savorylead.jobs import (
    Job,
    JobRecord,
    JobState,
    Run,
    RunState,
    StepRun,
)
from savorylead.pools import (
    UNBOUNDED,
    Advice,
    AdviceCost,
    AdviceSlots,
    PoolPlanner,
    PoolWorker,
    Queue,
    WorkerEntry,
    copies_that_fit,
    could_ever_hold,
    reservation_of,
)
from savorylead.resources import Resources

#: Least time between two passes of the planner, as in a daemon.
PLAN_EVERY_MS = 5
#: Time between two reports of a run's progress.
REPORT_EVERY_MS = 250
#: Failed runs after which a job has failed.
MAX_ATTEMPTS = 2
#: A cancelled job is cancelled this long after it came.
CANCEL_MS = 300
#: What is reported of each queue.
UNITS = {"in_time": "share", "wait_p50_ms": "ms", "wait_p99_ms": "ms"}


class Replay:
    """One load under one way of deciding."""

    def __init__(
        self, pattern: Pattern, naive: bool, bounded_calls: bool = True
    ) -> None:
        """``bounded_calls``: calls for advice wait with the planner, not in a line."""
        self._pattern = pattern
        self._naive = naive
        self._bounded_calls = bounded_calls
        self._load = ReplayLoad(pattern)
        self._rng = Random(pattern.seed + 1)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._now_ms = START_MS
        self._planner = PoolPlanner()
        self._queues = {kind.name: self._queue(kind) for kind in pattern.jobs}
        self._planner.set_queues(self._queues.values())
        self._workers = self._make_workers()
        self._jobs: dict[str, Job] = {}
        self._open: dict[str, Job] = {}
        self._done_ms: dict[tuple[str, int], float] = defaultdict(float)
        self._first_start: dict[str, int] = {}
        self._kinds = {kind.name: kind for kind in pattern.jobs}
        callers = pattern.adviser.callers if pattern.adviser else 1
        #: When each caller's line at the adviser is empty.
        self._callers_free_ms = [START_MS] * callers
        self._allowed: dict[tuple[str, str], bool] = {}
        self._plan_not_before_ms = START_MS
        self._plan_is_due = False
        self._next_report_ms = START_MS
        self.lost_core_s = 0.0
        self.stops = 0

    def run(self) -> dict[str, Any]:
        """Play the load to its end and return the figures."""
        for at_ms, record in self._load.arrivals():
            self._at(at_ms, lambda record=record: self._arrive(record))
        end_ms = START_MS + int(self._pattern.seconds * 1000)
        for at_ms in range(START_MS, 2 * end_ms - START_MS, 250):
            self._at(at_ms, self._plan)
        while self._events:
            self._now_ms, _, event = heapq.heappop(self._events)
            event()
        return self._figures()

    def _at(self, at_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (int(at_ms), next(self._order), event))

    def _arrive(self, record: JobRecord) -> None:
        job = Job(record, 1)
        job.open_due(self._now_ms)
        job.surplus = record.id in self._load.surplus
        self._jobs[job.id] = self._open[job.id] = job
        if job.id in self._load.cancelled:
            self._at(self._now_ms + CANCEL_MS, lambda: self._cancel(job))
        self._plan()

    def _cancel(self, job: Job) -> None:
        if job.final is None:
            self._finish(job, JobState.CANCELLED)
            for run in job.runs():
                self._stop(run)

    def _plan(self) -> None:
        if self._now_ms < self._plan_not_before_ms:
            if not self._plan_is_due:
                self._plan_is_due = True
                self._at(self._plan_not_before_ms, self._plan)
            return
        self._plan_is_due = False
        self._report_progress()
        self._plan_not_before_ms = self._now_ms + PLAN_EVERY_MS
        steps = [
            step
            for job in self._open.values()
            for step in job.ready_steps(self._now_ms)
        ]
        if self._naive:
            self._place_naively(steps)
            return
        plan = self._planner.plan(
            steps,
            self._queues,
            self._workers,
            lambda _: None,
            self._now_ms,
            self._advice_slots(),
        )
        placed = [*plan.placements, *(p for g in plan.gangs for p in g.placements)]
        for placement in placed:
            self._start(placement.task, placement.worker)
        for run in plan.preempted:
            self._stop(run)
        for request in plan.requests:
            self._planner.book.note_requested(request.step)
            self._ask(request.step, request.workers, self._answer)

    def _report_progress(self) -> None:
        """Let the lead know how far each run is, as often as workers report it."""
        if self._now_ms < self._next_report_ms:
            return
        self._next_report_ms = self._now_ms + REPORT_EVERY_MS
        for worker in self._workers:
            for run in worker.runs.values():
                name = run.task.step.job.id
                done_ms = self._done_ms[(name, run.task.index)]
                done_ms += self._now_ms - run.confirmed_at_ms
                run.percent = min(99, int(100 * done_ms / self._load.lengths[name]))
                run.percent_at_ms = self._now_ms

    def _place_naively(self, steps: list[StepRun]) -> None:
        """First come, first served, on the first worker with room."""
        steps.sort(key=lambda step: step.job.record.accepted_at_ms)
        for step in steps:
            allowed = self._allowed_naively(step)
            waiting = step.waiting()
            if step.spec.gang:
                held = reservation_of(step)
                copies = (copies_that_fit(held, w.free(), step) for w in allowed)
                if step.running() or sum(copies) < len(waiting):
                    continue
            for task in waiting:
                fitting = (w for w in allowed if reservation_of(step).fits(w.free()))
                worker = next(fitting, None)
                if worker is None:
                    break
                self._start(task, worker)

    def _allowed_naively(self, step: StepRun) -> list[PoolWorker]:
        """Return the allowed workers, asking once about all of them."""
        able = [w for w in self._workers if could_ever_hold(w, step)]
        if self._pattern.adviser is None:
            return able
        known = self._planner.book.of(step)
        if not known.good and not known.pending:
            known.pending = True
            self._ask(step, tuple(w.id for w in able), self._answer)
        return [w for w in able if w.id in known.good]

    def _ask(
        self,
        step: StepRun,
        workers: tuple[str, ...],
        answer: Callable[[StepRun, tuple[str, ...]], None],
    ) -> None:
        adviser = self._adviser_for(step.job.record.queue)
        assert adviser is not None
        takes_ms = adviser.decide_ms + adviser.per_worker_ms * len(workers)
        free_ms = self._callers_free_ms
        caller = min(range(len(free_ms)), key=free_ms.__getitem__)
        free_ms[caller] = max(free_ms[caller], self._now_ms) + int(takes_ms)
        self._at(free_ms[caller], lambda: answer(step, workers))

    def _adviser_for(self, queue: str) -> Adviser | None:
        return self._kinds[queue].adviser or self._pattern.adviser

    def _advice_slots(self) -> AdviceSlots:
        """Return the calls that may be made without waiting for another one."""
        if not self._bounded_calls:
            return UNBOUNDED
        idle = sum(free_ms <= self._now_ms for free_ms in self._callers_free_ms)
        return AdviceSlots(
            idle, max(0, idle - 1) if len(self._callers_free_ms) > 1 else idle
        )

    def _answer(self, step: StepRun, names: tuple[str, ...]) -> None:
        adviser = self._adviser_for(step.job.record.queue)
        assert adviser is not None
        tickets = {w: "t" for w in names if self._is_allowed(step, w, adviser.good)}
        asked = [w for w in self._workers if w.id in names]
        self._planner.book.record_answer(
            step,
            step.job.record.queue,
            asked,
            Advice(tickets, adviser.valid_ms),
            self._now_ms,
        )
        self._plan()

    def _is_allowed(self, step: StepRun, worker: str, good: float) -> bool:
        key = (step.name, worker)
        if key not in self._allowed:
            self._allowed[key] = self._rng.random() < good
        return self._allowed[key]

    def _start(self, task: Any, worker: PoolWorker) -> None:
        run = Run(task, task.last_run + 1, worker.id, self._now_ms)
        run.state = RunState.RUNNING
        run.confirmed_at_ms = run.percent_at_ms = self._now_ms
        task.run = run
        task.last_run = run.number
        worker.add(run)
        name = task.step.job.id
        self._first_start.setdefault(name, self._now_ms)
        length = self._load.lengths[name]
        left = length - self._done_ms[(name, task.index)]
        if left < length:
            left += self._pattern.restore_ms
        self._at(self._now_ms + max(1, left), lambda: self._end(run))

    def _stop(self, run: Run) -> None:
        if run.state is not RunState.RUNNING:
            return
        run.state = RunState.STOPPING
        run.stopped_at_ms = self._now_ms
        self.stops += 1
        ran_ms = self._now_ms - run.confirmed_at_ms
        step = run.task.step
        if step.spec.checkpoints:
            self._done_ms[(step.job.id, run.task.index)] += ran_ms
        elif step.job.id not in self._load.cancelled:
            self.lost_core_s += ran_ms * step.spec.resources.cores_milli / 1e6
        self._at(self._now_ms + self._pattern.stop_ms, lambda: self._leave(run))

    def _end(self, run: Run) -> None:
        if run.state is not RunState.RUNNING:
            return
        step = run.task.step
        job = step.job
        took_ms = self._now_ms - run.confirmed_at_ms
        if job.id in self._load.hopeless:
            if step.note_failure(run.task.index, run.number) >= MAX_ATTEMPTS:
                self._finish(job, JobState.FAILED)
                for other in job.runs():
                    if other is not run:
                        self._stop(other)
        else:
            step.mark_done(run.task.index)
            self._planner.durations.observe(step, run.worker, took_ms)
        self._leave(run)
        if job.final is None and job.is_complete():
            self._finish(job, JobState.COMPLETED)

    def _leave(self, run: Run) -> None:
        if run.state is RunState.STOPPING:
            self._planner.run_ends.observe_stop(self._now_ms - run.stopped_at_ms)
        run.state = RunState.STOPPING
        worker = next(w for w in self._workers if w.id == run.worker)
        worker.remove(run)
        if run.task.run is run:
            run.task.run = None
        self._plan()

    def _finish(self, job: Job, state: JobState) -> None:
        job.finish(state, self._now_ms)
        self._open.pop(job.id, None)

    def first_waits_ms(
        self, queue: str, accelerators: int, least_tasks: int
    ) -> list[int]:
        """Return how long jobs waited that have such tasks and so many of them."""
        waits = []
        for job in self._jobs.values():
            (spec,) = job.record.spec.steps
            is_wanted = (
                job.record.queue == queue
                and spec.resources.accelerators == accelerators
                and spec.count >= least_tasks
            )
            if is_wanted and job.id in self._first_start:
                waits.append(self._first_start[job.id] - job.record.accepted_at_ms)
        return waits

    def _figures(self) -> dict[str, Any]:
        by_queue = {}
        for name, queue in self._queues.items():
            jobs = [
                j
                for j in self._jobs.values()
                if j.record.queue == name
                and j.id not in self._load.cancelled
                and j.id not in self._load.surplus
            ]
            by_queue[name] = self._queue_figures(jobs, queue)
        return {"queues": by_queue, "lost_core_s": round(self.lost_core_s, 1)}

    def _queue_figures(self, jobs: list[Job], queue: Queue) -> dict[str, Any]:
        in_time = 0
        waits = []
        for job in jobs:
            began_ms = job.record.accepted_at_ms
            if job.id in self._first_start:
                waits.append(self._first_start[job.id] - began_ms)
            length = self._load.lengths[job.id]
            due_ms = began_ms + queue.stretch * length + queue.objective_ms
            ended = job.final in (JobState.COMPLETED, JobState.FAILED)
            in_time += ended and job.ended_at_ms <= due_ms
        return {
            "jobs": len(jobs),
            "in_time": round(in_time / max(1, len(jobs)), 3),
            "wait_p50_ms": percentile(waits, 0.5),
            "wait_p99_ms": percentile(waits, 0.99),
        }

    def _queue(self, kind: JobKind) -> Queue:
        adviser = kind.adviser or self._pattern.adviser
        advice = None
        if adviser is not None:
            advice = AdviceCost(
                adviser.decide_ms, adviser.per_worker_ms, adviser.valid_ms
            )
        return Queue(
            name=kind.name,
            host="",
            prefix="",
            pool="pool",
            priority=kind.priority,
            max_attempts=MAX_ATTEMPTS,
            stretch=kind.stretch,
            objective_ms=kind.objective_ms,
            anonymous=True,
            advice=advice,
        )

    def _make_workers(self) -> list[PoolWorker]:
        workers = []
        for group in self._pattern.workers:
            capacity = Resources(
                group.cores * 1000, group.memory_mb, group.accelerators
            )
            for _ in range(group.count):
                name = f"w{len(workers)}"
                entry = WorkerEntry(name, "pool", name, "z", capacity, (), "", True, 1)
                worker = PoolWorker(entry)
                worker.listed = True
                workers.append(worker)
                workers[-1].usable = True
        return workers


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.replay")
    names = sorted(path.stem for path in PATTERNS.glob("*.json"))
    parser.add_argument("pattern", nargs="*", default=names, help="file or name")
    for name in parser.parse_args().pattern:
        _report(name, load_pattern(name))


def _report(name: str, pattern: Pattern) -> None:
    naive = Replay(pattern, naive=True).run()
    planned = Replay(pattern, naive=False).run()
    lost, before = planned["lost_core_s"], naive["lost_core_s"]
    report("replay", f"{name}/lost", lost, "core-seconds", before)
    for queue, figures in planned["queues"].items():
        for metric, unit in UNITS.items():
            value, baseline = figures[metric], naive["queues"][queue][metric]
            report("replay", f"{name}/{queue}/{metric}", value, unit, baseline)


if __name__ == "__main__":
    main()
