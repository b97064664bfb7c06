"""Estimates from lagging usage, and actions on overruns."""

import math

import pytest
from hypothesis import given, settings, strategies as st

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.resources import Resources
from savorylead.workers import (
    CheckpointMemory,
    MostSeverePolicy,
    OverrunAction,
    OverrunWatch,
    QuantileSketch,
    RunningUsage,
    StopRunTime,
    ThrottleCores,
    UsageEstimator,
)

LARGEST = Resources(16_000, 65_536, 0, 8, 64)


def spec(number=0, cores=1000, memory=1000, run_ms=10_000, **fields):
    return TaskSpec(
        TaskId("dispatch", "routes", f"r{number}"),
        TaskKind.BATCH,
        Resources(cores, memory, 0, 1),
        "night",
        run_time_ms=run_ms,
        **fields,
    )


def learn(estimator, factors, **fields):
    for number, factor in enumerate(factors):
        task = spec(number, **fields)
        used = Resources(
            round(task.resources.cores_milli * factor),
            round(task.resources.memory_mb * factor),
        )
        estimator.observe(task.id, Resources())
        estimator.observe(task.id, used)
        estimator.observe(task.id, Resources(1, 1))
        estimator.observe_end(task, round(10_000 * factor))


def exact_quantile(values, part):
    """Reference implementation: stores and sorts every sample."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(st.floats(0.01, 1e9), min_size=1, max_size=350),
    st.sampled_from([0.5, 0.9, 0.95, 1.0]),
)
def test_sketch_is_close_to_the_exact_quantile(values, part):
    sketch = QuantileSketch()
    for value in values:
        sketch.add(value)
    exact = exact_quantile(values, part)
    assert exact * 0.999999 <= sketch.quantile(part) <= exact * 1.19


def test_sketch_forgets_old_samples_and_stays_small():
    sketch = QuantileSketch()
    for _ in range(5_000):
        sketch.add(1000.0)
    for _ in range(5_000):
        sketch.add(10.0)
    assert sketch.quantile(0.99) < 12
    assert sketch.samples < 400
    assert len(sketch._counts) <= 2


@pytest.mark.parametrize("factor", [0.1, 0.5, 1.0, 3.0, 10.0])
def test_corrections_of_a_constant_error(factor):
    estimator = UsageEstimator()
    learn(estimator, [factor] * 30)
    estimate = estimator.estimate(spec(99), LARGEST)
    low, high = 0.999 * factor, 1.2 * factor
    assert 1000 * low <= estimate.resources.cores_milli <= 1000 * high
    assert 10_000 * low <= estimate.run_time_ms <= 10_000 * high
    memory = estimate.resources.memory_mb
    assert 1000 * max(1.0, low) <= memory <= 1000 * max(1.0, high)


def test_few_samples_correct_nothing():
    estimator = UsageEstimator()
    learn(estimator, [10.0] * 9)
    assert estimator.estimate(spec(99), LARGEST) == (spec().resources, 10_000)


def test_correction_does_not_make_a_task_impossible():
    estimator = UsageEstimator()
    learn(estimator, [10.0] * 30)
    big = spec(99, cores=8_000, memory=40_000)
    assert estimator.estimate(big, LARGEST).resources.fits(LARGEST)


def test_workspaces_do_not_mix_and_are_bounded():
    estimator = UsageEstimator()
    learn(estimator, [10.0] * 30)
    other = spec(1)._replace(id=TaskId("dispatch", "bookings", "b"))
    assert estimator.estimate(other, LARGEST).resources == other.resources
    for number in range(1_200):
        task = other._replace(id=TaskId("dispatch", f"w{number}", "b"))
        estimator.observe_end(task, 5)
    assert len(estimator._usage) == 1_000


def test_failed_tasks_teach_nothing_and_leave_nothing():
    estimator = UsageEstimator()
    for number in range(30):
        estimator.observe(spec(number).id, Resources(9_000, 9_000))
        estimator.forget(spec(number).id)
    assert estimator.estimate(spec(), LARGEST).resources == spec().resources
    assert estimator._peaks == {}


def test_undeclared_run_time_is_estimated():
    estimator = UsageEstimator()
    learn(estimator, [1.0] * 30, run_ms=0)
    assert 10_000 <= estimator.estimate(spec(run_ms=0), LARGEST).run_time_ms <= 12_000


def test_remaining_time_grows_with_what_survived():
    estimator = UsageEstimator()
    learn(estimator, [1.0] * 20 + [20.0] * 20)
    assert estimator.remaining_ms(spec(), 0) <= 12_000
    assert estimator.remaining_ms(spec(), 50_000) >= 140_000


def usage(used=(0, 0), free_mb=0, ran_ms=0, expected_ms=0, **fields):
    return RunningUsage(
        spec(**fields),
        Resources(1000, 1000),
        Resources(*used),
        ran_ms,
        expected_ms,
        Resources(0, free_mb),
    )


SERVICE = spec()._replace(kind=TaskKind.SERVICE)


@pytest.mark.parametrize(
    ("policy", "report", "action"),
    [
        (ThrottleCores(), usage((1100, 0)), OverrunAction.NONE),
        (ThrottleCores(), usage((1101, 0)), OverrunAction.THROTTLE),
        (CheckpointMemory(), usage((0, 1000)), OverrunAction.NONE),
        (CheckpointMemory(), usage((0, 1500), free_mb=500), OverrunAction.NONE),
        (CheckpointMemory(), usage((0, 1501), free_mb=500), OverrunAction.CHECKPOINT),
        (CheckpointMemory(), usage((0, 1501), repeatable=False), OverrunAction.STOP),
        (StopRunTime(10, 5), usage(ran_ms=100, expected_ms=10), OverrunAction.NONE),
        (StopRunTime(10, 5), usage(ran_ms=101, expected_ms=10), OverrunAction.STOP),
        (StopRunTime(10, 500), usage(ran_ms=101, expected_ms=10), OverrunAction.NONE),
        (StopRunTime(10, 5), usage(ran_ms=101), OverrunAction.NONE),
        (
            StopRunTime(10, 5),
            usage(ran_ms=101, expected_ms=10)._replace(spec=SERVICE),
            OverrunAction.NONE,
        ),
        (
            MostSeverePolicy([ThrottleCores(), CheckpointMemory()]),
            usage((2000, 2000)),
            OverrunAction.CHECKPOINT,
        ),
        (MostSeverePolicy([]), usage((2000, 2000)), OverrunAction.NONE),
    ],
)
def test_overrun_policy(policy, report, action):
    assert policy.decide(report) is action


def test_overrun_watch_waits_for_agreeing_reports_and_acts_once():
    watch = OverrunWatch(MostSeverePolicy([ThrottleCores(), CheckpointMemory()]))
    high, extreme, clean = usage((2000, 0)), usage((2000, 2000)), usage((10, 10))
    actions = [watch.report(r) for r in (high, extreme, clean, high, high, extreme)]
    assert actions[:5] == [OverrunAction.NONE] * 5
    assert actions[5] is OverrunAction.THROTTLE
    assert watch.report(high) is OverrunAction.NONE
    later = [watch.report(extreme) for _ in range(4)]
    assert later.count(OverrunAction.CHECKPOINT) == 1
    watch.forget(high.spec.id)
    assert watch._recent == {}
