"""Tests that a gang starts while its team's other work uses up the team's limit."""

from __future__ import annotations

import pytest

from savorylead.jobs import RunState, StepRun
from savorylead.pools import PoolPlanner
from savorylead.resources import Resources

from .pool_cases import NOW_MS, plan, run_on, starts, step_of, worker

#: Workers of 16 cores: several times the team's limit.
WORKERS = 40
#: The team's small tasks: minimum number waiting, cores each, and length each.
SMALL_WAITING = 10
SMALL_CORES = 1.7
SMALL_MS = 3_400
#: The gang is submitted this long after the small tasks began to use the limit.
GANG_AFTER_MS = 4_000
#: Longest permitted wait: the running tasks end within one length, and the gang needs
#: no more than the limit.
MAX_WAIT_MS = 2 * SMALL_MS
PASS_INTERVAL_MS = 50


class _Team:
    """A team that continuously submits small tasks, and a gang of the same team."""

    def __init__(self, limit_milli: int, checkpoints: bool) -> None:
        self._limit_milli = limit_milli
        self._checkpoints = checkpoints
        self._pool = {f"w{n}": worker(f"w{n}") for n in range(WORKERS)}
        self._planner = PoolPlanner()
        self._small: list[StepRun] = []
        self._held_milli = 0
        self._number = 0

    def run_pass(self, gang: StepRun | None, now_ms: int) -> bool:
        """Run one planner pass; return whether the gang starts."""
        self._end_runs(now_ms)
        self._small = [step for step in self._small if not step.is_done]
        if sum(len(step.waiting()) for step in self._small) < SMALL_WAITING:
            self._number += 1
            small = step_of(
                f"small{self._number}",
                "batch",
                cores=SMALL_CORES,
                count=SMALL_WAITING,
                accepted_at_ms=now_ms,
                estimate_ms=SMALL_MS,
                checkpoints=self._checkpoints,
            )
            self._small.append(small)
        result = plan(
            [*self._small, *([gang] if gang else [])],
            list(self._pool.values()),
            self._planner,
            Resources(self._limit_milli - self._held_milli, 1 << 40, 1 << 40),
            now_ms,
        )
        for placement in result.placements:
            task = placement.task
            run = run_on(
                placement.worker, task.step, task.index, confirmed_at_ms=now_ms
            )
            run.percent_at_ms = now_ms
            self._held_milli += task.step.spec.resources.cores_milli
        for run in result.preempted:
            run.state = RunState.STOPPING
        return bool(result.gangs) and len(starts(result)) >= len(gang.tasks)

    def _end_runs(self, now_ms: int) -> None:
        for each in self._pool.values():
            for run in list(each.runs.values()):
                is_over = now_ms - run.confirmed_at_ms >= SMALL_MS
                if not is_over and run.state is not RunState.STOPPING:
                    continue
                task = run.task
                each.remove(run)
                task.run = None
                self._held_milli -= task.step.spec.resources.cores_milli
                if is_over:
                    task.step.mark_done(task.index)


def _starts_in_time(
    count: int, cores: float, limit_factor: float, checkpoints: bool
) -> bool:
    team = _Team(int(count * cores * limit_factor * 1000), checkpoints)
    gang = step_of(
        "gang",
        "normal",
        cores=cores,
        count=count,
        gang=True,
        accepted_at_ms=NOW_MS + GANG_AFTER_MS,
        estimate_ms=4_000,
    )
    for now_ms in range(NOW_MS, NOW_MS + GANG_AFTER_MS, PASS_INTERVAL_MS):
        team.run_pass(None, now_ms)
    start_ms = NOW_MS + GANG_AFTER_MS
    return any(
        team.run_pass(gang, now_ms)
        for now_ms in range(start_ms, start_ms + MAX_WAIT_MS, PASS_INTERVAL_MS)
    )


@pytest.mark.parametrize(
    "count, cores, limit_factor, checkpoints",
    [
        (3, 4.5, 1.2, True),
        (3, 4.5, 2.0, False),
        (3, 4.5, 2.0, True),
        (8, 4.5, 2.0, True),
    ],
)
def test_a_small_gang_at_its_teams_limit_starts_in_time(
    count: int, cores: float, limit_factor: float, checkpoints: bool
) -> None:
    assert _starts_in_time(count, cores, limit_factor, checkpoints)


@pytest.mark.parametrize(
    "count, cores, limit_factor, checkpoints",
    [
        (3, 4.5, 1.2, False),
        (8, 4.5, 1.2, False),
        (8, 4.5, 1.2, True),
        (8, 4.5, 2.0, False),
        (15, 4.5, 1.2, False),
        (15, 4.5, 1.2, True),
        (15, 4.5, 2.0, False),
        (15, 4.5, 2.0, True),
        (17, 6.3, 1.2, False),
        (17, 6.3, 1.2, True),
        (17, 6.3, 2.0, False),
        (17, 6.3, 2.0, True),
    ],
)
def test_a_gang_at_its_teams_limit_starts_in_time(
    count: int, cores: float, limit_factor: float, checkpoints: bool
) -> None:
    # Less urgent tasks of the gang's own team took each part of the limit as it was
    # released, for as long as such tasks were submitted.
    assert _starts_in_time(count, cores, limit_factor, checkpoints)
