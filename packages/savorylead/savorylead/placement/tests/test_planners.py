"""Behaviour common to all planners, on small shards."""

import pytest

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.outcomes import Refusal
from savorylead.placement import (
    IndexedPlanner,
    NaivePlanner,
    Overflow,
    PendingTask,
    Place,
    Planner,
    Policy,
    Preempt,
    Reject,
)
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker, WorkerState

PLANNERS = [NaivePlanner, IndexedPlanner]
LARGE = Resources(10**9, 10**9, 10**6, 10**6, 10**6)
NODE = Resources(16_000, 64_000, 0, 8, 64)
GPU_NODE = Resources(32_000, 128_000, 8, 8, 64)


def res(cores, memory=1000, accelerators=0):
    return Resources(cores * 1000, memory, accelerators, 1, 1)


def task(request, need, team="kennel", kind=TaskKind.BATCH, at_ms=0, **more):
    attempt = more.pop("next_attempt", 1)
    avoid = more.pop("avoid", ())
    workspace = more.pop("workspace", "day")
    member = more.pop("member", 0)
    task_id = TaskId(team, workspace, request, member)
    spec = TaskSpec(task_id, kind, need, "open", **more)
    return PendingTask(spec, at_ms, attempt, avoid)


def job(request, need, members, **more):
    more = {"kind": TaskKind.ALL_AT_ONCE, "members": members, **more}
    return [task(request, need, member=i, **more) for i in range(members)]


def shard(make: type[Planner], nodes=4, gpu_nodes=0, racks=2, node=NODE) -> Planner:
    planner = make()
    capacity = ZERO
    for kind, count, size in (("n", nodes, node), ("g", gpu_nodes, GPU_NODE)):
        for i in range(count):
            worker = Worker(f"{kind}{i}", "east", f"{kind}r{i % racks}", size)
            planner.put_worker(worker, WorkerState.READY)
            capacity = capacity.plus(size)
    planner.set_fleet(capacity, {})
    for team in ("kennel", "route"):
        planner.set_share(team, 1.0)
        planner.set_grant(team, LARGE)
    return planner


def places(decisions):
    return {d.task.request: d.worker for d in decisions if isinstance(d, Place)}


every_planner = pytest.mark.parametrize("make", PLANNERS)


