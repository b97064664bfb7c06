"""The indexed planner makes the naive planner's decisions, and both obey the limits."""

from collections import Counter
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from hypothesis import event, given, settings, strategies as st

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.placement import (
    IndexedPlanner,
    NaivePlanner,
    Overflow,
    PendingTask,
    Place,
    Policy,
    Preempt,
    Reject,
    _rules as rules,
)
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker, WorkerState

TEAMS = ("kennel", "route", "signs")
SIZES = (
    Resources(8_000, 32_000, 0, 4, 16),
    Resources(16_000, 64_000, 0, 8, 64),
    Resources(16_000, 64_000, 4, 8, 64),
)
NEED_CHOICES = (
    (0, 250, 1_000, 3_900, 4_000, 8_000, 15_900),
    (0, 500, 4_000, 30_000),
    (0, 0, 0, 0, 0, 1, 4),
    (0, 1, 1, 1, 2),
    (0, 1, 8),
)
GRANT_CHOICES = (
    (0, 20_000, 60_000, 10**9, 10**9),
    (80_000, 10**9),
    (4, 10**6),
    (10, 10**6),
    (10**6,),
)
POLICY_CHOICES = {
    "spread_weight": (0.0, 1.0, 0.1),
    "packing_weight": (0.0, 1.0, 3.0),
    "accelerator_guard_weight": (0.0, 0.05, 1.0),
    "ageing_s": (0.0, 3.0, 60.0),
    "preemption": (True, False),
    "backfill": (True, False),
    "reservation_s": (4.0, 30.0),
    "admit_batch": (True, True, True, False),
    "rebalance": (True, True, False),
}
STEPS = {
    "arrive": 12,
    "now": 8,
    "plan": 10,
    "end": 5,
    "requeue": 3,
    "cancel": 2,
    "return_overflow": 2,
    "wait": 8,
    "worker": 1,
    "drop": 1,
    "grant": 1,
    "share": 1,
    "fleet": 1,
    "policy": 1,
    "recover": 1,
}


