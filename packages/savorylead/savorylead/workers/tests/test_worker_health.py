"""Distinction between bad workers and bad jobs."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.resources import Resources
from savorylead.workers import AttemptBudget, HealthState, WorkerHealth

BACK_OFF_MS = 30_000


def job(number, **fields):
    task = TaskId("dispatch", "routes", f"r{number}")
    return TaskSpec(task, TaskKind.BATCH, Resources(1), "night", **fields)


def break_worker(health, worker, now_ms, first=0):
    for number in range(first, first + 3):
        health.record_failure(worker, job(number).id, now_ms)


def test_three_failed_jobs_in_a_row_quarantine():
    health = WorkerHealth(9)
    health.record_failure("w", job(1).id, 0)
    health.record_failure("w", job(2).id, 0)
    assert health.state("w", 0) is HealthState.TRUSTED
    health.record_failure("w", job(3).id, 0)
    assert health.state("w", 0) is HealthState.QUARANTINED
    assert health.quarantined(0) == ["w"]
    assert not health.may_start("w", job(9), 0)


@pytest.mark.parametrize("repeats", [3, 10])
def test_one_job_that_fails_again_and_again_does_not_quarantine(repeats):
    health = WorkerHealth(9)
    for _ in range(repeats):
        health.record_failure("w", job(1).id, 0)
    assert health.state("w", 0) is HealthState.TRUSTED


def test_success_between_failures_keeps_trust():
    health = WorkerHealth(9)
    for number in range(30):
        health.record_failure("w", job(number).id, 0)
        if number % 2:
            health.record_success("w", job(1000 + number).id, 0)
    assert health.state("w", 0) is HealthState.TRUSTED


def test_back_off_grows_and_is_bounded():
    health = WorkerHealth(9)
    now_ms, lengths = 0, []
    break_worker(health, "w", now_ms)
    for number in range(12):
        start_ms = now_ms
        while health.state("w", now_ms) is HealthState.QUARANTINED:
            now_ms += 1_000
        lengths.append((now_ms - start_ms) // 1_000)
        health.record_start("w", job(100 + number).id, now_ms)
        health.record_failure("w", job(100 + number).id, now_ms)
    assert lengths[:4] == [30, 60, 120, 240]
    assert lengths[-1] == 1_800


@pytest.mark.parametrize(
    ("spec", "allowed"),
    [
        (job(50), True),
        (job(50, urgent=True), False),
        (job(50, repeatable=False), False),
        (job(50, members=4), False),
    ],
)
def test_probe_is_harmless(spec, allowed):
    health = WorkerHealth(9)
    break_worker(health, "w", 0)
    assert health.may_start("w", spec, BACK_OFF_MS) is allowed


def test_probes_are_one_at_a_time_until_two_succeed():
    health = WorkerHealth(9)
    break_worker(health, "w", 0)
    now_ms = BACK_OFF_MS
    for number in (50, 51):
        assert health.may_start("w", job(number), now_ms)
        health.record_start("w", job(number).id, now_ms)
        assert not health.may_start("w", job(99), now_ms)
        health.record_success("w", job(number).id, now_ms)
    assert health.state("w", now_ms) is HealthState.TRUSTED


def test_cancelled_probe_makes_room_for_another():
    health = WorkerHealth(9)
    break_worker(health, "w", 0)
    assert health.may_start("w", job(50), BACK_OFF_MS)
    health.record_start("w", job(50).id, BACK_OFF_MS)
    health.record_withdrawal("w", job(50).id)
    assert health.may_start("w", job(51), BACK_OFF_MS)


def test_job_that_fails_everywhere_leaves_no_worker_in_quarantine():
    health = WorkerHealth(30)
    for worker in ("a", "b", "c", "d"):
        health.record_success(worker, job(90).id, 0)
    for worker in ("a", "b"):
        for number in (1, 2, 3):
            health.record_failure(worker, job(number).id, 0)
    assert health.quarantined(0) == ["a"]
    health.record_failure("c", job(1).id, 0)
    assert health.quarantined(0) == []
    assert health.state("c", 0) is HealthState.TRUSTED


@pytest.mark.parametrize("were_good", [False, True])
def test_bad_workers_do_not_vouch_for_each_other(were_good):
    health = WorkerHealth(30)
    for worker in ("a", "b", "c") if were_good else ():
        health.record_success(worker, job(90).id, 0)
    for number in range(4 if were_good else 3):
        for worker in ("a", "b", "c"):
            health.record_failure(worker, job(number).id, 0)
    assert health.quarantined(0) == ["a", "b", "c"]


def test_common_cause_does_not_quarantine_the_fleet():
    health = WorkerHealth(9)
    for worker in range(9):
        for number in range(5):
            health.record_failure(f"w{worker}", job(100 * worker + number).id, 0)
    assert len(health.quarantined(0)) == 3


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(0, 2**16))
def test_bad_workers_are_found_and_good_ones_are_not(seed):
    """Two of twelve workers fail every job; a tenth of the jobs fail on any worker."""
    rng = random.Random(seed)
    health, budget = WorkerHealth(12), AttemptBudget()
    bad = {"w0", "w1"}
    blamed, now_ms = {}, 0
    for number in range(400):
        spec = job(number)
        while True:
            now_ms += 200
            names = [f"w{n}" for n in range(12)]
            names = [n for n in names if n not in budget.failed_on(spec.id)]
            names = [n for n in names if health.may_start(n, spec, now_ms)]
            worker = rng.choice(names)
            health.record_start(worker, spec.id, now_ms)
            if worker not in bad and number % 10:
                health.record_success(worker, spec.id, now_ms)
                break
            proved = health.is_proved(worker)
            health.record_failure(worker, spec.id, now_ms)
            blamed[worker] = blamed.get(worker, 0) + 1
            if budget.record_failure(spec.id, worker, "boom", proved):
                health.record_attempts_exhausted(spec.id)
                break
        assert set(health.quarantined(now_ms)) <= bad
        assert health.state("w5", now_ms) is HealthState.TRUSTED
    assert sum(blamed.get(w, 0) for w in bad) < 40


def test_unproved_workers_do_not_use_up_the_workers_of_a_job():
    budget = AttemptBudget()
    for worker in ("a", "b", "c", "d"):
        assert budget.record_failure(job(1).id, worker, "boom", proved=False) is None
    verdict = budget.record_failure(job(1).id, "e", "boom", proved=False)
    assert verdict.attempts == 5


@pytest.mark.parametrize(
    ("workers", "given_up_at"),
    [
        (["a", "b", "c", "d"], 3),
        (["a", "a", "a", "a", "a"], 5),
        (["a", "a", "b", "b", "a"], 5),
    ],
)
def test_attempt_budget(workers, given_up_at):
    budget = AttemptBudget()
    for number, worker in enumerate(workers, 1):
        verdict = budget.record_failure(job(1).id, worker, f"error {number}")
        assert (verdict is not None) is (number >= given_up_at)
        if verdict:
            assert verdict.attempts == number
            assert verdict.describe().endswith(f"last: error {number}")
            assert all(worker in verdict.describe() for worker in verdict.workers)
            break
    budget.forget(job(1).id)
    assert budget.failed_on(job(1).id) == ()
