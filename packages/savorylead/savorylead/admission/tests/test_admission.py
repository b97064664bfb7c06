"""Admission: queue bounds, rotation of teams, refusals and retry hints."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from savorylead.admission import (
    DrainRate,
    FairAdmissionQueue,
    RetryHints,
    WaitingWork,
    WorkClass,
    work_class,
)
from savorylead.admission._admission_queue import INFEASIBLE_FACTOR
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.outcomes import Refusal
from savorylead.resources import Resources

BATCH, URGENT = WorkClass.BATCH, WorkClass.URGENT


def make_queue(bound=90, urgent=10):
    bounds = {BATCH: bound, URGENT: urgent, WorkClass.SERVICE: 5}
    return FairAdmissionQueue(bounds, RetryHints(random.Random(1)))


def work(number, team="a", start_by_ms=0, of_class=BATCH):
    return WaitingWork(TaskId(team, "w", f"r{number}"), of_class, start_by_ms)


def offer_many(queue, count, team, first=0, now_ms=0):
    answers = [queue.offer(work(first + n, team), now_ms) for n in range(count)]
    return sum(answer is None for answer in answers)


def drain(queue, first, count, per_s, now_ms, team="a"):
    """Start tasks at an even rate and return the time of the last start."""
    for number in range(first, first + count):
        now_ms += round(1000 / per_s)
        queue.record_start(work(number, team).task, now_ms)
    return now_ms


@pytest.mark.parametrize(
    ("kind", "urgent", "expected"),
    [
        (TaskKind.BATCH, False, BATCH),
        (TaskKind.ALL_AT_ONCE, False, BATCH),
        (TaskKind.SERVICE, False, WorkClass.SERVICE),
        (TaskKind.SERVICE, True, URGENT),
    ],
)
def test_work_class(kind, urgent, expected):
    spec = TaskSpec(TaskId("a", "w", "r"), kind, Resources(1), "q", urgent=urgent)
    assert work_class(spec) is expected


@pytest.mark.parametrize(
    ("teams", "each"), [(["a"], 60), (["a", "b"], 36), (["a", "b", "c", "d"], 20)]
)
def test_teams_that_ask_for_all_hold_equal_parts(teams, each):
    queue = make_queue()
    for number in range(90):
        for team in teams:
            queue.offer(work(number, team), 0)
    for team in teams:
        held = sum(queue.offer(work(n, team), 0) is None for n in range(90))
        assert abs(held - each) <= 1
    assert queue.waiting_count(BATCH) < 90


def test_full_class_leaves_room_for_another_team_and_class():
    queue = make_queue()
    assert offer_many(queue, 90, "a") == 60
    assert offer_many(queue, 90, "late") >= 15
    assert queue.offer(work(1, "a", of_class=URGENT), 0) is None


def test_full_queue_is_refused_with_a_hint():
    queue = make_queue()
    offer_many(queue, 60, "a")
    refused = queue.offer(work(99), 0)
    assert refused.reason is Refusal.QUEUE_FULL
    assert refused.retry_after_ms >= 500


def test_repeat_of_waiting_work_is_admitted_once():
    queue = make_queue()
    assert queue.offer(work(1), 0) is None
    assert queue.offer(work(1), 0) is None
    assert queue.waiting_count(BATCH) == 1


def test_passed_deadline_is_refused_on_arrival():
    refused = make_queue().offer(work(1, start_by_ms=10), 11)
    assert refused.reason is Refusal.DEADLINE_PASSED


def test_hopeless_work_is_refused_before_its_deadline():
    queue = make_queue()
    offer_many(queue, 60, "a")
    now_ms = drain(queue, 0, 20, 2.0, 0)
    # 40 tasks are ahead at 2 starts per second, which takes 20 s.
    late = queue.offer(work(100, start_by_ms=now_ms + 5_000), now_ms)
    assert late.reason is Refusal.DEADLINE_PASSED
    assert late.retry_after_ms > 0
    assert queue.offer(work(101, start_by_ms=now_ms + 25_000), now_ms) is None
    assert queue.offer(work(102, "b", start_by_ms=now_ms + 5_000), now_ms) is None


def test_shed_refuses_by_deadline_and_only_what_is_hopeless():
    queue = make_queue()
    offer_many(queue, 30, "a")
    for number in range(20):
        queue.offer(work(100 + number, start_by_ms=60_000 - number), 0)
    now_ms = drain(queue, 0, 10, 1.0, 0)
    assert queue.shed(now_ms) == []
    now_ms += 8_000
    refused = queue.shed(now_ms)
    deadlines = [60_000 - int(r.task.request[1:]) + 100 for r in refused]
    assert deadlines == sorted(deadlines)
    assert 0 < len(refused) < 20
    assert queue.waiting_count(BATCH) == 40 - len(refused)


def test_stall_of_some_seconds_refuses_nothing_with_time_left():
    queue = make_queue()
    offer_many(queue, 50, "a")
    now_ms = drain(queue, 0, 30, 5.0, 0)
    queue.offer(work(100, start_by_ms=now_ms + 60_000), now_ms)
    assert queue.shed(now_ms + 20_000) == []
    assert len(queue.shed(now_ms + 60_001)) == 1


def test_cancel_wave_leaves_nothing_behind():
    queue = make_queue(bound=30_000)
    assert offer_many(queue, 10_000, "a") == 10_000
    for number in range(10_000):
        queue.remove(work(number).task, 5)
    queue.remove(work(1).task, 5)
    assert queue.waiting_count(BATCH) == 0
    assert offer_many(queue, 100, "a", now_ms=6) == 100


def test_cancelled_work_does_not_count_as_drained():
    rate = DrainRate()
    rate.set_busy(True, 0)
    assert rate.per_second(4_000) is None
    assert rate.per_second(8_000) == 0.0


def test_upper_bound_of_the_drain_rate_is_never_zero():
    rate = DrainRate()
    rate.set_busy(True, 0)
    assert rate.upper_bound_per_second(4_000) is None
    assert rate.upper_bound_per_second(8_000) > 3 / 8
    assert rate.upper_bound_per_second(8_000_000) == pytest.approx(0.1, rel=0.01)


@pytest.mark.parametrize("per_s", [0.5, 5.0, 50.0])
def test_drain_rate_ignores_idle_time(per_s):
    rate, now_ms = DrainRate(), 0
    for _ in range(20):
        rate.set_busy(True, now_ms)
        for _ in range(round(per_s * 10)):
            now_ms += round(1000 / per_s)
            rate.add_start(now_ms)
        rate.set_busy(False, now_ms)
        now_ms += 100_000
    assert rate.per_second(now_ms) == pytest.approx(per_s, rel=0.15)


@pytest.mark.parametrize("callers", [10, 1_000, 5_000])
def test_refused_callers_return_at_the_rate_they_are_served(callers):
    hints = RetryHints(random.Random(3))
    returns = [hints.hint_ms(0, 5_000, 50.0) for _ in range(callers)]
    assert min(returns) >= 5_000
    assert max(returns) <= 120_000
    by_second = {}
    for moment in returns:
        by_second[moment // 1000] = by_second.get(moment // 1000, 0) + 1
    assert max(by_second.values()) <= 60


def test_hints_without_a_known_rate_are_spread():
    hints = RetryHints(random.Random(3))
    returns = [hints.hint_ms(0, 0, None) for _ in range(1_000)]
    assert 5_000 <= min(returns) < 5_100
    assert 9_900 < max(returns) <= 10_000


class NaiveQueue:
    """Reference model: a list, with every rotation simulated for each decision."""

    def __init__(self, rate):
        self.rate = rate
        self.works = []

    def ahead(self, work):
        teams = {}
        for other in self.works:
            teams.setdefault(other.task.team, []).append(other.task)
        ahead = 0
        while True:
            # In the worst rotation this team is served last in each round.
            order = [t for t in teams if t != work.task.team] + [work.task.team]
            for team in order:
                if not teams[team]:
                    continue
                if teams[team].pop(0) == work.task:
                    return ahead
                ahead += 1

    def shed(self, now_ms):
        refused = []
        for work in sorted(self.works, key=lambda w: (w.start_by_ms, w.task)):
            left_ms = work.start_by_ms - now_ms
            wait_ms = self.ahead(work) / self.rate * 1000
            if left_ms < 0 or wait_ms > INFEASIBLE_FACTOR * left_ms:
                refused.append(work.task)
                self.works.remove(work)
        return refused


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(7_000, 60_000)),
        max_size=40,
    ),
    st.sets(st.integers(0, 39)),
)
def test_shed_equals_the_naive_way(items, cancelled):
    queue = make_queue(bound=10_000)
    works = [work(n, team, by_ms) for n, (team, by_ms) in enumerate(items)]
    queue.offer(work(999), 0)
    for item in works:
        assert queue.offer(item, 0) is None
    now_ms = 6_000
    queue.record_start(work(999).task, now_ms)
    for number in cancelled:
        queue.remove(TaskId(*work(number, "a").task[:2], f"r{number}"), now_ms)
    drain_rate = queue._classes[BATCH].drain.upper_bound_per_second(now_ms)
    naive = NaiveQueue(drain_rate)
    naive.works = [
        w for n, w in enumerate(works) if not (n in cancelled and w.task.team == "a")
    ]
    assert [r.task for r in queue.shed(now_ms)] == naive.shed(now_ms)