class PlannerPair:
    """Makes the same calls to both planners and tracks the expected state."""

    def __init__(self, random):
        self.random = random
        self.choice = random.choice
        self.planners = (IndexedPlanner(), NaivePlanner())
        self.now_ms = 1_000
        self.count = 0
        self.workers = {}
        self.states = {}
        self.grants = {}
        self.pending = {}
        self.running = {}
        self.decision_names = set()
        self.overflowed = []
        self.rebalance = False

    def call_both(self, name, *args):
        found = [getattr(planner, name)(*args) for planner in self.planners]
        assert found[0] == found[1], name
        return found[0]

    def amounts(self, choices):
        return Resources(*(self.choice(of) for of in choices))

    def worker(self):
        index = self.random.randrange(6)
        size = self.choice(SIZES)
        name = f"w{index}"
        if name in self.workers:
            size = self.workers[name].capacity
        state = self.choice([*WorkerState] + ["ready"] * 6)
        worker = Worker(name, "east", f"r{index % 3}", size)
        self.workers[name] = worker
        self.states[name] = WorkerState(state)
        self.call_both("put_worker", worker, self.states[name])

    def drop(self):
        idle = set(self.workers) - {worker for _, worker in self.running.values()}
        if idle:
            name = self.choice(sorted(idle))
            del self.workers[name], self.states[name]
            self.call_both("drop_worker", name)

    def grant(self):
        team, grant = self.choice(TEAMS), self.amounts(GRANT_CHOICES)
        self.grants[team] = grant
        self.call_both("set_grant", team, grant)

    def share(self):
        weight = self.choice([0.0, 0.5, 1.0, 4.0])
        self.call_both("set_share", self.choice(TEAMS), weight)

    def fleet(self):
        capacity = Resources(*(sum(c) for c in zip(*SIZES, strict=True))).times(4)
        elsewhere = {team: self.amounts(NEED_CHOICES) for team in TEAMS}
        self.call_both("set_fleet", capacity, elsewhere)

    def single_shard_fleet(self):
        """Set a fleet that consists of this shard alone, with rebalancing on."""
        capacities = [worker.capacity for worker in self.workers.values()]
        capacity = Resources(*(sum(column) for column in zip(*capacities, strict=True)))
        self.call_both("set_fleet", capacity, {})
        self.rebalance = True
        self.call_both("set_policy", Policy(rebalance=True))

    def policy(self):
        chosen = {name: self.choice(of) for name, of in POLICY_CHOICES.items()}
        self.rebalance = chosen["rebalance"]
        self.call_both("set_policy", Policy(**chosen))

    def new_tasks(self):
        self.count += 1
        kind = self.choice(["batch", "batch", "service", "all_at_once"])
        members = self.random.randint(1, 4) if kind == "all_at_once" else 1
        need = self.amounts(NEED_CHOICES)
        base = TaskId(
            self.choice(TEAMS),
            self.choice(["day", "night"]),
            f"t{self.count}",
        )
        spec = TaskSpec(
            base,
            TaskKind(kind),
            need,
            "open",
            repeatable=self.choice((True, False)),
            urgent=self.choice([False, False, True]),
            run_time_ms=self.choice([0, 2_000, 90_000]),
            start_by_ms=self.choice([0, 0, self.now_ms + 3_000]),
            members=members,
        )
        queued_at_ms = self.now_ms - self.choice([0, 0, 500, 20_000])
        avoid = self.choice([(), (), ("w1",), ("w0", "w2")])
        return [
            PendingTask(
                spec._replace(id=base._replace(member=i)), queued_at_ms, 1, avoid
            )
            for i in range(members)
        ]

    def arrive(self):
        for task in self.new_tasks():
            self.pending[task.spec.id] = task
            self.call_both("add_pending", task)

    def now(self):
        tasks = self.new_tasks()
        self.pending.update({task.spec.id: task for task in tasks})
        self.apply(self.call_both("place_now", tasks, self.now_ms))

    def plan(self):
        self.apply(self.call_both("plan", self.now_ms, self.random.randrange(9)))

    def wait(self):
        self.now_ms += self.choice([1, 400, 1_500, 12_000, 70_000])

    def end(self):
        if self.running:
            task_id = self.choice(sorted(self.running))
            del self.running[task_id]
            assert self.call_both("remove", task_id)
            assert not self.call_both("remove", task_id)

    def requeue(self):
        if self.running:
            task_id = self.choice(sorted(self.running))
            task, worker = self.running.pop(task_id)
            again = task._replace(next_attempt=2, avoid=(*task.avoid, worker))
            self.pending[task_id] = again
            self.call_both("requeue", again)

    def return_overflow(self):
        """Queue an overflowed task again that no other shard accepted."""
        if self.overflowed:
            task = self.overflowed.pop(self.random.randrange(len(self.overflowed)))
            self.pending[task.spec.id] = task
            self.call_both("add_pending", task)

    def cancel(self):
        if self.pending:
            task_id = self.choice(sorted(self.pending))
            del self.pending[task_id]
            assert self.call_both("remove", task_id)

    def recover(self):
        """Add a running task of a former lead to both planners, if it fits."""
        task = self.new_tasks()[0]
        for name, worker in sorted(self.workers.items()):
            free = worker.capacity.minus(self.held_on(name))
            if task.spec.members == 1 and task.spec.resources.fits(free):
                self.running[task.spec.id] = (task, name)
                self.call_both("add_running", task, name, self.now_ms)
                return

    def held_on(self, name):
        held = ZERO
        for task, at in self.running.values():
            if at == name:
                held = held.plus(task.spec.resources)
        return held

    def apply(self, decisions):
        """Apply decisions to the expected state and check that each is allowed."""
        placed = Counter()
        for decision in decisions:
            self.decision_names.add(type(decision).__name__)
            if isinstance(decision, Preempt):
                victim = self.running[decision.task][0].spec
                assert victim.kind is TaskKind.BATCH
                assert victim.repeatable and not victim.urgent
                beneficiary = self.pending[decision.beneficiary].spec
                assert beneficiary.urgent or self.rebalance
                if not beneficiary.urgent:
                    self.decision_names.add("Preempt for a share")
                assert beneficiary.urgent or beneficiary.id.team != decision.task.team
                continue
            assert isinstance(decision, Place | Reject | Overflow)
            task = self.pending.pop(decision.task)
            if isinstance(decision, Overflow):
                self.overflowed.append(task)
            if isinstance(decision, Place):
                assert self.states[decision.worker] is WorkerState.READY
                assert decision.worker not in task.avoid
                self.running[decision.task] = (task, decision.worker)
                placed[decision.task.job()] += 1
                self.check_grant(decision.task.team)
        for job in placed:
            assert not any(task_id.job() == job for task_id in self.pending)

    def check_grant(self, team):
        held = ZERO
        for task, _ in self.running.values():
            if task.spec.id.team == team:
                held = held.plus(task.spec.resources)
        assert held.fits(self.grants.get(team, ZERO))

    def check_sums(self):
        """Compare the planners' sums with the expected state."""
        assert self.call_both("pending_count") == len(self.pending)
        for name, worker in self.workers.items():
            assert self.held_on(name).fits(worker.capacity)
        for team in TEAMS:
            held = self.call_both("held_by_team", team)
            wanted = self.call_both("wanted_by_team", team)
            sums = SimpleNamespace(held=ZERO, wanted=ZERO)
            for task, _ in self.running.values():
                if task.spec.id.team == team:
                    sums.held = sums.held.plus(task.spec.resources)
            for task in self.pending.values():
                if task.spec.id.team == team:
                    sums.wanted = sums.wanted.plus(task.spec.resources)
            assert (held, wanted) == (sums.held, sums.wanted)


@patch.object(rules, "AGEING_INTERVAL", 4)
@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32), st.integers(1, 150), st.integers(1, 6))
def test_indexed_decides_as_naive(seed, steps, workers):
    pair = PlannerPair(Random(seed))
    for team in TEAMS:
        pair.grants[team] = Resources(10**9, 10**9, 10**6, 10**6, 10**6)
        pair.call_both("set_grant", team, pair.grants[team])
        pair.call_both("set_share", team, 1.0)
    for _ in range(workers):
        pair.worker()
    pair.single_shard_fleet()
    for step in pair.random.choices([*STEPS], [*STEPS.values()], k=steps):
        getattr(pair, step)()
        pair.check_sums()
    for name in pair.decision_names:
        event(name)
