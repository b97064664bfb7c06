"""Due times, expected ends and stalls follow what a step's tasks and workers show."""

from __future__ import annotations

import pytest

from savorylead.jobs import Job, JobRecord, JobSpec, StepRun, StepSpec
from savorylead.pools import (
    PoolPlanner,
    SchedulingPolicy,
    note_reported,
    stalled_runs,
    urgency_of,
    urgent_queues,
)
from savorylead.resources import Resources

from .fixed_durations import LEARNS, FixedDurations, learning_planner
from .pool_cases import NOW_MS, POOL, QUEUES, plan, run_on, starts, step_of, worker

#: Declared duration of each task, and that of a step that takes seven times as long.
SHORT_MS, LONG_MS = 700, 4_900


def chain(job_id: str, accepted_at_ms: int, queue_name: str = "urgent") -> Job:
    """Return a job of three successive steps of one task each."""
    steps = tuple(
        StepSpec(1, Resources(1_000, 1_000, 0), SHORT_MS, after=(n - 1,) if n else ())
        for n in range(3)
    )
    record = JobRecord(
        job_id, POOL, queue_name, "team", accepted_at_ms, JobSpec("text", steps)
    )
    job = Job(record, 1)
    job.open_due(NOW_MS)
    return job


def next_step(job: Job, done: int, now_ms: int) -> StepRun:
    """Complete a job's first steps and return the next one."""
    for step in job.occurrences[0][:done]:
        step.mark_done(0)
    return next(job.ready_steps(now_ms))


@pytest.mark.parametrize(
    "load_pattern, done, shown, age_ms, lateness",
    [
        # Estimated: 1.5 times 2.1 s and 0.25 s make 3.4 s; 0.15 of that is tolerated.
        ("as estimated", 1, {}, 900, 0),
        ("waited too long", 1, {}, 3_000, 1),
        # The first step takes 4.9 s; due after 1.5 * 6.3 + 0.25 = 9.7 s.
        ("a long first step is done", 1, {0: LONG_MS}, 5_000, 0),
        ("the same, and it waited", 1, {0: LONG_MS}, 10_000, 1),
        ("a long second step is done", 2, {1: LONG_MS}, 6_000, 0),
        ("two long steps are done", 2, {0: LONG_MS, 1: LONG_MS}, 11_000, 0),
        # A step that runs shows its duration; one to come does not.
        ("the second step, of which nothing has run", 1, {1: LONG_MS}, 5_000, 1),
        # A step that took less than estimated makes the job due earlier.
        ("a short first step is done", 1, {0: 70}, 1_700, 1),
    ],
)
def test_a_long_step_moves_the_due_time_of_its_job(
    load_pattern: str, done: int, shown: dict[int, int], age_ms: int, lateness: int
) -> None:
    job = chain("j", NOW_MS - age_ms)
    step = next_step(job, done, NOW_MS)
    planner = learning_planner(shown_ms={f"j.0.{n}": ms for n, ms in shown.items()})
    urgency = urgency_of(step, QUEUES["urgent"], planner.times, NOW_MS)
    assert urgency.lateness == lateness, load_pattern


@pytest.mark.parametrize("learns", [True, False])
def test_a_job_with_a_long_step_keeps_its_place(learns: bool) -> None:
    # Load pattern: 3 of 100 urgent steps take seven times as long; at its former due
    # time such a job fell behind all others, and its next step waited for all of them.
    job = chain("long", NOW_MS - 5_200)
    step = next_step(job, 1, NOW_MS)
    other = step_of("other", "normal", accepted_at_ms=NOW_MS - 100)
    planner = PoolPlanner()
    if learns:
        planner = learning_planner(shown_ms={"long.0.0": LONG_MS})
    result = plan([other, step], [worker("w", cores=1)], planner)
    assert starts(result) == [("long" if learns else "other", "w")]


