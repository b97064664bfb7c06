"""Lengths of steps and speeds of workers are told apart."""

from __future__ import annotations

import math
import statistics
from typing import Any

import pytest

from savorylead.jobs import RunState
from savorylead.pools import (
    FULL_POLICY,
    DurationEstimator,
    LearnedDurations,
    PoolPlanner,
    QueueDurations,
    SchedulingPolicy,
)
from savorylead.pools._duration_record import MAX_QUEUES
from savorylead.pools._worker_speeds import MAX_WORKERS

from .duration_cases import FAST, SLOW, Load, bimodal
from .pool_cases import NOW_MS, run_on, step_of, worker

#: Number of tasks of a worker after which its class of speed is known.
TASKS_PER_WORKER = 8


def learn_bimodal(
    seed: int,
    workers: int,
    sizes: tuple[int, ...],
    tasks_per_worker: int = TASKS_PER_WORKER,
    long_share: float = 0.03,
    fast_share: float = 0.25,
) -> Load:
    """Run steps of uneven lengths and sizes on a pool of two speeds."""
    load = Load(LearnedDurations(), bimodal(workers, fast_share), seed)
    while load.tasks < tasks_per_worker * workers:
        length_ms = 800 * load.rng.lognormvariate(0, 0.66)
        if load.rng.random() < long_share:
            length_ms *= 7
        declared_ms = round(length_ms * load.rng.lognormvariate(0, 1.0))
        load.run_step(length_ms, load.rng.choice(sizes), declared_ms)
    return load


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("workers", [12, 126])
@pytest.mark.parametrize("sizes", [(2, 4), (4, 8, 16), (40,), (1, 8)])
def test_fast_workers_are_known_after_eight_tasks_each(
    seed: int, workers: int, sizes: tuple[int, ...]
) -> None:
    # Guards against lengths of steps that are taken for speeds of workers.
    load = learn_bimodal(seed, workers, sizes)
    factors = load.factors()
    fast, others = factors[: workers // 4], factors[workers // 4 :]
    ratio = statistics.geometric_mean(fast) / statistics.geometric_mean(others)
    assert FAST / SLOW * 0.8 < ratio < FAST / SLOW * 1.4
    # The classes of placement are 1.5 apart.
    between = math.sqrt(FAST / SLOW)
    wrong = sum(f > between for f in fast) + sum(f < between for f in others)
    assert wrong <= workers * 0.03
    assert 0.85 < statistics.median(others) < 1.2


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fast_share", [0.0, 0.25, 0.5, 0.75])
def test_a_typical_worker_stays_at_one(seed: int, fast_share: float) -> None:
    # Guards against a common level of all factors that drifts away over time.
    load = learn_bimodal(seed, 24, (1, 4, 16), 400, fast_share=fast_share)
    factors = load.factors()
    middle = sorted(factors)[6:18]
    assert 0.9 < statistics.geometric_mean(middle) < 1.1


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("size", [1, 8])
def test_long_steps_do_not_spoil_factors(seed: int, size: int) -> None:
    # Guards against a worker that counts as slow since it got a long step.
    load = learn_bimodal(seed, 24, (8,), 20, long_share=0.0)
    before = load.factors()
    for _ in range(3):
        load.run_step(800 * 7, size)
    for old, new in zip(before, load.factors(), strict=True):
        assert abs(math.log(new / old)) < 0.25


@pytest.mark.parametrize(
    "tasks, low, high",
    [
        (0, 1.0, 1.0),
        # One task half as long as its siblings on other workers.
        (1, 0.6, 0.85),
        (8, 0.48, 0.6),
        (40, 0.47, 0.56),
    ],
)
def test_factors_are_shrunk_by_the_number_of_observations(
    tasks: int, low: float, high: float
) -> None:
    # Guards against placement by the noise of a first task.
    durations = LearnedDurations()
    for number in range(tasks):
        step = step_of(f"j{number}", "normal", count=5)
        for index in range(5):
            step.mark_done(index)
            where = "fast" if index == 4 else f"other{number}-{index}"
            durations.observe(step, where, 500 if index == 4 else 1_000)
    assert low <= durations.factor("fast") <= high
    assert durations.factor("unknown") == 1.0


def test_tasks_of_one_step_on_one_worker_tell_nothing_of_it() -> None:
    # Guards against a worker that confirms its own factor: a step that fits on one
    # worker is compared with nothing but itself.
    durations = LearnedDurations()
    for number in range(50):
        step = step_of(f"j{number}", "normal", count=8)
        for index in range(8):
            step.mark_done(index)
            durations.observe(step, "only", 1_000)
    assert durations.factor("only") == pytest.approx(1.0, abs=0.05)
    weight = durations.record().workers["only"].count
    assert weight < 50 * 8 / 4


@pytest.mark.parametrize("error, best", [(0.0, 0.1), (0.27, 0.35), (3.0, 0.75)])
@pytest.mark.parametrize("seed", [1, 2])
def test_declared_durations_count_by_how_well_they_predict(
    error: float, best: float, seed: int
) -> None:
    # Guards against choosing either the declared duration or the queue's mean.
    load = Load(LearnedDurations(), [1.0] * 10, seed)
    rng = load.rng
    for _ in range(300):
        length_ms = 1_000 * rng.lognormvariate(0, 0.66)
        load.run_step(length_ms, 2, round(length_ms * rng.lognormvariate(0, error)))
    errors = []
    for number in range(300):
        length_ms = 1_000 * rng.lognormvariate(0, 0.66)
        declared_ms = max(1, round(length_ms * rng.lognormvariate(0, error)))
        spec = step_of(f"j{number}", "normal", estimate_ms=declared_ms).spec
        expected_ms = load.estimator.estimate_ms("normal", spec)
        errors.append(math.log(length_ms / expected_ms))
    assert math.sqrt(statistics.fmean(e * e for e in errors)) < best


def test_a_queue_without_observations_is_taken_at_its_word() -> None:
    durations = LearnedDurations()
    for declared_ms, expected_ms in ((400, 400), (0, 1_000), (-5, 1_000)):
        spec = step_of("j", "normal", estimate_ms=declared_ms).spec
        assert durations.estimate_ms("normal", spec) == pytest.approx(expected_ms)


def learned(declared_ms: int = 1_000) -> LearnedDurations:
    """Return an estimator for a queue whose tasks take 1 s, within 10%."""
    durations = LearnedDurations()
    for number in range(200):
        step = step_of(f"j{number}", "normal", count=4, estimate_ms=declared_ms)
        length_ms = 1_000 * (1.5 if number % 2 else 0.67)
        for index, share in enumerate((0.9, 1.0, 1.0, 1.1)):
            step.mark_done(index)
            durations.observe(step, f"w{index}", round(length_ms * share))
    return durations


@pytest.mark.parametrize("done", [1, 3, 8])
def test_done_tasks_show_how_long_the_others_of_their_step_take(done: int) -> None:
    durations = learned()
    step = step_of("long", "normal", count=10)
    before_ms = durations.step_ms(step)
    assert 900 < before_ms < 1_300
    assert before_ms < durations.tail_ms(step) < 3_000
    for index in range(done):
        step.mark_done(index)
        durations.observe(step, f"w{index % 4}", 7_000)
    low, high = {1: (5_000, 7_800), 3: (6_000, 7_200), 8: (6_500, 7_200)}[done]
    assert low < durations.step_ms(step) < high
    assert durations.step_ms(step) < durations.tail_ms(step) < 1.7 * 7_000


#: Changes of a run that has worked for 3 s on its half.
UNFIT_REPORTS: dict[str, dict[str, Any]] = {
    "adopted": {"adopted": True},
    "resumed": {"resumed": True},
    "throttled": {"pace_percent": 50},
    "being stopped": {"state": RunState.STOPPING},
    "not confirmed": {"confirmed_at_ms": 0, "state": RunState.STARTING},
}


@pytest.mark.parametrize("name", ["fit", *UNFIT_REPORTS])
def test_reports_of_running_tasks_show_how_long_their_step_takes(name: str) -> None:
    # Guards against a projection from a run whose beginning or pace is unknown.
    durations = learned()
    step = step_of("long", "normal", count=10)
    for index in range(3):
        run = run_on(worker(f"w{index}"), step, index, confirmed_at_ms=NOW_MS - 3_000)
        run.percent, run.percent_at_ms = 50, NOW_MS
        for field, value in UNFIT_REPORTS.get(name, {}).items():
            setattr(run, field, value)
    durations.note_time(NOW_MS)
    expected_ms = durations.step_ms(step)
    if name == "fit":
        assert 5_000 < expected_ms < 6_500
    else:
        assert expected_ms < 1_300


@pytest.mark.parametrize(
    "running, done, worked_ms, raised",
    [
        (1, 0, 5_000, True),
        (4, 0, 5_000, True),
        (4, 1, 5_000, True),
        # Shorter than expected, which shows nothing.
        (4, 0, 300, False),
        # One task that is stuck beside done ones.
        (1, 3, 5_000, False),
        # No progress since the start, as on a worker that hangs.
        (4, 0, 0, False),
    ],
)
def test_tasks_that_worked_longer_than_expected_raise_the_estimate(
    running: int, done: int, worked_ms: int, raised: bool
) -> None:
    durations = learned()
    step = step_of("long", "normal", count=10)
    for index in range(done):
        step.mark_done(index)
        durations.observe(step, f"w{index}", 1_000)
    for index in range(done, done + running):
        run = run_on(worker("w0"), step, index, confirmed_at_ms=NOW_MS - 6_000)
        run.percent = 5 if worked_ms else 0
        run.percent_at_ms = run.confirmed_at_ms + worked_ms
    durations.note_time(NOW_MS)
    if raised:
        assert durations.step_ms(step) >= worked_ms * 0.95
    else:
        assert durations.step_ms(step) < 1_300


def test_estimates_of_steps_are_cached_until_reports_are_due() -> None:
    # Guards against a pass that reads all tasks of a step for each comparison.
    durations = learned()
    step = step_of("long", "normal", count=10)
    durations.note_time(NOW_MS)
    before_ms = durations.step_ms(step)
    run = run_on(worker("w0"), step, confirmed_at_ms=NOW_MS - 3_000)
    run.percent, run.percent_at_ms = 50, NOW_MS
    durations.note_time(NOW_MS + 199)
    assert durations.step_ms(step) == before_ms
    durations.note_time(NOW_MS + 200)
    assert durations.step_ms(step) > before_ms * 2


def test_memory_is_bounded_and_the_least_recently_observed_are_forgotten() -> None:
    durations = LearnedDurations()
    for number in range(MAX_WORKERS + 50):
        step = step_of(f"j{number}", f"queue{number}", count=2)
        for index, where in enumerate(("w0", f"w{number}")):
            step.mark_done(index)
            durations.observe(step, where, 1_000)
    record = durations.record()
    assert len(record.queues) == MAX_QUEUES
    assert len(record.workers) == MAX_WORKERS
    # It was observed in each step.
    assert "w0" in record.workers
    assert "w1" not in record.workers
    newest = MAX_WORKERS + 49
    assert f"w{newest}" in record.workers
    assert f"queue{newest}" in record.queues
    assert "queue0" not in record.queues


@pytest.mark.parametrize("declared_ms", [10**300, 2**53, 1, 0, -(10**300)])
@pytest.mark.parametrize("took_ms", [0, 1, 10**15])
def test_estimates_stay_finite(declared_ms: int, took_ms: int) -> None:
    durations = LearnedDurations()
    for number in range(40):
        step = step_of(f"j{number}", "normal", count=2, estimate_ms=declared_ms)
        for index in range(2):
            step.mark_done(index)
            durations.observe(step, f"w{index}", (took_ms, 1)[index])
    step = step_of("next", "normal", estimate_ms=declared_ms)
    values = [
        durations.estimate_ms("normal", step.spec),
        durations.step_ms(step),
        durations.tail_ms(step),
        durations.factor("w0"),
    ]
    assert all(math.isfinite(value) and value > 0 for value in values)
    record = durations.record()
    for row in (*record.queues.values(), *record.workers.values()):
        assert all(map(math.isfinite, row))


@pytest.mark.parametrize(
    "former_ms, incarnation_ms, is_kept",
    [(0, 0, True), (0, 7, True), (7, 7, True), (7, 0, True), (7, 8, False)],
)
def test_another_incarnation_starts_without_history(
    former_ms: int, incarnation_ms: int, is_kept: bool
) -> None:
    load = learn_bimodal(1, 12, (8,))
    durations = load.estimator
    assert isinstance(durations, LearnedDurations)
    durations.note_incarnation("w0", former_ms)
    assert durations.factor("w0") < 0.7
    durations.note_incarnation("w0", incarnation_ms)
    assert (durations.factor("w0") < 0.7) is is_kept
    assert is_kept or durations.factor("w0") == 1.0


@pytest.mark.parametrize(
    "policy, estimator",
    [(SchedulingPolicy(), QueueDurations), (FULL_POLICY, LearnedDurations)],
)
def test_the_policy_chooses_the_estimator(
    policy: SchedulingPolicy, estimator: type
) -> None:
    assert type(PoolPlanner(policy).durations) is estimator


@pytest.mark.parametrize(
    "kind, least, most", [(QueueDurations, 0.5, 1.5), (LearnedDurations, 0.0, 0.25)]
)
def test_half_done_steps_are_predicted_better_than_by_averages_of_the_queue(
    kind: type[DurationEstimator], least: float, most: float
) -> None:
    # The comparison of bench.durations, small.
    load = Load(kind(), bimodal(24), 5)
    expected: list[float] = []
    squares = []
    for _ in range(600):
        length_ms = 800 * load.rng.lognormvariate(0, 0.66)
        declared_ms = round(length_ms * load.rng.lognormvariate(0, 1.0))
        load.run_step(
            length_ms,
            8,
            declared_ms,
            at_half=lambda step: expected.append(load.estimator.step_ms(step)),
        )
        squares.append(math.log(length_ms * SLOW / expected[-1]) ** 2)
    assert least < math.sqrt(statistics.fmean(squares[300:])) < most


@pytest.mark.parametrize("percent, worked_ms", [(10, 5_000), (12, 6_000)])
def test_a_paused_run_projects_no_absurd_duration(percent: int, worked_ms: int) -> None:
    # One worker that was paused for 4.5 s made its step look 50 times as long, so that
    # its job was due a minute later.
    durations = LearnedDurations()
    step = step_of("j", "urgent", count=2, estimate_ms=700)
    where = worker("w")
    run = run_on(where, step, confirmed_at_ms=NOW_MS - worked_ms)
    run.percent, run.percent_at_ms = percent, NOW_MS
    durations.note_time(NOW_MS)
    assert durations.step_ms(step) < 10 * 700
