"""Estimates and quarantine against taking declared figures and workers as they are."""

from __future__ import annotations

import random
import time

from bench._report import report
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.resources import Resources
from savorylead.workers import AttemptBudget, UsageEstimator, WorkerHealth

WORKSPACES = 46
TASKS = 20_000
LARGEST = Resources(32_000, 131_072, 8, 8, 64)
WORKERS = 93
BAD_WORKERS = 3
JOBS = 3_000


def _spec(number: int, workspace: int) -> TaskSpec:
    task = TaskId("team", f"w{workspace}", f"r{number}")
    size = Resources(1_000, 1_000, 0, 1)
    return TaskSpec(task, TaskKind.BATCH, size, "q", run_time_ms=60_000)


def _measure_estimates() -> None:
    """Each workspace errs by its own factor of 0.1 to 10, each task by some more."""
    rng = random.Random(11)
    factors = [10 ** rng.uniform(-1, 1) for _ in range(WORKSPACES)]
    estimator = UsageEstimator()
    off_before, off_after, over_before, over_after = [], [], 0, 0
    spent_s = 0.0
    for number in range(TASKS):
        workspace = rng.randrange(WORKSPACES)
        spec = _spec(number, workspace)
        factor = factors[workspace] * rng.lognormvariate(0, 0.4)
        used = Resources(round(1_000 * factor), round(1_000 * factor))
        began_s = time.perf_counter()
        estimate = estimator.estimate(spec, LARGEST)
        estimator.observe(spec.id, used)
        estimator.observe_end(spec, round(60_000 * factor))
        spent_s += time.perf_counter() - began_s
        if number < TASKS // 2:
            continue
        off_before.append(max(factor, 1 / factor))
        ratio = estimate.run_time_ms / (60_000 * factor)
        off_after.append(max(ratio, 1 / ratio))
        over_before += used.memory_mb > spec.resources.memory_mb
        over_after += used.memory_mb > estimate.resources.memory_mb
    count = len(off_after)
    before, after = sum(off_before) / count, sum(off_after) / count
    report("estimates", "run_time_off_by_mean", after, "times", before)
    report(
        "estimates",
        "tasks_over_held_memory",
        over_after / count,
        "part",
        over_before / count,
    )
    report("estimates", "cost_per_task", spent_s / TASKS * 1e6, "us")


def _failed_attempts(with_health: bool) -> tuple[int, int, int]:
    """Return failures on bad workers, good workers refused, good jobs given up."""
    rng = random.Random(5)
    health, budget = WorkerHealth(WORKERS), AttemptBudget()
    names = [f"v{number}" for number in range(WORKERS)]
    bad = set(names[:BAD_WORKERS])
    failed = refused_good = given_up = now_ms = 0
    for number in range(JOBS):
        spec = _spec(number, 0)
        hopeless = number % 50 == 0
        while True:
            now_ms += 120
            # A worker that fails at once is always the emptiest: it is tried first.
            order = sorted(
                rng.sample(names, 8) + sorted(bad), key=lambda n: n not in bad
            )
            order = [n for n in order if n not in budget.failed_on(spec.id)]
            allowed = [n for n in order if health.may_start(n, spec, now_ms)]
            refused_good += len(set(order) - set(allowed) - bad)
            worker = (allowed if with_health else order)[0]
            health.record_start(worker, spec.id, now_ms)
            if worker not in bad and not hopeless:
                health.record_success(worker, spec.id, now_ms)
                break
            failed += worker in bad
            proved = health.is_proved(worker)
            health.record_failure(worker, spec.id, now_ms)
            if budget.record_failure(spec.id, worker, "exit 1", proved):
                given_up += not hopeless
                health.record_attempts_exhausted(spec.id)
                break
    return failed, refused_good, given_up


def _measure_health() -> None:
    naive, _, naive_given_up = _failed_attempts(with_health=False)
    failed, refused_good, given_up = _failed_attempts(with_health=True)
    report("estimates", "attempts_lost_to_bad_workers", failed, "attempts", naive)
    report("estimates", "good_jobs_given_up", given_up, "jobs", naive_given_up)
    report("estimates", "good_workers_refused", refused_good, "times")


def main() -> None:
    _measure_estimates()
    _measure_health()


if __name__ == "__main__":
    main()