@pytest.mark.parametrize(
    "after_ms, is_seen", [(0, False), (150, False), (200, True), (250, True)]
)
def test_what_the_first_tasks_show_is_seen_within_200_ms(
    after_ms: int, is_seen: bool
) -> None:
    step = step_of("j", "urgent", count=4, estimate_ms=SHORT_MS)
    planner = learning_planner()
    before = planner.times.of(step, QUEUES["urgent"], NOW_MS)
    run_on(worker("w"), step)
    planner.durations.shown_ms[step.name] = LONG_MS
    time = planner.times.of(step, QUEUES["urgent"], NOW_MS + after_ms)
    assert (time.due_ms > before.due_ms) == is_seen
    assert (time.remaining_ms == LONG_MS) == is_seen


def test_a_stopped_run_does_not_bring_the_former_due_time_back() -> None:
    # A run of a long step that is stopped would otherwise make its job late at once.
    step = step_of("j", "urgent", estimate_ms=SHORT_MS, accepted_at_ms=NOW_MS - 3_000)
    planner = learning_planner(shown_ms={step.name: LONG_MS})
    task = step.tasks[0]
    run_on(worker("w"), step)
    task.last_run, task.run = 1, None
    urgency = urgency_of(step, QUEUES["urgent"], planner.times, NOW_MS)
    assert urgency.lateness == 0


@pytest.mark.parametrize(
    "factor, shown_ms, percent, ends_in_ms",
    [
        (1.0, None, 0, 700),
        (2.0, None, 0, 1_400),
        (0.5, None, 0, 350),
        (1.0, 4_900, 0, 4_900),
        (0.5, 4_900, 5, 2_327),
        # From ten percent on the run's own pace decides: 1 s for a fifth.
        (0.5, 4_900, 20, 4_000),
    ],
)
def test_an_expected_end_counts_the_worker_and_the_step(
    factor: float, shown_ms: int | None, percent: int, ends_in_ms: int
) -> None:
    step = step_of("j", "batch", estimate_ms=SHORT_MS)
    run = run_on(worker("w"), step, confirmed_at_ms=NOW_MS - 1_000)
    run.percent, run.percent_at_ms = percent, NOW_MS
    shown = {step.name: shown_ms} if shown_ms else {}
    planner = learning_planner({"w": factor}, shown)
    assert int(planner.run_ends.ends_at_ms(run)) - NOW_MS == ends_in_ms


@pytest.mark.parametrize(
    "factor, is_backfilled", [(0.5, True), (1.0, True), (1.6, False)]
)
def test_backfill_counts_the_worker(factor: float, is_backfilled: bool) -> None:
    # A gang of two whole workers waits for one that is free in 2 s. A task of 1.5 s,
    # with its margin 1.8 s, may use the other one only if that is fast enough. Half of
    # the workers may be reserved; the rest is busy for longer.
    busy, free, *others = (worker(name) for name in ("busy", "free", "o1", "o2"))
    for each in others:
        run_on(each, step_of(each.id, "urgent", cores=16, estimate_ms=9_000))
    run = run_on(busy, step_of("r", "urgent", cores=16, estimate_ms=2_000))
    run.percent_at_ms = NOW_MS
    gang = step_of("gang", "urgent", cores=16, count=2, gang=True)
    small = step_of("small", "urgent", estimate_ms=1_500, accepted_at_ms=NOW_MS + 1)
    planner = learning_planner({"free": factor})
    result = plan([gang, small], [busy, free, *others], planner)
    expected = [("small", "free")] if is_backfilled else []
    assert starts(result) == expected


#: Reports as the time in milliseconds after the run was confirmed, and its percentage.
STILL = [(1_000, 0), (2_000, 0)]


