"""Tests of single planner passes, by load pattern."""

from __future__ import annotations

import pytest

from savorylead.jobs import RunState
from savorylead.pools import Advice, PoolPlanner
from savorylead.resources import Resources

from .pool_cases import NOW_MS, QUEUES, plan, queue, run_on, starts, step_of, worker


@pytest.mark.parametrize(
    "first, second, winner",
    [
        # The more urgent queue goes first.
        (("batch", NOW_MS), ("urgent", NOW_MS), "b"),
        # Within a queue, the job that is due first goes first.
        (("normal", NOW_MS), ("normal", NOW_MS - 500), "b"),
        # A job that can no longer end in time goes after those that can.
        (("urgent", NOW_MS - 60_000), ("batch", NOW_MS), "b"),
    ],
)
def test_order_of_waiting_steps(
    first: tuple[str, int], second: tuple[str, int], winner: str
) -> None:
    steps = [
        step_of("a", first[0], cores=16, accepted_at_ms=first[1]),
        step_of("b", second[0], cores=16, accepted_at_ms=second[1]),
    ]
    assert starts(plan(steps, [worker("w")]))[0][0] == winner


def test_jobs_beyond_the_weight_of_a_team_wait() -> None:
    surplus = step_of("a", "urgent", cores=16, accepted_at_ms=NOW_MS - 100)
    surplus.job.surplus = True
    owed = step_of("b", "urgent", cores=16, team="other")
    assert starts(plan([surplus, owed], [worker("w")])) == [("b", "w")]


def test_a_worker_is_never_given_more_than_it_holds() -> None:
    steps = [step_of(f"j{n}", "normal", cores=3, count=4) for n in range(6)]
    workers = [worker("w1"), worker("w2", cores=8)]
    result = plan(steps, workers)
    for each in workers:
        placed = sum(1 for _, name in starts(result) if name == each.id)
        assert placed * 3_000 <= each.entry.capacity.cores_milli
    assert len(starts(result)) == 7


def test_room_that_a_stop_will_free_is_not_used_before() -> None:
    # In a burst, urgent steps find a full worker and preempt batch tasks there.
    full = worker("w")
    batch = step_of("batch", "batch", cores=8, count=2, checkpoints=True)
    for index in range(2):
        run_on(full, batch, index)
    urgent = step_of("urgent", "urgent", cores=2, count=2)
    later = step_of("later", "urgent", cores=4)
    result = plan([urgent, later], [full])
    assert starts(result) == []
    assert len(result.preempted) == 1
    # While the run is being stopped, nothing else is stopped or started.
    result.preempted[0].state = RunState.STOPPING
    again = plan([urgent, later], [full])
    assert starts(again) == []
    assert again.preempted == []


@pytest.mark.parametrize(
    "victim, is_stopped",
    [
        ({"checkpoints": True}, True),
        ({"checkpoints": False}, False),
        ({"checkpoints": True, "long_running": True}, False),
        ({"checkpoints": True, "gang": True}, False),
    ],
)
def test_only_cheap_work_is_preempted(
    victim: dict[str, bool], is_stopped: bool
) -> None:
    full = worker("w")
    run_on(full, step_of("batch", "batch", cores=16, **victim))
    result = plan([step_of("urgent", "urgent")], [full])
    assert bool(result.preempted) is is_stopped


@pytest.mark.parametrize("mine, theirs", [("batch", "urgent"), ("normal", "normal")])
def test_equal_or_more_urgent_work_is_not_preempted(mine: str, theirs: str) -> None:
    full = worker("w")
    run_on(full, step_of("running", theirs, cores=16, checkpoints=True))
    assert plan([step_of("waiting", mine)], [full]).preempted == []


@pytest.mark.parametrize("free_cores, placed", [((8, 8), 2), ((8, 4), 0), ((16, 1), 2)])
def test_a_gang_starts_whole_or_not(free_cores: tuple[int, int], placed: int) -> None:
    workers = [worker(f"w{n}", cores=c) for n, c in enumerate(free_cores)]
    gang = step_of("gang", "normal", cores=8, count=2, gang=True)
    assert len(starts(plan([gang], workers))) == placed


def test_a_gang_prefers_one_rack() -> None:
    workers = [
        worker("w1", cores=8, rack="r1"),
        worker("w2", cores=8, rack="r2"),
        worker("w3", cores=8, rack="r2"),
    ]
    gang = step_of("gang", "normal", cores=8, count=2, gang=True, same_rack=True)
    assert {name for _, name in starts(plan([gang], workers))} == {"w2", "w3"}


@pytest.mark.parametrize(
    "changes, allowed",
    [
        ({"required_label": "b"}, {"w2"}),
        ({"data_rack": "r2"}, {"w2"}),
        ({"max_per_worker": 1, "count": 4}, {"w1", "w2"}),
    ],
)
def test_constraints_of_a_step(changes: dict[str, object], allowed: set[str]) -> None:
    workers = [worker("w1"), worker("w2", rack="r2", label="b")]
    placed = starts(plan([step_of("j", "normal", **changes)], workers))
    assert {name for _, name in placed} == allowed
    assert len(placed) == len(allowed)