@every_planner
class TestSingles:
    def test_batch_packs_on_the_fullest_worker(self, make):
        planner = shard(make)
        planner.add_running(task("old", res(8)), "n2", 0)
        assert places(planner.place_now([task("a", res(4))], 0)) == {"a": "n2"}

    def test_services_of_a_workspace_spread_over_racks(self, make):
        planner = shard(make, nodes=6, racks=3)
        tasks = [task(f"s{i}", res(1), kind=TaskKind.SERVICE) for i in range(3)]
        found = places(planner.place_now(tasks, 0))
        assert {int(name[1:]) % 3 for name in found.values()} == {0, 1, 2}

    def test_plain_work_leaves_accelerator_workers_free(self, make):
        planner = shard(make, nodes=1, gpu_nodes=1)
        found = places(planner.place_now([task(f"t{i}", res(8)) for i in range(3)], 0))
        assert sorted(found.values()) == ["g0", "n0", "n0"]

    @pytest.mark.parametrize(("weight", "worker"), [(1.0, "n0"), (0.0, "g0")])
    def test_guard_outweighs_a_tighter_fit_on_an_accelerator_worker(
        self, make, weight, worker
    ):
        planner = shard(make, nodes=1, gpu_nodes=1)
        planner.set_policy(Policy(accelerator_guard_weight=weight))
        planner.add_running(task("images", res(23, accelerators=8)), "g0", 0)
        found = planner.place_now([task("a", res(8))], 0)
        assert places(found) == {"a": worker}

    @pytest.mark.parametrize("state", [s for s in WorkerState if s != "ready"])
    def test_only_ready_workers_get_work(self, make, state):
        planner = shard(make, nodes=1)
        planner.put_worker(Worker("n0", "east", "nr0", NODE), state)
        assert planner.place_now([task("a", res(1))], 0) == []
        planner.put_worker(Worker("n0", "east", "nr0", NODE), WorkerState.READY)
        assert places(planner.plan(1, 10)) == {"a": "n0"}

    def test_workers_to_avoid_are_avoided(self, make):
        planner = shard(make, nodes=2)
        found = planner.place_now([task("a", res(1), avoid=("n0",))], 0)
        assert places(found) == {"a": "n1"}

    def test_grant_is_a_hard_limit_in_every_dimension(self, make):
        planner = shard(make)
        planner.set_grant("kennel", Resources(16_000, 2500, 0, 9, 9))
        found = planner.place_now([task(f"t{i}", res(1)) for i in range(4)], 0)
        assert len(found) == 2
        assert planner.held_by_team("kennel").memory_mb == 2000

    def test_passed_deadline_is_refused(self, make):
        planner = shard(make, nodes=1)
        planner.add_running(task("old", res(16)), "n0", 0)
        planner.place_now([task("a", res(1), start_by_ms=500)], 0)
        assert planner.plan(500, 10) == []
        late = TaskId("kennel", "day", "a")
        assert planner.plan(501, 10) == [Reject(late, Refusal.DEADLINE_PASSED)]
        assert planner.pending_count() == 0

    def test_what_no_worker_here_can_hold_goes_elsewhere(self, make):
        planner = shard(make)
        found = planner.place_now([task("a", res(1, accelerators=1))], 0)
        assert found == [Overflow(TaskId("kennel", "day", "a"))]

    def test_what_comes_back_is_not_sent_again_for_a_minute(self, make):
        planner = shard(make)
        too_large = task("a", res(17))
        sent = [Overflow(too_large.spec.id)]
        assert planner.place_now([too_large], 0) == sent
        planner.add_pending(too_large)
        assert planner.plan(1, 10) == []
        assert planner.plan(59_999, 10) == []
        assert planner.plan(60_000, 10) == sent

    def test_job_too_large_for_the_shard_goes_elsewhere_whole(self, make):
        planner = shard(make, nodes=2)
        members = job("j", res(16), 3)
        assert planner.place_now(members, 0) == []
        planner.set_fleet(NODE.times(10), {})
        sent = planner.plan(20_000, 10)
        assert sent == [Overflow(member.spec.id) for member in members]

    def test_long_waiting_goes_elsewhere_only_if_there_is_room(self, make):
        planner = shard(make, nodes=1)
        planner.add_running(task("old", res(16)), "n0", 0)
        planner.place_now([task("a", res(1))], 0)
        assert planner.plan(20_000, 10) == []
        planner.set_fleet(NODE.times(2), {"route": ZERO})
        found = planner.plan(30_000, 10)
        assert found == [Overflow(TaskId("kennel", "day", "a"))]

    def test_batch_stops_while_the_preset_says_so(self, make):
        planner = shard(make)
        planner.set_policy(Policy(admit_batch=False))
        planner.place_now([task("a", res(1))], 0)
        assert planner.plan(1, 10) == []
        planner.set_policy(Policy())
        assert places(planner.plan(2, 10)) == {"a": "n0"}


