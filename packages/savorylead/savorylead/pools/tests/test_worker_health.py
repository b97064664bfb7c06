"""Detection of failing, stalled and slow workers, and their quarantine."""

from __future__ import annotations

from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings, strategies as st

from savorylead.jobs import Run, StepRun
from savorylead.pools import PoolWorker, QueueDurations, stalled_runs
from savorylead.pools._failures import FAILURES_TO_QUARANTINE, OUTLIVED_BY_MS
from savorylead.resources import Resources

from .pool_cases import NOW_MS, plan, run_on, starts, step_of, worker


def fail(where: PoolWorker, step: StepRun, at_ms: int, sent_at_ms: int) -> bool:
    """Record a failed run of a step; return whether it quarantines the worker."""
    run = Run(step.tasks[0], 1, where.id, sent_at_ms)
    return where.note_failed(step, run, at_ms)


def test_a_worker_that_fails_everything_is_rested_and_tried_again() -> None:
    bad = worker("w")
    steps = [step_of(f"j{number}", "normal") for number in range(5)]
    began = [fail(bad, step, NOW_MS, NOW_MS - 300) for step in steps[:3]]
    assert began == [False, False, True]
    assert not bad.may_start(NOW_MS + 1_000)
    assert bad.may_start(NOW_MS + 2_000)
    # One more failure quarantines it for twice as long.
    assert fail(bad, steps[3], NOW_MS + 2_300, NOW_MS + 2_000)
    assert not bad.may_start(NOW_MS + 6_000)
    assert bad.may_start(NOW_MS + 6_300)
    bad.note_done(steps[4], NOW_MS + 6_500)
    assert not fail(bad, steps[4], NOW_MS + 9_000, NOW_MS + 8_000)
    assert bad.may_start(NOW_MS + 9_000)


@pytest.mark.parametrize("failures", [3, 9, 36])
def test_failures_of_earlier_runs_do_not_lengthen_a_quarantine(failures: int) -> None:
    # Guards against the incident of review/8 (LOST): nine failures at one moment
    # lengthened the quarantine from 2 s to 30 s.
    bad = worker("w")
    step = step_of("j", "normal", count=36)
    began = [fail(bad, step, NOW_MS + n, NOW_MS - 300) for n in range(failures)]
    assert sum(began) == 1
    assert bad.may_start(NOW_MS + 2_000 + failures)


def test_between_quarantine_and_success_a_worker_gets_one_start_at_a_time() -> None:
    bad = worker("w")
    step = step_of("j", "normal", count=36)
    for _ in range(3):
        fail(bad, step, NOW_MS, NOW_MS - 300)
    later_ms = NOW_MS + 3_000
    waiting = [step_of(f"k{number}", "normal", count=4) for number in range(3)]
    assert len(starts(plan(waiting, [bad], now_ms=later_ms))) == 1
    run = run_on(bad, waiting[0], confirmed_at_ms=later_ms)
    assert not bad.may_start(later_ms + 900)
    assert bad.may_start(later_ms + 1_000)
    bad.remove(run)
    bad.note_done(waiting[0], later_ms + 1_500)
    assert len(starts(plan(waiting, [bad], now_ms=later_ms + 1_500))) == 11


class InService(NamedTuple):
    """A run beside three failed ones of 3 s, and whether these count no longer."""

    name: str
    #: When it was sent, relative to them, and its age at the last report.
    sent_after_ms: int
    age_ms: int
    excuses: bool
    percent: int = 100
    is_long_running: bool = True
    is_adopted: bool = False


@pytest.mark.parametrize(
    "case",
    [
        InService("outlived them", 0, 5_000, True),
        InService("not yet", 0, 4_900, False),
        InService("sent a pass earlier", -1_000, 6_000, True),
        InService("sent long before", -1_100, 60_000, False),
        InService("sent later", 4_000, 5_000, True),
        InService("not in service", 0, 60_000, False, percent=99),
        InService("may still fail at its end", 0, 60_000, False, is_long_running=False),
        InService("of an earlier lead", 0, 60_000, False, is_adopted=True),
    ],
    ids=lambda case: case.name,
)
def test_a_service_that_outlives_failed_runs_excuses_its_worker(
    case: InService,
) -> None:
    # Guards against the incident of review/13 (LOST): only a run that was done excused
    # a worker, and long-running tasks never are.
    doubted = worker("w")
    failing = step_of("j", "normal", count=36, long_running=True)
    for _ in range(3):
        fail(doubted, failing, NOW_MS, NOW_MS - 3_000)
    step = step_of("k", "normal", long_running=case.is_long_running)
    sent_at_ms = NOW_MS - 3_000 + case.sent_after_ms
    run = run_on(doubted, step, confirmed_at_ms=sent_at_ms)
    run.percent = case.percent
    run.adopted = case.is_adopted
    run.last_reported_at_ms = sent_at_ms + case.age_ms
    doubted.note_report(max(NOW_MS, run.last_reported_at_ms))
    waiting = [step_of(f"l{number}", "normal") for number in range(4)]
    later_ms = NOW_MS + 60_000
    assert len(starts(plan(waiting, [doubted], now_ms=later_ms))) == (
        4 if case.excuses else 1
    )