def test_long_running_tasks_are_spread() -> None:
    workers = [worker(f"w{n}") for n in range(3)]
    step = step_of("j", "normal", count=3, long_running=True)
    assert {name for _, name in starts(plan([step], workers))} == {"w0", "w1", "w2"}


def test_a_team_at_its_limit_holds_up_nobody() -> None:
    limits = {"full": Resources(500, 1 << 40, 1 << 40), "team": None}
    planner = PoolPlanner()
    planner.set_queues(QUEUES.values())
    steps = [
        step_of("a", "urgent", team="full"),
        step_of("b", "batch", team="team"),
    ]
    result = planner.plan(steps, QUEUES, [worker("w")], limits.get, NOW_MS)
    assert starts(result) == [("b", "w")]
    assert result.blocked_by_limit["full"].cores_milli == 1_000


class TestAdvice:
    """Steps of queues that need tickets from the adviser."""

    QUEUES = {"q": queue("q", 1, advised=True)}

    def test_a_step_is_asked_about_and_then_placed(self) -> None:
        planner = PoolPlanner()
        workers = [worker(f"w{n}") for n in range(20)]
        step = step_of("j", "q")
        result = plan([step], workers, planner, queues=self.QUEUES)
        assert starts(result) == []
        (request,) = result.requests
        assert 2 <= len(request.workers) < 20
        planner.book.note_requested(step)
        again = plan([step], workers, planner, queues=self.QUEUES)
        assert again.requests == []
        named_workers = [w for w in workers if w.id in request.workers]
        advice = Advice({named_workers[1].id: "ticket"}, 2_000)
        planner.book.record_answer(step, "q", named_workers, advice, NOW_MS)
        result = plan([step], workers, planner, queues=self.QUEUES)
        assert [(p.worker.id, p.ticket) for p in result.placements] == [
            (named_workers[1].id, "ticket")
        ]

    def test_only_known_workers_are_named_when_tickets_expired(self) -> None:
        planner = PoolPlanner()
        workers = [worker(f"w{n}") for n in range(8)]
        step = step_of("j", "q")
        advice = Advice({"w3": "ticket"}, 2_000)
        planner.book.record_answer(step, "q", workers, advice, NOW_MS - 5_000)
        result = plan([step], workers, planner, queues=self.QUEUES)
        assert result.placements == []
        assert [r.workers for r in result.requests] == [("w3",)]

    def test_a_ticket_of_an_earlier_incarnation_is_not_used(self) -> None:
        planner = PoolPlanner()
        one = worker("w0")
        step = step_of("j", "q")
        planner.book.record_answer(step, "q", [one], Advice({"w0": "t"}, 2_000), NOW_MS)
        one.entry = one.entry._replace(incarnation_start_ms=2)
        result = plan([step], [one], planner, queues=self.QUEUES)
        assert result.placements == []
        assert result.requests[0].workers == ("w0",)


def test_short_lengths_are_learned_where_callers_are_wrong() -> None:
    planner = PoolPlanner()
    for n in range(40):
        declared = 100 if n % 2 else 9_000
        step = step_of(f"j{n}", "urgent", estimate_ms=declared)
        planner.durations.observe(step, "w", 900)
    spec = step_of("j", "urgent", estimate_ms=100).spec
    assert 700 <= planner.durations.estimate_ms("urgent", spec) <= 1_100


def test_headroom_for_urgent_work_is_left_by_batch_work() -> None:
    planner = PoolPlanner()
    workers = [worker("w", cores=20)]
    burst = step_of("urgent", "urgent", cores=1, count=4)
    plan([burst], workers, planner)
    batch = step_of("batch", "batch", cores=1, count=20)
    result = plan([batch], workers, planner, now_ms=NOW_MS + 100)
    assert 15 <= len(starts(result)) <= 17


@pytest.mark.parametrize(
    "estimate_ms, used",
    [
        (200, {"w1", "w2", "w3"}),
        # The run on w3 began first: w3 is free first and reserved for the large task.
        (4_000, {"w1", "w2"}),
    ],
)
def test_small_tasks_do_not_starve_a_task_that_needs_a_whole_worker(
    estimate_ms: int, used: set[str]
) -> None:
    # A pool of accelerators with a constant stream of small tasks: the worker that is
    # free first is reserved for the large task, and only shorter tasks backfill it.
    workers = [worker("w1"), worker("w2"), worker("w3")]
    running = step_of("running", "normal", cores=4, count=3, estimate_ms=4_000)
    for index, each in enumerate(workers):
        run_on(each, running, index, confirmed_at_ms=NOW_MS - index * 1_000)
        running.tasks[index].run.percent_at_ms = NOW_MS - index * 1_000
    large = step_of("large", "normal", cores=16, gang=True)
    small = step_of("small", "batch", cores=4, estimate_ms=estimate_ms, count=9)
    result = plan([large, small], workers)
    assert {name for _, name in starts(result)} == used


