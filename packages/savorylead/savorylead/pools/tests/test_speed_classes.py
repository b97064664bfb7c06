"""Urgent tasks get fast workers and batch tasks avoid them, where speeds differ."""

from __future__ import annotations

import math
import random

import pytest

from savorylead.jobs import StepRun
from savorylead.pools import Advice, PoolPlanner, PoolWorker, SchedulingPolicy
from savorylead.pools._speed_classes import speed_class

from .fixed_durations import LEARNS, FixedDurations, learning_planner
from .pool_cases import NOW_MS, QUEUES, plan, queue, run_on, starts, step_of, worker

#: Factors of a pool in which a quarter of the workers need 0.55 where the others need
#: 1.2, relative to their geometric mean.
FAST, SLOW = 0.56, 1.22
ADVISED = {
    "urgent": queue("urgent", 0, advised=True, stretch=1.5, objective_ms=250),
    "batch": queue("batch", 2, advised=True, stretch=4.0),
}


def sized(name: str, cores: int) -> PoolWorker:
    """Return a worker in a rack of its own; best fit prefers one with fewer cores."""
    return worker(name, cores=cores, memory_mb=cores * 1_000, rack=name)


@pytest.mark.parametrize(
    "factors, is_one_class",
    [
        # Small differences, and the noise of estimates around them.
        ((0.8, 1.0, 1.25), True),
        ((1.15, 1.22, 1.30), True),
        ((0.70, 1.40), True),
        # The two kinds of workers, also with noise.
        ((FAST, SLOW), False),
        ((0.62, 1.10), False),
        # A pass must survive any value.
        ((0.0, 1.0), False),
        ((1.0, math.inf), False),
    ],
)
def test_only_clear_differences_are_told_apart(
    factors: tuple[float, ...], is_one_class: bool
) -> None:
    assert (len({speed_class(f) for f in factors}) == 1) == is_one_class


@pytest.mark.parametrize(
    "load_pattern, queue_name, spec, free_cores, expected",
    [
        # Best fit alone takes the fuller worker, whatever its speed.
        ("an urgent task, the slow worker is fuller", "urgent", {}, (16, 4), "fast"),
        ("a normal task, the fast worker is fuller", "normal", {}, (4, 16), "slow"),
        ("a batch task, the fast worker is fuller", "batch", {}, (4, 16), "slow"),
        ("an urgent gang", "urgent", {"gang": True}, (16, 4), "slow"),
        ("a batch gang", "batch", {"gang": True}, (4, 16), "fast"),
        # Long-running and filling tasks prefer the emptiest worker.
        ("a service", "batch", {"long_running": True}, (16, 4), "fast"),
        ("filling tasks", "batch", {"fills": True}, (16, 4), "fast"),
        # A fast worker far from the data, or one that is full, is not taken.
        ("data at the slow worker", "urgent", {"data_rack": "slow"}, (16, 4), "slow"),
        ("no capacity on the fast one", "urgent", {}, (0, 16), "slow"),
        ("no capacity on the slow one", "batch", {}, (16, 0), "fast"),
    ],
)
def test_tasks_of_two_queues_on_workers_of_two_speeds(
    load_pattern: str,
    queue_name: str,
    spec: dict[str, object],
    free_cores: tuple[int, int],
    expected: str,
) -> None:
    workers = [
        sized(name, cores)
        for name, cores in zip(("fast", "slow"), free_cores, strict=True)
    ]
    planner = learning_planner({"fast": FAST, "slow": SLOW})
    step = step_of("j", queue_name, **spec)
    assert starts(plan([step], workers, planner)) == [("j", expected)], load_pattern


@pytest.mark.parametrize(
    "known, expected",
    [
        ("nothing", "fast"),
        ("it failed there", "slow"),
        ("it is cold", "slow"),
    ],
)
def test_doubts_and_cold_workers_come_before_speed(known: str, expected: str) -> None:
    # An urgent task restarted on the fast worker on which it fails, or which is slow
    # after its start, would lose more than the speed gains.
    fast, slow = worker("fast"), worker("slow")
    step = step_of("j", "urgent")
    if known == "it failed there":
        fast.note_failed(step, None, NOW_MS - 100)
    elif known == "it is cold":
        fast.cold_until_ms = NOW_MS + 1_000
    planner = learning_planner({"fast": FAST, "slow": SLOW})
    assert starts(plan([step], [slow, fast], planner)) == [("j", expected)]


@pytest.mark.parametrize("factors", [(0.8, 1.25), (1.25, 0.8), (1.0, 1.0)])
@pytest.mark.parametrize("queue_name", ["urgent", "normal", "batch"])
def test_small_differences_leave_best_fit(
    factors: tuple[float, float], queue_name: str
) -> None:
    workers = [sized("empty", 16), sized("fuller", 4)]
    planner = learning_planner(dict(zip(("empty", "fuller"), factors, strict=True)))
    step = step_of("j", queue_name)
    assert starts(plan([step], workers, planner)) == [("j", "fuller")]


