"""Copies of late tasks: which get one, where, and with which capacity."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from savorylead.jobs import (
    CopyNotAllowedError,
    JobState,
    Run,
    RunState,
    StepRun,
    TaskCrash,
)
from savorylead.pools import (
    Advice,
    PlannedCopy,
    PoolPlanner,
    PoolWorker,
    SchedulingPolicy,
    WorkerCrash,
    record_crash,
)
from savorylead.resources import Resources

from .pool_cases import NOW_MS, QUEUES, plan, queue, run_on, step_of, worker

#: 128 cores in eight workers, so that copies may hold 6.4 cores.
WORKERS = 8
POLICY = SchedulingPolicy(copy_share=0.05)


def pool(count: int = WORKERS) -> list[PoolWorker]:
    return [worker(f"w{number}") for number in range(count)]


def speculative(
    name: str = "job", queue_name: str = "urgent", **changes: Any
) -> StepRun:
    return step_of(name, queue_name, **{"speculative": True, **changes})


def copies_of(
    steps: list[StepRun],
    workers: list[PoolWorker],
    policy: SchedulingPolicy = POLICY,
    **options: Any,
) -> list[PlannedCopy]:
    planner = options.pop("planner", None) or PoolPlanner(policy)
    return list(plan(steps, workers, planner, **options).copies)


def hang(run: Run, where: PoolWorker) -> None:
    where.note_silent(NOW_MS - 500)
    where.usable = False


def hang_just_now(run: Run, where: PoolWorker) -> None:
    where.note_silent(NOW_MS - 20)
    where.usable = False


def start_unanswered(run: Run, where: PoolWorker) -> None:
    run.state = RunState.STARTING
    run.confirmed_at_ms = 0
    run.sent_at_ms = NOW_MS - 350


def start_just_sent(run: Run, where: PoolWorker) -> None:
    run.state = RunState.STARTING
    run.confirmed_at_ms = 0
    run.sent_at_ms = NOW_MS - 50


def stop(reason: str, before_ms: int) -> Callable[[Run, PoolWorker], None]:
    def apply(run: Run, where: PoolWorker) -> None:
        run.state = RunState.STOPPING
        run.stop_reason = reason
        run.stop_ordered_at_ms = NOW_MS - before_ms

    return apply


def report(percent: int, worked_ms: int, before_ms: int = 0) -> Callable[..., None]:
    """Return a report of the progress that came ``before_ms`` ago."""

    def apply(run: Run, where: PoolWorker) -> None:
        run.confirmed_at_ms = run.sent_at_ms = NOW_MS - worked_ms
        run.percent = percent
        run.percent_at_ms = NOW_MS - before_ms if percent else run.confirmed_at_ms

    return apply


class Late(NamedTuple):
    """What befalls a run of 1 s, and the reason for its copy."""

    name: str
    apply: Callable[[Run, PoolWorker], None]
    reason: str


CASES = [
    Late("hung worker", hang, "silent"),
    Late("one answer was lost", hang_just_now, ""),
    Late("start order without an answer", start_unanswered, "silent"),
    Late("start order just sent", start_just_sent, ""),
    Late(
        "stopped as its start was not answered", stop("start_unanswered", 5), "silent"
    ),
    Late("stalled", stop("stalled", 5), "stalled"),
    Late("stopping for long", stop("preempted", 300), "stalled"),
    Late("stopping", stop("preempted", 299), ""),
    # Slow worker: 20 percent in 1 s, so 4 s are left, of which a copy takes one.
    Late("slow worker", report(20, 1_000), "late"),
    Late("a little slow", report(45, 1_000), ""),
    Late("normal", report(50, 500), ""),
    Late("no progress reported", report(0, 2_100), "late"),
    Late("no progress reported yet", report(0, 1_900), ""),
    Late("nearly done", report(80, 2_500, before_ms=900), ""),
    Late("beyond its own pace", report(60, 2_600, before_ms=1_500), "late"),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_a_late_task_gets_one_copy_on_another_worker(case: Late) -> None:
    workers = pool()
    step = speculative()
    first = run_on(workers[0], step, confirmed_at_ms=NOW_MS - 500)
    case.apply(first, workers[0])
    chosen = copies_of([step], workers)
    assert [copy.reason for copy in chosen] == [case.reason] * bool(case.reason)
    for copy in chosen:
        assert copy.placement.task is first.task
        assert copy.placement.worker is not workers[0]
        second = Run(first.task, 2, copy.placement.worker.id, NOW_MS)
        first.task.add_copy(second, copy.reason)
        copy.placement.worker.add(second)
    # There is no third run.
    assert copies_of([step], workers) == []


def be_suspect(step: StepRun) -> None:
    step.tasks[0].crashes = (TaskCrash("w9", NOW_MS - 5_000, 10, True, True),)
    step.has_suspects = True


def have_lost_a_copy(step: StepRun) -> None:
    step.tasks[0].has_lost_copy = True


def be_second_on_silent_worker(step: StepRun) -> None:
    step.tasks[0].run.copy_reason = "silent"


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
@pytest.mark.parametrize(
    ("changes", "policy"),
    [
        # Guards against the serious fault: two runs without the caller's permission.
        ({"speculative": False}, POLICY),
        ({"gang": True}, POLICY),
        ({"long_running": True}, POLICY),
        ({"fills": True}, POLICY),
        ({}, SchedulingPolicy()),
    ],
    ids=["not speculative", "gang", "long-running", "fills", "switched off"],
)
def test_other_tasks_get_no_copy(
    case: Late, changes: dict[str, Any], policy: SchedulingPolicy
) -> None:
    workers = pool()
    step = speculative(**changes)
    first = run_on(workers[0], step, confirmed_at_ms=NOW_MS - 500)
    case.apply(first, workers[0])
    assert copies_of([step], workers, policy) == []


@pytest.mark.parametrize(
    "apply", [be_suspect, have_lost_a_copy, be_second_on_silent_worker]
)
def test_a_task_that_may_crash_its_workers_gets_no_copy(
    apply: Callable[[StepRun], None],
) -> None:
    workers = pool()
    step = speculative()
    first = run_on(workers[0], step)
    hang(first, workers[0])
    apply(step)
    assert copies_of([step], workers) == []


@pytest.mark.parametrize(
    "prevent",
    [
        lambda step: step.spec._replace(speculative=False),
        lambda step: step.spec._replace(gang=True),
        lambda step: step.spec._replace(long_running=True),
        lambda step: step.spec._replace(fills=True),
    ],
)
def test_a_second_run_cannot_be_added_without_permission(
    prevent: Callable[[StepRun], Any],
) -> None:
    step = speculative()
    first = run_on(worker("w0"), step)
    step.spec = prevent(step)
    with pytest.raises(CopyNotAllowedError):
        first.task.add_copy(Run(first.task, 2, "w1", NOW_MS), "late")
    assert first.task.copy is None


@pytest.mark.parametrize("state", ["done", "ended", "without a run", "with a copy"])
def test_a_second_run_cannot_be_added_where_none_is_wanted(state: str) -> None:
    step = speculative()
    task = step.tasks[0]
    if state != "without a run":
        run_on(worker("w0"), step)
    if state == "with a copy":
        task.add_copy(Run(task, 2, "w1", NOW_MS), "late")
    if state == "done":
        step.mark_done(0)
    if state == "ended":
        step.job.finish(JobState.CANCELLED, NOW_MS)
    with pytest.raises(CopyNotAllowedError):
        task.add_copy(Run(task, 3, "w2", NOW_MS), "late")


@pytest.mark.parametrize("first_ends", [True, False])
def test_the_run_that_is_left_is_the_task_s_run(first_ends: bool) -> None:
    # Guards against a third run while the second one is active.
    step = speculative(count=2)
    first = run_on(worker("w0"), step)
    second = Run(first.task, 2, "w1", NOW_MS)
    first.task.add_copy(second, "late")
    assert step.job.runs() == [first, second]
    assert step.waiting() == [step.tasks[1]]
    first.task.forget_run(first if first_ends else second)
    assert first.task.run is (second if first_ends else first)
    assert first.task.copy is None
    assert step.waiting() == [step.tasks[1]]
    first.task.forget_run(first.task.run)
    assert step.waiting() == step.tasks
    assert step.job.runs() == []


def fill(workers: list[PoolWorker], cores: float) -> None:
    for number, each in enumerate(workers):
        run_on(each, step_of(f"filler{number}", "batch", cores))


class Room(NamedTuple):
    """Capacity beside three late tasks of 2 cores, and how many get a copy."""

    name: str
    copies: int
    changes: dict[str, Any] = {}
    limit: Resources | None = None
    others_hold_cores: float = 0.0
    waiting: tuple[StepRun, ...] = ()
    workers: int = WORKERS


@pytest.mark.parametrize(
    "room",
    [
        # 5 percent of 128 cores are 6.4.
        Room("free", 3),
        Room("budget", 2, {"count": 3, "cores": 3.0}),
        Room("budget of a small pool", 1, workers=4),
        Room("no room", 0, others_hold_cores=15.0),
        Room("team at its limit", 1, limit=Resources(3_000, 50_000, 0)),
        Room("team far over its limit", 0, limit=Resources(1_000, 50_000, 0)),
        Room("label", 0, {"required_label": "elsewhere"}),
        Room("one task per worker", 3, {"max_per_worker": 1}),
        Room(
            "waiting work fits beside",
            3,
            waiting=(step_of("waits", "urgent", 4.0),),
        ),
        Room(
            "waiting work first: too little room for both",
            0,
            waiting=(step_of("waits", "urgent", 2.0, count=56),),
        ),
        Room(
            "waiting work first: the team's limit blocks it",
            0,
            limit=Resources(7_000, 500_000, 0),
            waiting=(step_of("waits", "urgent", 8.0),),
        ),
    ],
    ids=lambda room: room.name,
)
def test_copies_use_only_spare_capacity(room: Room) -> None:
    workers = pool(room.workers)
    step = speculative(**{"count": 3, "cores": 2.0, **room.changes})
    if room.others_hold_cores:
        fill(workers[1:], room.others_hold_cores)
    for index in range(3):
        run_on(workers[0], step, index)
    hang(step.tasks[0].run, workers[0])
    steps = [step, *room.waiting]
    chosen = copies_of(steps, workers, limit_left=room.limit)
    assert len(chosen) == room.copies
    if step.spec.max_per_worker:
        assert len({copy.placement.worker.id for copy in chosen}) == len(chosen)


def test_copies_that_run_count_towards_the_budget() -> None:
    workers = pool()
    step = speculative(count=5, cores=2.0)
    for index in range(5):
        run_on(workers[0], step, index)
    hang(step.tasks[0].run, workers[0])
    second = Run(step.tasks[0], 2, "w1", NOW_MS)
    step.tasks[0].add_copy(second, "silent")
    workers[1].add(second)
    assert len(copies_of([step], workers)) == 2
    # A copy that is being stopped still holds its cores.
    step.mark_done(0)
    assert len(copies_of([step], workers)) == 2


def test_no_run_is_preempted_for_a_copy() -> None:
    workers = pool(2)
    batch = step_of("batch", "batch", 16.0, checkpoints=True)
    run_on(workers[1], batch)
    step = speculative()
    hang(run_on(workers[0], step), workers[0])
    result = plan([step, batch], workers, PoolPlanner(POLICY))
    assert list(result.copies) == []
    assert result.preempted == []


def test_a_copy_goes_to_the_fastest_worker_and_not_to_a_doubtful_one() -> None:
    workers = pool(5)
    step = speculative()
    first = run_on(workers[0], step)
    hang(first, workers[0])
    planner = PoolPlanner(POLICY)
    factors = {"w1": 1.0, "w2": 0.2, "w3": 0.5, "w4": 0.3}
    planner.durations.factor = lambda name: factors.get(name, 1.0)
    workers[2].cold_until_ms = NOW_MS + 1_000
    workers[4].note_failed(step, None, NOW_MS)
    chosen = copies_of([step], workers, planner=planner)
    assert [copy.placement.worker.id for copy in chosen] == ["w3"]


@pytest.mark.parametrize(
    ("factor", "has_copy"), [(1.0, False), (0.8, False), (0.7, True)]
)
def test_a_copy_is_started_where_it_ends_clearly_earlier(
    factor: float, has_copy: bool
) -> None:
    # Load pattern: workers of unequal speed. 1.2 s are left of the first run; the
    # margin is 450 ms.
    workers = pool()
    step = speculative()
    report(40, 800)(run_on(workers[0], step), workers[0])
    planner = PoolPlanner(POLICY)
    planner.durations.factor = lambda name: factor
    assert len(copies_of([step], workers, planner=planner)) == has_copy


ADVISED = {**QUEUES, "urgent": queue("urgent", 0, advised=True)}


@pytest.mark.parametrize("waits_too", [True, False])
def test_a_copy_needs_a_ticket_and_causes_one_request_in_a_pass(
    waits_too: bool,
) -> None:
    workers = pool()
    steps = [speculative(f"job{number}") for number in range(3)]
    for number, step in enumerate(steps):
        hang(run_on(workers[number], step), workers[number])
    waiting = [step_of("waits", "urgent")] if waits_too else []
    planner = PoolPlanner(POLICY)
    result = plan([*steps, *waiting], workers, planner, queues=ADVISED)
    assert list(result.copies) == []
    assert [r.step for r in result.requests] == [*waiting, steps[0]]
    advice = Advice({"w5": "ticket"}, 2_000)
    for request in result.requests:
        planner.book.note_requested(request.step)
        named = [each for each in workers if each.id in request.workers]
        if request.step is steps[0]:
            planner.book.record_answer(steps[0], "urgent", named, advice, NOW_MS)
    result = plan([*steps, *waiting], workers, planner, queues=ADVISED)
    copies = [copy.placement for copy in result.copies]
    assert [(c.task.step, c.worker.id, c.ticket) for c in copies] == [
        (steps[0], "w5", "ticket")
    ]
    assert [r.step for r in result.requests] == [steps[1]]


@pytest.mark.parametrize("has_partner", [True, False])
def test_two_crashes_under_two_runs_at_once_are_one_for_their_task(
    has_partner: bool,
) -> None:
    # Guards against a task that is given up twice as soon: its second run was started
    # before the first crash was known, and not isolated.
    workers = pool(2)
    step = speculative()
    first = run_on(workers[0], step, confirmed_at_ms=NOW_MS - 100)
    second = Run(first.task, 2, "w1", NOW_MS - 50)
    second.confirmed_at_ms = NOW_MS - 50
    if has_partner:
        first.task.add_copy(second, "silent")
    for run in (first, second):
        crash = WorkerCrash(run.worker, NOW_MS, NOW_MS, [run], True, False)
        assert record_crash(crash) == []
        first.task.forget_run(run)
    assert len(first.task.crashes) == (1 if has_partner else 2)