def test_a_long_running_task_is_restarted_before_anything() -> None:
    # After a takeover a backlog of urgent work waits, and the only worker that may run
    # a long-running task is full of batch work.
    full = worker("w")
    run_on(full, step_of("batch", "batch", cores=16, checkpoints=True))
    backlog = [step_of(f"u{n}", "urgent", cores=4) for n in range(4)]
    long_running = step_of("lasting", "normal", cores=4, long_running=True)
    result = plan([*backlog, long_running], [full])
    assert [run.task.step.job.id for run in result.preempted] == ["batch"]
    empty = worker("e", cores=4)
    result = plan([*backlog, long_running], [empty])
    assert starts(result) == [("lasting", "e")]


def test_no_more_advice_is_asked_for_than_there_is_room() -> None:
    # In a backlog after an outage every step saw the same free worker.
    planner = PoolPlanner()
    queues = {"q": queue("q", 1, advised=True)}
    steps = [step_of(f"j{n}", "q", cores=8) for n in range(30)]
    workers = [worker("w1"), worker("w2")]
    result = plan(steps, workers, planner, queues=queues)
    for request in result.requests:
        planner.book.note_requested(request.step)
    again = plan(steps, workers, planner, queues=queues)
    assert 4 <= len(result.requests) <= 8
    assert again.requests == []


@pytest.mark.parametrize(
    ("mine", "changes", "state", "stopped"),
    [
        ("urgent", {"checkpoints": True}, RunState.RUNNING, 2),
        # Already being stopped; its resources are released anyway.
        ("urgent", {"checkpoints": True}, RunState.STOPPING, 0),
        # All its work would be lost.
        ("urgent", {"checkpoints": False}, RunState.RUNNING, 0),
        ("urgent", {"checkpoints": True, "team": "another"}, RunState.RUNNING, 0),
        ("batch", {"checkpoints": True}, RunState.RUNNING, 0),
    ],
)
def test_batch_work_that_fills_its_teams_limit_makes_room_for_urgent_work(
    mine: str, changes: dict[str, object], state: RunState, stopped: int
) -> None:
    # A team's backlog has used up the team's limit, though not the workers, when urgent
    # jobs of the team are submitted.
    where = worker("w1", cores=16)
    batch = step_of("backlog", "batch", cores=2.0, count=4, **changes)
    for index in range(4):
        run_on(where, batch, index, state)
    urgent = step_of("mine", mine, cores=1.0, count=3)
    result = plan([urgent, batch], [where], limit_left=Resources(0, 1 << 60, 1 << 60))
    assert starts(result) == []
    assert len(result.preempted) == stopped
    assert all(run.task.step.job.id == "backlog" for run in result.preempted)


@pytest.mark.parametrize(
    ("waited_ms", "free_in_ms", "started"),
    [
        (0, 30_000, 0),
        (1_400, 30_000, 0),
        (1_600, 30_000, 1),
        # The worker is soon free for the task that it is reserved for.
        (1_600, 2_400, 0),
    ],
)
def test_a_kept_worker_takes_one_task_of_a_job_that_has_waited(
    waited_ms: int, free_in_ms: int, started: int
) -> None:
    # At the end of a day the only worker that may run the small tasks stayed half empty
    # for 6 s, reserved for a task that needs all of it.
    only = worker("w1")
    running = step_of("running", "normal", cores=4, estimate_ms=free_in_ms)
    planner = PoolPlanner()
    large = step_of("large", "normal", cores=16)
    small = step_of("small", "batch", cores=4, estimate_ms=40_000, count=3)
    run_on(only, running).percent_at_ms = NOW_MS
    plan([large, small], [only], planner)
    result = plan([large, small], [only], planner, now_ms=NOW_MS + waited_ms)
    assert [job for job, _ in starts(result)] == ["small"] * started
    if started:
        # Once a task of the job runs, the worker is reserved again.
        run_on(only, small)
        result = plan([large, small], [only], planner, now_ms=NOW_MS + waited_ms + 100)
        assert starts(result) == []


@pytest.mark.parametrize(("percent", "used"), [(0, []), (40, ["small"])])
def test_a_run_tells_by_its_pace_when_a_kept_worker_will_be_free(
    percent: int, used: list[str]
) -> None:
    # Tasks took three times the length that their callers declared: a worker stayed
    # reserved although it was free only 6 s later, and shorter tasks did not backfill
    # it.
    only = worker("w1")
    run = run_on(only, step_of("running", "normal", cores=4, estimate_ms=4_400))
    run.confirmed_at_ms = NOW_MS - 4_000
    run.percent, run.percent_at_ms = percent, NOW_MS - 100
    large = step_of("large", "normal", cores=16)
    small = step_of("small", "batch", cores=4, estimate_ms=2_200 * 2)
    result = plan([large, small], [only])
    assert [job for job, _ in starts(result)] == used