@given(
    age_ms=st.integers(100, 20_000),
    runs=st.lists(
        st.tuples(st.integers(0, 5_000), st.integers(0, OUTLIVED_BY_MS - 1)),
        min_size=4,
        max_size=30,
    ),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_runs_that_all_fail_at_about_one_age_never_excuse_their_worker(
    age_ms: int, runs: list[tuple[int, int]]
) -> None:
    bad = worker("w")
    step = step_of("j", "normal", count=len(runs), long_running=True)
    ends = []
    for index, (sent_after_ms, jitter_ms) in enumerate(runs):
        run = run_on(bad, step, index, confirmed_at_ms=NOW_MS + sent_after_ms)
        run.percent = 100
        ends.append((run.sent_at_ms + age_ms + jitter_ms, run))
    for number, (at_ms, run) in enumerate(sorted(ends, key=lambda end: end[0]), 1):
        for other in bad.runs.values():
            other.last_reported_at_ms = max(other.sent_at_ms, at_ms)
        bad.remove(run)
        bad.note_failed(step, run, at_ms)
        bad.note_report(at_ms)
        assert bad.failures.failed_runs() >= min(number, FAILURES_TO_QUARANTINE)


@pytest.mark.parametrize("is_late", [True, False])
def test_a_service_that_runs_elsewhere_is_not_at_fault(is_late: bool) -> None:
    # Two proved workers on which it fails would blame it, and excuse a bad worker.
    step = step_of("j", "normal", count=36, long_running=True)
    workers = [worker("w1"), worker("w2"), worker("w3")]
    for each in workers[:2]:
        each.note_done(step_of("k", "normal"), NOW_MS - 1_000)
    run = run_on(workers[2], step, confirmed_at_ms=NOW_MS - 10_000)
    run.percent = 100
    run.last_reported_at_ms = NOW_MS if is_late else NOW_MS - 9_000
    for each in (*workers[:2], *[workers[1]] * 2):
        fail(each, step, NOW_MS, NOW_MS - 300)
    assert workers[1].may_start(NOW_MS + 1) is not is_late


@pytest.mark.parametrize("first, second", [(3, 1), (9, 9), (1, 3)])
def test_a_step_that_fails_on_two_proved_workers_quarantines_none(
    first: int, second: int
) -> None:
    step = step_of("j", "normal", count=36)
    one, other = worker("w1"), worker("w2")
    for each in (one, other):
        each.note_done(step_of("k", "normal"), NOW_MS - 1_000)
    for number in range(first):
        fail(one, step, NOW_MS + number, NOW_MS - 300)
    for number in range(second):
        fail(other, step, NOW_MS + 20 + number, NOW_MS - 300)
    assert one.may_start(NOW_MS + 50)
    assert other.may_start(NOW_MS + 50)


def test_a_step_does_not_excuse_workers_that_have_done_nothing_yet() -> None:
    step = step_of("j", "normal", count=36)
    bad = [worker("w1"), worker("w2")]
    for each in bad:
        for _ in range(3):
            fail(each, step, NOW_MS, NOW_MS - 300)
    assert not any(each.may_start(NOW_MS + 1) for each in bad)


def test_failures_count_again_once_the_step_was_done_elsewhere() -> None:
    step = step_of("j", "normal", count=36)
    bad = [worker("w1"), worker("w2")]
    sound = worker("w3")
    for each in bad:
        each.note_done(step_of("k", "normal"), NOW_MS - 1_000)
        for _ in range(3):
            fail(each, step, NOW_MS, NOW_MS - 300)
    assert all(each.may_start(NOW_MS + 1) for each in bad)
    sound.note_done(step, NOW_MS + 100)
    assert not any(each.may_start(NOW_MS + 101) for each in bad)


def test_a_failed_task_prefers_workers_on_which_its_step_has_not_failed() -> None:
    step = step_of("j", "normal")
    workers = [worker(f"w{number}") for number in range(3)]
    # The best fit would be the fullest worker.
    run_on(workers[0], step_of("k", "normal", cores=8))
    fail(workers[0], step, NOW_MS, NOW_MS - 300)
    assert starts(plan([step], workers)) != [("j", "w0")]


@pytest.mark.parametrize("workers", [1, 2, 3, 4, 7, 195])
@pytest.mark.parametrize("avoided", ["one", "half", "all"])
def test_most_half_of_the_workers_are_avoided(workers: int, avoided: str) -> None:
    # Guards against LOST: jobs waited beside empty workers, all of which were avoided.
    everyone = [worker(f"w{number}", cores=1) for number in range(workers)]
    count = {"one": 1, "half": (workers + 1) // 2, "all": workers}[avoided]
    for each in everyone[:count]:
        fail_alone(each)
    waiting = [step_of(f"j{number}", "normal") for number in range(workers)]
    placed = {name for _, name in starts(plan(waiting, everyone))}
    assert len(placed) == workers - min(count, workers // 2)
    assert placed >= {each.id for each in everyone[count:]}


@pytest.mark.parametrize("is_long_running", [True, False])
@pytest.mark.parametrize("workers", [2, 3, 7])
def test_room_that_services_hold_is_no_choice(
    workers: int, is_long_running: bool
) -> None:
    # Guards against the incident of review/13 (LOST): workers full of a service counted
    # as those that an avoided worker need not stand in for.
    everyone = [worker(f"w{number}") for number in range(workers)]
    fail_alone(everyone[0])
    for each in everyone[1:]:
        filling = step_of(each.id, "normal", cores=16, long_running=is_long_running)
        run_on(each, filling)
    placed = starts(plan([step_of("j", "normal")], everyone))
    # A task that ends frees its worker soon.
    assert placed == [("j", "w0")] * is_long_running


def fail_alone(where: PoolWorker) -> None:
    """Quarantine a worker by steps that fail on no other one."""
    for number in range(3):
        step = step_of(f"{where.id}-{number}", "normal")
        fail(where, step, NOW_MS - 10, NOW_MS - 300)


@pytest.mark.parametrize(
    "changes, count",
    [
        # The only worker with a label, half of the two with memory for a task, and a
        # gang that needs a worker each.
        ({"required_label": "b"}, 1),
        ({"resources": Resources(1_000, 32_000, 0)}, 1),
        ({"gang": True, "resources": Resources(2_000, 1_000, 0)}, 6),
    ],
)
def test_what_a_step_may_use_is_not_avoided_altogether(
    changes: dict[str, Any], count: int
) -> None:
    # Guards against LOST: a step waited 30 s for the only worker that it may use.
    everyone = [
        worker("w0", cores=2, label="b"),
        worker("w1", cores=2, memory_mb=32_000),
        worker("w2", cores=2, memory_mb=32_000),
        *(worker(f"w{number}", cores=2, memory_mb=8_000) for number in (3, 4, 5)),
    ]
    everyone[0].entry = everyone[0].entry._replace(capacity=Resources(2_000, 16_000, 0))
    for each in everyone[:3]:
        fail_alone(each)
    step = step_of("j", "normal", count=count, **changes)
    assert len(starts(plan([step], everyone))) == count


@pytest.mark.parametrize(
    "ratios, is_slow",
    [
        ([6.0] * 6, True),
        ([1.0, 4.0, 0.5, 2.0, 1.0, 3.0], False),
        ([1.3] * 20, False),
    ],
)
def test_a_slow_worker_is_told_from_uneven_tasks(
    ratios: list[float], is_slow: bool
) -> None:
    one = worker("w")
    quarantined = [one.note_duration(ratio, NOW_MS) for ratio in ratios]
    assert any(quarantined) is is_slow


@pytest.mark.parametrize(
    "estimate_ms, still_ms, changes, is_stalled",
    [
        (900, 3_000, {}, True),
        (900, 2_000, {}, False),
        (60_000, 5_000, {}, False),
        (60_000, 13_000, {}, True),
        (900, 9_000, {"long_running": True}, False),
        (900, 9_000, {"fills": True}, False),
    ],
)
def test_a_run_without_progress_is_stalled(
    estimate_ms: int, still_ms: int, changes: dict[str, bool], is_stalled: bool
) -> None:
    one = worker("w")
    step = step_of("j", "normal", estimate_ms=estimate_ms, **changes)
    run = run_on(one, step, confirmed_at_ms=NOW_MS - still_ms)
    run.percent_at_ms = NOW_MS - still_ms
    assert bool(stalled_runs(one, QueueDurations(), NOW_MS)) is is_stalled