@pytest.mark.parametrize(
    "load_pattern, queue_name, estimate_ms, shown_ms, factor, reports, is_stalled",
    [
        ("a hung worker's urgent task", "urgent", 700, None, 1.0, STILL, True),
        ("one report", "urgent", 700, None, 1.0, STILL[:1], False),
        ("less urgent", "normal", 700, None, 1.0, STILL, False),
        ("less urgent, 3 s", "normal", 700, None, 1.0, [*STILL, (3_000, 0)], True),
        ("long", "urgent", 2_000, None, 1.0, STILL, False),
        ("long, 3 s", "urgent", 2_000, None, 1.0, [*STILL, (3_000, 0)], True),
        ("long on a slow worker", "urgent", 1_200, None, 1.3, STILL, False),
        ("short on a fast worker", "urgent", 2_000, None, 0.5, STILL, True),
        # Other tasks of the step show that it is long.
        ("a long step", "urgent", 700, 4_900, 1.0, STILL, False),
        # The estimator counts the time that the stalled run has worked itself.
        ("its own time counts", "urgent", 700, 2_000, 1.0, STILL, True),
        # Progress was made: seven times as long, but not stalled.
        ("slow", "urgent", 700, 4_900, 1.0, [(1_000, 20), (2_000, 40)], False),
        ("slow at first", "urgent", 700, None, 1.0, [(1_000, 0), (1_900, 2)], False),
        # Time in which reports are overdue is not time without progress.
        ("one slow report", "urgent", 700, None, 1.0, [(1_700, 0)], False),
        ("a pause of 3 s", "urgent", 700, None, 1.0, [(1_000, 10), (4_000, 10)], False),
        (
            "a slow, then a prompt one",
            "urgent",
            700,
            None,
            1.0,
            [(2_500, 0), (2_700, 0)],
            False,
        ),  # noqa: E501 - table.
        (
            "still after a slow one",
            "urgent",
            700,
            None,
            1.0,
            [(2_500, 0), (3_000, 0)],
            True,
        ),  # noqa: E501 - table.
    ],
)
def test_short_urgent_runs_stall_earlier(
    load_pattern: str,
    queue_name: str,
    estimate_ms: int,
    shown_ms: int | None,
    factor: float,
    reports: list[tuple[int, int]],
    is_stalled: bool,
) -> None:
    where = worker("w")
    step = step_of("j", queue_name, estimate_ms=estimate_ms)
    run = run_on(where, step, confirmed_at_ms=NOW_MS)
    durations = FixedDurations(
        {"w": factor}, {step.name: shown_ms} if shown_ms else None
    )
    urgent = urgent_queues(LEARNS, QUEUES.values())
    found = []
    for at_ms, percent in reports:
        now_ms = NOW_MS + at_ms
        note_reported(run, now_ms)
        if percent != run.percent:
            run.percent, run.percent_at_ms, run.unreported_ms = percent, now_ms, 0
        found = stalled_runs(where, durations, now_ms, urgent)
    assert (found == [run]) == is_stalled, load_pattern


def test_runs_stall_as_before_where_durations_are_not_learned() -> None:
    assert urgent_queues(SchedulingPolicy(), QUEUES.values()) == frozenset()
    assert urgent_queues(LEARNS, QUEUES.values()) == {"urgent"}


@pytest.mark.parametrize(
    "load_pattern, has_stalled, resumed, cold_for_ms, is_stalled",
    [
        ("first run", False, False, 0, True),
        # A step whose first progress takes long would be stopped again and again.
        ("run after a stall", True, False, 0, False),
        ("resuming from a checkpoint", False, True, 0, False),
        ("on a worker that has just started", False, False, 1_000, False),
    ],
)
def test_only_runs_that_should_show_progress_soon_stall_early(
    load_pattern: str,
    has_stalled: bool,
    resumed: bool,
    cold_for_ms: int,
    is_stalled: bool,
) -> None:
    where = worker("w")
    step = step_of("j", "urgent", estimate_ms=SHORT_MS)
    step.has_stalled = has_stalled
    run = run_on(where, step, confirmed_at_ms=NOW_MS)
    run.resumed = resumed
    where.cold_until_ms = NOW_MS + cold_for_ms
    urgent = urgent_queues(LEARNS, QUEUES.values())
    for at_ms, _ in STILL:
        note_reported(run, NOW_MS + at_ms)
    found = stalled_runs(where, FixedDurations(), NOW_MS + STILL[-1][0], urgent)
    assert (found == [run]) == is_stalled, load_pattern