@every_planner
class TestShares:
    @pytest.mark.parametrize(
        ("weights", "expected"),
        [((1.0, 1.0), (8, 8)), ((3.0, 1.0), (12, 4)), ((1.0, 0.0), (16, 0))],
    )
    def test_full_shard_is_split_by_weight(self, make, weights, expected):
        planner = shard(make, nodes=1, node=Resources(16_000, 64_000, 0, 99, 99))
        for team, weight in zip(("kennel", "route"), weights, strict=True):
            planner.set_share(team, weight)
            for i in range(40):
                planner.add_pending(task(f"t{i}", res(1), team=team))
        planner.plan(0, 100)
        held = [planner.held_by_team(team).slots for team in ("kennel", "route")]
        assert tuple(held) == expected

    def test_use_in_other_shards_counts(self, make):
        planner = shard(make, nodes=1)
        planner.set_fleet(NODE.times(2), {"kennel": NODE})
        for team in ("kennel", "route"):
            for i in range(20):
                planner.add_pending(task(f"t{i}", res(2), team=team))
        planner.plan(0, 100)
        assert planner.held_by_team("kennel") == ZERO

    def test_long_waiting_task_gets_one_turn_in_64_whatever_the_shares(self, make):
        planner = shard(make, nodes=1)
        planner.set_share("kennel", 0.0)
        planner.add_pending(task("old", res(16)))
        started = []
        for step in range(64):
            planner.add_pending(task(f"r{step}", res(16), team="route", at_ms=60_000))
            (decision,) = planner.plan(60_000 + step, 1)
            started.append(decision.task.request)
            planner.remove(decision.task)
        assert started.index("old") == 63

    def overfull(self, make, policy):
        planner = shard(make, nodes=1, node=Resources(16_000, 64_000, 0, 99, 99))
        planner.set_policy(policy)
        for i in range(16):
            planner.add_running(task(f"k{i}", res(1)), "n0", i)
        for i in range(16):
            planner.add_pending(task(f"r{i}", res(1), team="route"))
        return planner

    def test_shares_stop_nothing_unless_the_preset_says_so(self, make):
        assert self.overfull(make, Policy()).plan(0, 100) == []

    def test_team_above_its_share_gives_way_in_parts(self, make):
        planner = self.overfull(make, Policy(rebalance=True))
        stopped = planner.plan(0, 100)
        assert [d.task.request for d in stopped] == ["k15", "k14", "k13", "k12"]
        assert {d.beneficiary.team for d in stopped} == {"route"}
        assert planner.plan(5_000, 100) == []
        for decision in stopped:
            planner.requeue(task(decision.task.request, res(1), next_attempt=2))
        assert len(places(planner.plan(6_000, 100))) == 4
        assert planner.held_by_team("route").slots == 4

    def test_what_is_being_checkpointed_counts_as_given_back(self, make):
        planner = self.overfull(make, Policy(rebalance=True))
        assert len(planner.plan(0, 100)) == 4
        planner.set_fleet(Resources(16_000, 64_000, 0, 99, 99), {})
        stopped = planner.plan(1_000, 100)
        assert [d.task.request for d in stopped] == ["k11", "k10"]

    def test_team_above_its_share_keeps_its_share(self, make):
        planner = self.overfull(make, Policy(rebalance=True))
        for second in range(60):
            planner.set_fleet(Resources(16_000, 64_000, 0, 99, 99), {})
            for decision in planner.plan(second * 1_000, 100):
                if isinstance(decision, Preempt):
                    again = task(decision.task.request, res(1), next_attempt=2)
                    planner.requeue(again)
        held = [planner.held_by_team(team).slots for team in ("kennel", "route")]
        assert held in ([8, 8], [9, 7])

    def test_large_task_starts_under_a_stream_of_small_ones(self, make):
        planner = shard(make, nodes=2)
        running = []
        planner.add_pending(task("large", res(16), team="route"))
        started_at = None
        for step in range(600):
            now_ms = step * 500
            planner.add_pending(task(f"s{step}", res(4), at_ms=now_ms))
            planner.add_pending(task(f"r{step}", res(4), at_ms=now_ms, team="route"))
            for request, worker in places(planner.plan(now_ms, 50)).items():
                if request == "large":
                    started_at = now_ms
                running.append((now_ms + 4_000, request, worker))
            for entry in [e for e in running if e[0] <= now_ms]:
                running.remove(entry)
                team = "route" if entry[1][0] in "lr" else "kennel"
                assert planner.remove(TaskId(team, "day", entry[1]))
        assert started_at is not None
        assert started_at <= 70_000


