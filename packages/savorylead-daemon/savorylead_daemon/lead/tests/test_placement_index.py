"""The resource totals by worker equal the sums over the records."""

import random

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.journal import Accepted, Placed, Requeued, RequeueReason, ShardState
from savorylead.resources import ZERO, Resources
from savorylead_daemon.lead._placement_index import PlacementIndex

WORKERS = ["w1", "w2", "w3"]


def summed(index, worker):
    held = ZERO
    for record in index.records_on(worker):
        held = held.plus(record.held_resources())
    return held


def test_sums_follow_placements_and_ends():
    rng = random.Random(1)
    state = ShardState()
    index = PlacementIndex(state)
    tasks = [TaskId("dispatch", "main", f"r{n}") for n in range(20)]
    for task in tasks:
        size = Resources(rng.randrange(1, 9) * 500, rng.randrange(1, 9) * 64, 0, 1)
        state.apply(Accepted(TaskSpec(task, TaskKind.BATCH, size, "day"), 0))
    placed = set()
    for step in range(400):
        task = rng.choice(tasks)
        record = state.records[task]
        if task in placed:
            index.remove(record)
            index.remove(record)
            reason = RequeueReason.CHECKPOINTED
            state.apply(Requeued(task, record.attempt, reason, step))
            placed.discard(task)
        else:
            worker = rng.choice(WORKERS)
            corrected = Resources(250, 32, 0, 1) if rng.random() < 0.3 else None
            attempt = record.attempt + 1
            held = corrected or record.spec.resources
            index.place((task, attempt), worker, held)
            state.apply(Placed(task, attempt, worker, "i", step, corrected))
            placed.add(task)
        for worker in WORKERS:
            assert index.held_on(worker) == summed(index, worker)
    restored = PlacementIndex(state)
    for task in placed:
        restored.restore(state.records[task])
    assert [restored.held_on(w) for w in WORKERS] == [index.held_on(w) for w in WORKERS]