@pytest.mark.parametrize(
    "load_pattern, queues, queue_name",
    [
        ("only urgent work", ["urgent"], "urgent"),
        ("no urgent queue", ["normal", "batch"], "batch"),
        ("the urgent queue is of another pool", ["other", "batch"], "batch"),
        ("the batch queue is of another pool", ["urgent", "away"], "urgent"),
    ],
)
def test_a_pool_with_one_kind_of_work_keeps_best_fit(
    load_pattern: str, queues: list[str], queue_name: str
) -> None:
    # Batch work that leaves fast workers idle for nobody only takes longer.
    known = {
        **QUEUES,
        "other": queue("other", 0)._replace(pool="elsewhere"),
        "away": queue("away", 2)._replace(pool="elsewhere"),
    }
    workers = [sized("a", 16), sized("b", 4)]
    # Best fit takes b.
    factors = {"a": FAST, "b": SLOW} if queue_name == "urgent" else None
    planner = learning_planner(factors or {"a": SLOW, "b": FAST})
    result = plan(
        [step_of("j", queue_name)],
        workers,
        planner,
        queues={name: known[name] for name in queues},
    )
    assert starts(result) == [("j", "b")], load_pattern


def two_speeds(count: int, cores: int = 16) -> tuple[list[PoolWorker], PoolPlanner]:
    """Return workers of which each fourth is fast, and a planner that knows it."""
    workers = [worker(f"w{n:02}", cores=cores) for n in range(count)]
    factors = {w.id: SLOW if n % 4 else FAST for n, w in enumerate(workers)}
    return workers, learning_planner(factors)


@pytest.mark.parametrize("is_busy", [False, True])
@pytest.mark.parametrize("queue_name", ["urgent", "batch"])
def test_advice_names_workers_by_speed(queue_name: str, is_busy: bool) -> None:
    # Tickets are valid for two seconds: those for slow workers come first to nothing
    # but slow starts of an urgent step.
    workers, planner = two_speeds(48)
    if is_busy:
        # No worker has room, so that all are named for what they may free.
        for n, each in enumerate(workers):
            run_on(each, step_of(f"b{n}", queue_name, cores=16))
    (request,) = plan(
        [step_of("j", queue_name, count=4)], workers, planner, queues=ADVISED
    ).requests
    fast = {w.id for n, w in enumerate(workers) if not n % 4}
    named_fast = [name in fast for name in request.workers]
    expected = sorted(named_fast, reverse=queue_name == "urgent")
    assert named_fast == expected
    assert any(named_fast) == (queue_name == "urgent")


def test_workers_named_for_preemption_are_fast_for_urgent_steps() -> None:
    # Victims are stopped where the tickets are for.
    workers, planner = two_speeds(48)
    for n, each in enumerate(workers):
        run_on(each, step_of(f"b{n}", "batch", cores=16, checkpoints=True))
    (request,) = plan(
        [step_of("j", "urgent")], workers, planner, queues=ADVISED
    ).requests
    assert set(request.workers) <= {w.id for n, w in enumerate(workers) if not n % 4}


def test_further_workers_named_are_fast_for_urgent_steps() -> None:
    # One worker has room; the request names others with it, which costs less than a
    # second request later.
    workers, planner = two_speeds(48)
    for n, each in enumerate(workers[1:]):
        run_on(each, step_of(f"u{n}", "urgent", cores=16))
    (request,) = plan(
        [step_of("j", "urgent", count=4)], workers, planner, queues=ADVISED
    ).requests
    assert request.workers[0] == workers[0].id
    assert len(request.workers) > 1
    assert set(request.workers) <= {w.id for n, w in enumerate(workers) if not n % 4}


@pytest.mark.parametrize(
    "tickets, expected",
    [(["slow"], "slow"), (["slow", "fast"], "fast"), (["fast"], "fast")],
)
def test_an_urgent_step_starts_with_the_tickets_that_it_has(
    tickets: list[str], expected: str
) -> None:
    # A ticket for a fast worker takes another request, while the slow one is free.
    workers = [sized("fast", 16), sized("slow", 4)]
    planner = learning_planner({"fast": FAST, "slow": SLOW})
    step = step_of("j", "urgent")
    advice = Advice(dict.fromkeys(tickets, "ticket"), 2_000)
    named = [w for w in workers if w.id in tickets]
    planner.book.record_answer(step, "urgent", named, advice, NOW_MS)
    result = plan([step], workers, planner, queues=ADVISED)
    assert starts(result) == [("j", expected)]
    assert result.requests == []


@pytest.mark.parametrize("learns", [True, False])
@pytest.mark.parametrize("order", [("fast", "slow"), ("slow", "fast")])
def test_urgent_steps_preempt_on_fast_workers_at_equal_cost(
    order: tuple[str, str], learns: bool
) -> None:
    workers = [worker(name) for name in order]
    for each in workers:
        batch = step_of(f"b{each.id}", "batch", cores=16, checkpoints=True)
        run_on(each, batch)
    durations = FixedDurations({"fast": FAST, "slow": SLOW})
    planner = PoolPlanner(SchedulingPolicy(learns_durations=learns), durations)
    result = plan([step_of("j", "urgent")], workers, planner)
    expected = "fast" if learns else order[0]
    assert [run.worker for run in result.preempted] == [expected]


