"""Estimates that tell the speeds of workers from the lengths of steps.

Load pattern: durations of steps differ by a factor of e between callers' estimates and
the truth, three in a hundred take seven times as long, and workers differ by a factor
of two. The tasks of one step are alike, so they show both: what a step's tasks have in
common is its length, what a worker's tasks have in common is its speed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from savorylead.jobs import StepRun, StepSpec

from ._duration_record import MAX_QUEUES, DurationRecord
from ._durations import DurationEstimator
from ._queue_regression import Prediction, QueueRegression
from ._step_durations import StepDurations, known_of
from ._worker_speeds import WorkerSpeeds

#: Done tasks of an unfinished step whose workers are judged together. A first task
#: tells little of its worker before others of its step are done.
MAX_PENDING = 8
#: Fewest learned tasks after which the factors are again made relative to a typical
#: worker, which takes as long as learning from one task of each worker.
CENTRE_INTERVAL = 32
#: How long the estimate of a step is cached, in milliseconds; reports arrive once a
#: second.
CACHE_TTL_MS = 200
#: Standard deviations from the mean to the 95th percentile of a normal distribution.
TAIL_DEVIATIONS = 1.645


class LearnedDurations(DurationEstimator):
    """Predicts by queue, by step and by worker."""

    def __init__(self) -> None:
        #: Number of observed durations.
        self.observations = 0
        #: By name, least recently observed first.
        self._queues: dict[str, QueueRegression] = {}
        self._speeds = WorkerSpeeds()
        self._since_centred = 0
        self._now_ms = 0

    def note_time(self, now_ms: int) -> None:
        """Set the time by which cached estimates of steps are outdated."""
        self._now_ms = now_ms

    def note_incarnation(self, worker: str, incarnation_start_ms: int) -> None:
        """Forget a worker's speed if another incarnation of it answers."""
        self._speeds.note_incarnation(worker, incarnation_start_ms)

    def observe(self, step: StepRun, worker: str, took_ms: int) -> None:
        """Record the duration of a task that ran in one piece and succeeded."""
        self.observations += 1
        known = known_of(step)
        known.add(worker, math.log(max(1, took_ms)))
        if step.is_done or len(known.pending) >= MAX_PENDING:
            self._learn(step, known)

    def estimate_ms(self, queue: str, spec: StepSpec) -> float:
        """Return the expected duration of a task on a typical worker."""
        regression = self._queues.get(queue)
        if regression is None:
            regression = _UNKNOWN_QUEUE
        return regression.expected_ms(spec.estimate_ms)

    def step_ms(self, step: StepRun) -> float:
        """Return the expected duration, given what is known of the step's tasks."""
        return self._current(step).expected_ms

    def tail_ms(self, step: StepRun) -> float:
        """Return the duration below which 95 of 100 tasks of the step stay."""
        return self._current(step).tail_ms

    def elsewhere_ms(self, step: StepRun, worker: str) -> float:
        """Return the expected duration, given the step's tasks on other workers."""
        known = self._read(step)
        return _mean_ms(*self._distribution(step, known, without=worker))

    def factor(self, worker: str) -> float:
        """Return the duration of tasks on a worker relative to a typical one."""
        return self._speeds.factor(worker)

    def record(self) -> DurationRecord:
        """Return what a later lead goes on with."""
        queues = {name: queue.moments for name, queue in self._queues.items()}
        return DurationRecord(queues, dict(self._speeds))

    def restore(self, record: DurationRecord) -> None:
        """Go on with a former lead's record, except for what was observed since."""
        for name, moments in record.queues.items():
            if name not in self._queues and len(self._queues) < MAX_QUEUES:
                self._queues[name] = QueueRegression(moments)
        observed = dict(self._speeds)
        recorded = {w: s for w, s in record.workers.items() if w not in observed}
        # What this lead has observed is the most recent, so it is evicted last.
        for worker, speed in (recorded | observed).items():
            self._speeds.set(worker, speed)

    def _current(self, step: StepRun) -> StepDurations:
        known = self._read(step)
        if not known.is_current:
            mean, variance, prior = self._distribution(step, known)
            known.expected_ms = _mean_ms(mean, variance, prior)
            known.tail_ms = math.exp(mean + TAIL_DEVIATIONS * math.sqrt(variance))
            known.is_current = True
        return known

    def _read(self, step: StepRun) -> StepDurations:
        known = known_of(step)
        read_at_ms = known.read_at_ms
        if read_at_ms is None or not 0 <= self._now_ms - read_at_ms < CACHE_TTL_MS:
            known.read_runs(step, self._now_ms, self._predict(step).mean)
        return known

    def _predict(self, step: StepRun) -> Prediction:
        queue = self._queues.get(step.job.record.queue, _UNKNOWN_QUEUE)
        return queue.predict(step.spec.estimate_ms)

    def _distribution(
        self, step: StepRun, known: StepDurations, without: str | None = None
    ) -> tuple[float, float, Prediction]:
        """Return mean and variance of a task's log duration, and what they began with.

        Tasks on the worker ``without`` are left out.
        """
        prior = self._predict(step)
        log_factor = self._speeds.log_factor
        count, total = 0.0, 0.0
        for by_worker in (known.done, known.running):
            for worker, (weight, log_sum) in by_worker.items():
                if worker != without:
                    count += weight
                    total += log_sum - weight * log_factor(worker)
        mean, variance = _combine(prior, count, total)
        floors = sorted(
            log_ms - log_factor(worker)
            for worker, log_ms in known.worked
            if worker != without
        )
        # A task that is stuck shows nothing of the others, so the estimate is raised
        # only if most of the tasks that are known have worked for longer.
        if len(floors) > count:
            mean = max(mean, floors[(len(floors) - 1) // 2])
        return mean, variance, prior

    def _learn(self, step: StepRun, known: StepDurations) -> None:
        """Learn from the pending tasks, compared with others of the step."""
        pending, known.pending = known.pending, []
        prior = self._predict(step)
        log_factor = self._speeds.log_factor
        typical = [log_ms - log_factor(worker) for worker, log_ms in pending]
        totals = {
            worker: (done, log_sum - done * log_factor(worker))
            for worker, (done, log_sum) in known.done.items()
        }
        count = sum(done for done, _ in totals.values())
        total = sum(log_sum for _, log_sum in totals.values())
        for worker, log_ms in pending:
            # Tasks on the same worker tell nothing of its speed.
            done, log_sum = totals[worker]
            expected, variance = _combine(prior, count - done, total - log_sum)
            weight = prior.within_variance / variance
            self._speeds.add(worker, log_ms - expected, weight)
        self._learn_queue(step, typical, count, total)
        self._since_centred += len(pending)
        if self._since_centred >= max(CENTRE_INTERVAL, len(self._speeds)):
            self._since_centred = 0
            offset = self._speeds.centre()
            for queue in self._queues.values():
                queue.shift(offset)

    def _learn_queue(
        self, step: StepRun, typical: Iterable[float], count: float, total: float
    ) -> None:
        name = step.job.record.queue
        queue = self._queues.pop(name, None) or QueueRegression()
        self._queues[name] = queue
        for log_ms in typical:
            queue.add(log_ms, step.spec.estimate_ms, 1 / step.spec.count)
            if count > 1:
                others = count - 1
                queue.add_within(log_ms - (total - log_ms) / others, others)
        if len(self._queues) > MAX_QUEUES:
            del self._queues[next(iter(self._queues))]


#: Predicts for queues without observations.
_UNKNOWN_QUEUE = QueueRegression()


def _combine(prior: Prediction, count: float, total: float) -> tuple[float, float]:
    """Return mean and variance of a task's log duration, given others of its step.

    ``total`` is the sum of the log durations of ``count`` others.
    """
    if not count:
        return prior.mean, prior.variance
    prior_weight = prior.within_variance / prior.step_variance
    mean = (prior_weight * prior.mean + total) / (prior_weight + count)
    return mean, prior.within_variance * (1 + 1 / (prior_weight + count))


def _mean_ms(mean: float, variance: float, prior: Prediction) -> float:
    """Return the mean duration, of which the median is that of ``mean``."""
    return math.exp(mean + prior.mean_shift * (variance / prior.variance))