@every_planner
class TestUrgent:
    def full(self, make):
        planner = shard(make, nodes=1)
        for i in range(4):
            planner.add_running(task(f"b{i}", res(4)), "n0", i)
        return planner

    def test_goes_first(self, make):
        planner = shard(make, nodes=1)
        planner.add_pending(task("a", res(10)))
        planner.add_pending(task("u", res(10), at_ms=5, urgent=True))
        assert places(planner.plan(10, 10)) == {"u": "n0"}

    def test_checkpoints_the_latest_batch_task_and_keeps_its_room(self, make):
        planner = self.full(make)
        urgent = task("u", res(4), urgent=True, team="route")
        victim = TaskId("kennel", "day", "b3")
        assert planner.place_now([urgent], 10) == [
            Preempt(victim, "n0", urgent.spec.id)
        ]
        planner.add_pending(task("other", res(4)))
        assert planner.plan(11, 10) == []
        planner.requeue(task("b3", res(4), next_attempt=2))
        assert planner.plan(12, 10) == [Place(urgent.spec.id, "n0")]

    @pytest.mark.parametrize(
        "spared",
        [{"repeatable": False}, {"urgent": True}, {"kind": TaskKind.SERVICE}],
    )
    def test_spares_what_must_not_be_stopped(self, make, spared):
        planner = shard(make, nodes=1)
        planner.add_running(task("b", res(16), **spared), "n0", 0)
        assert planner.place_now([task("u", res(4), urgent=True)], 10) == []

    def test_does_not_preempt_when_the_preset_forbids_it(self, make):
        planner = self.full(make)
        planner.set_policy(Policy(preemption=False))
        assert planner.place_now([task("u", res(4), urgent=True)], 10) == []

    def test_room_is_kept_for_urgent_work_that_may_not_preempt(self, make):
        planner = shard(make, nodes=2)
        planner.set_policy(Policy(preemption=False))
        for i in range(32):
            planner.add_pending(task(f"b{i}", res(4)))
        assert len(planner.plan(0, 100)) == 7
        assert len(planner.place_now([task("u", res(4), urgent=True)], 1)) == 1


@every_planner
class TestAllAtOnce:
    def test_waits_for_all_members(self, make):
        planner = shard(make)
        members = job("j", res(2), 3)
        assert planner.place_now(members[:2], 0) == []
        assert planner.plan(1, 10) == []
        assert len(planner.place_now(members[2:], 2)) == 3

    def test_whole_or_not_at_all(self, make):
        planner = shard(make, nodes=3)
        assert planner.place_now(job("j", res(10), 4), 0) == []
        assert planner.held_by_team("kennel") == ZERO
        assert len(planner.place_now(job("k", res(10), 3), 1)) == 3

    def test_grant_covers_the_whole_job(self, make):
        planner = shard(make)
        planner.set_grant("kennel", Resources(7_000, 10**6, 0, 9, 9))
        assert planner.place_now(job("j", res(2), 4), 0) == []
        planner.set_grant("kennel", Resources(8_000, 10**6, 0, 9, 9))
        assert len(planner.plan(1, 1)) == 4

    def test_reservation_gathers_room_and_backfill_runs_before_it(self, make):
        planner = shard(make, nodes=2)
        for i in range(2):
            planner.add_running(task(f"b{i}", res(12)), f"n{i}", 0)
        planner.place_now(job("j", res(10), 2), 0)
        found = planner.place_now([task("long", res(2), run_time_ms=60_000)], 2)
        assert found == []
        found = planner.place_now([task("short", res(2), run_time_ms=5_000)], 3)
        assert set(places(found)) == {"short"}
        for i in range(2):
            planner.remove(TaskId("kennel", "day", f"b{i}"))
        assert len(places(planner.plan(4, 10))) == 1

    def test_member_that_failed_restarts_with_all_members(self, make):
        planner = shard(make)
        planner.place_now(job("j", res(2), 3), 0)
        again = job("j", res(2), 3, next_attempt=2)
        planner.requeue(again[1])
        assert planner.plan(1, 10) == []
        planner.requeue(again[0])
        planner.requeue(again[2])
        assert len(planner.plan(2, 10)) == 3

    def test_two_large_jobs_do_not_deadlock(self, make):
        planner = shard(make, nodes=2)
        for i in range(2):
            planner.add_running(task(f"b{i}", res(2)), f"n{i}", 0)
        planner.place_now([*job("j", res(15), 2), *job("k", res(15), 2)], 0)
        started, now_ms = [], 0
        while len(started) < 4 and now_ms < 200_000:
            now_ms += 1_000
            if now_ms == 40_000:
                for i in range(2):
                    planner.remove(TaskId("kennel", "day", f"b{i}"))
            found = [d.task for d in planner.plan(now_ms, 10)]
            assert len(found) in (0, 2)
            started.extend(found)
            for task_id in found:
                planner.remove(task_id)
        assert {t.request for t in started} == {"j", "k"}