def test_a_cheaper_victim_comes_before_a_faster_worker() -> None:
    workers = [worker("fast"), worker("slow")]
    run_on(workers[0], step_of("b0", "batch", cores=16, checkpoints=True))
    for index in range(4):
        batch = step_of(f"b1{index}", "batch", cores=4, checkpoints=True)
        run_on(workers[1], batch)
    planner = learning_planner({"fast": FAST, "slow": SLOW})
    result = plan([step_of("j", "urgent")], workers, planner)
    assert [run.worker for run in result.preempted] == ["slow"]


def random_pool(rng: random.Random) -> tuple[list[StepRun], list[PoolWorker]]:
    """Return waiting steps and workers that run others."""
    workers = [
        worker(f"w{n}", cores=rng.choice([8, 16, 32]), rack=f"r{n % 3}")
        for n in range(rng.randint(2, 12))
    ]
    names = list(QUEUES)
    for n, each in enumerate(workers):
        for index in range(rng.randint(0, 4)):
            step = step_of(
                f"run{n}.{index}",
                rng.choice(names),
                cores=rng.choice([1, 2, 4]),
                checkpoints=rng.random() < 0.6,
                estimate_ms=rng.choice([300, 1_000, 8_000]),
                accepted_at_ms=NOW_MS - rng.randint(0, 6_000),
            )
            run = run_on(each, step, confirmed_at_ms=NOW_MS - rng.randint(0, 3_000))
            run.percent = rng.choice([0, 0, 30, 70, 95])
            run.percent_at_ms = NOW_MS - rng.randint(0, 900)
    steps = [
        step_of(
            f"j{n}",
            rng.choice(names),
            cores=rng.choice([0.5, 1, 2, 8]),
            count=rng.choice([1, 1, 2, 6]),
            accepted_at_ms=NOW_MS - rng.randint(0, 8_000),
            team=rng.choice(["t1", "t2"]),
            estimate_ms=rng.choice([0, 300, 1_000, 8_000]),
            gang=rng.random() < 0.2,
            long_running=rng.random() < 0.1,
            data_rack=rng.choice(["", "", "r1"]),
            max_per_worker=rng.choice([0, 0, 1]),
        )
        for n in range(rng.randint(1, 20))
    ]
    return steps, workers


def decisions(seed: int, planner: PoolPlanner, is_advised: bool) -> list[object]:
    """Return what a planner decides in two passes for a pool drawn by the seed."""
    rng = random.Random(seed)
    steps, workers = random_pool(rng)
    queues = QUEUES
    if is_advised:
        queues = {
            name: each._replace(advice=ADVISED["urgent"].advice)
            for name, each in QUEUES.items()
        }
        for step in steps:
            allowed = {w.id: "t" for w in workers if rng.random() < 0.5}
            named = [w for w in workers if rng.random() < 0.5]
            advice = Advice(allowed, 2_000)
            queue_name = step.job.record.queue
            planner.book.record_answer(step, queue_name, named, advice, NOW_MS)
    found: list[object] = []
    for now_ms in (NOW_MS, NOW_MS + 400):
        result = plan(steps, workers, planner, now_ms=now_ms, queues=queues)
        found += [
            starts(result),
            [(r.step.name, r.workers) for r in result.requests],
            [(r.task.step.name, r.worker) for r in result.preempted],
        ]
    return found


@pytest.mark.parametrize("is_advised", [False, True])
@pytest.mark.parametrize(
    "policy, factors",
    [
        (LEARNS, (1.0, 1.0)),
        # The estimator is not asked unless durations are learned.
        (SchedulingPolicy(), (1.0, 1.0)),
        (SchedulingPolicy(), (FAST, SLOW)),
    ],
)
def test_plans_are_unchanged_where_nothing_is_learned(
    policy: SchedulingPolicy, factors: tuple[float, float], is_advised: bool
) -> None:
    # Guards against changes of starts, advice or stops on cells that don't learn
    # durations, or whose workers are alike.
    moved = 0
    for seed in range(60):
        durations = FixedDurations({f"w{n}": factors[n % 2] for n in range(12)})
        durations.estimate_ms = lambda _, spec: spec.estimate_ms or 1_000
        found = decisions(seed, PoolPlanner(policy, durations), is_advised)
        assert found == decisions(seed, PoolPlanner(), is_advised), seed
        moved += bool(found[0])
    assert moved > 40


@pytest.mark.parametrize("queue_name", ["normal", "batch"])
def test_an_impaired_worker_is_not_filled_with_less_urgent_work(
    queue_name: str,
) -> None:
    # A worker that had become 2.6 times slower got all tasks of less urgent queues.
    factors = {"fast": 0.46, "impaired": 2.6, "w0": 1.0, "w1": 1.0}
    workers = [sized("impaired", 16), sized("w0", 4), sized("w1", 4), sized("fast", 4)]
    step = step_of("j", queue_name, cores=2, count=4)
    placed = starts(plan([step], workers, learning_planner(factors)))
    assert sorted(name for _, name in placed) == ["w0", "w0", "w1", "w1"]
