"""What a lead has learned of durations and workers survives it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec
import pytest
from twisted.internet.defer import Deferred

from savorylead.jobs import JobState, TaskName
from savorylead.pools import (
    FULL_POLICY,
    Committed,
    Conflict,
    DurationEstimator,
    Put,
    SchedulingPolicy,
    StoreRefusedError,
    decode_durations,
)
from savorylead.store import KeyValue
from savorylead_daemon.pool._keys import durations_key
from savorylead_standins.pools import MemoryCellStore, PoolCell, StoreView, job_spec

from .cell_cases import READY_S, LoggedEvent, other_node, ready_cell, states

KEY = durations_key("pool")
#: The switch of this feature alone.
LEARNS = SchedulingPolicy(learns_durations=True)
FAST = "w0"
#: Duration of a task of a usual step in the test of long steps.
USUAL = timedelta(milliseconds=100)
#: Time in which the next lead is elected and has loaded the pool.
REPLACED_AFTER_S = 10.0
#: Interval between two writes of the record, in seconds.
INTERVAL_S = 5.0


def learning_cell(**changes: object) -> PoolCell:
    """Return a cell of which one worker is twice as fast as the others."""
    cell = ready_cell(**{"policy": LEARNS} | changes)

    def duration_of(task: TaskName) -> timedelta:
        active = {name for name, _ in cell.workers.machines[FAST].active}
        return timedelta(milliseconds=300 if str(task) in active else 600)

    cell.workers.duration_of = duration_of
    return cell


def work(cell: PoolCell, name: str, jobs: int = 6, count: int = 20) -> None:
    """Run jobs one after the other, each over all workers."""
    via = next(iter(cell.nodes))
    for number in range(jobs):
        cell.submit(f"{name}{number}", job_spec(count), via)
        cell.run(1.0)


def durations_of(cell: PoolCell) -> DurationEstimator:
    """Return the lead's estimator."""
    return cell.nodes[cell.lead_of()].leads["pool"]._state.planner.durations


def named(events: list[LoggedEvent], event: str) -> list[LoggedEvent]:
    """Return the lines of one kind."""
    return [line for line in events if line.event == event]


@pytest.mark.parametrize("policy", [LEARNS, FULL_POLICY])
def test_a_new_lead_goes_on_from_the_record(
    policy: SchedulingPolicy, events: list[LoggedEvent]
) -> None:
    # Guards against a lead change after which tasks are placed without any knowledge
    # of speeds for the next seconds.
    cell = learning_cell(policy=policy)
    work(cell, "first", jobs=12, count=32)
    factor = durations_of(cell).factor(FAST)
    assert factor < 0.7
    cell.run(INTERVAL_S + 1)
    assert named(events, "durations_written")
    cell.kill(cell.lead_of())
    cell.run(REPLACED_AFTER_S)
    assert named(events, "durations_loaded")[-1].details["workers"] == 4
    assert durations_of(cell).factor(FAST) == pytest.approx(factor, rel=0.05)
    assert cell.workers.breaches == []


@pytest.mark.parametrize("policy", [SchedulingPolicy(), SchedulingPolicy(False, True)])
def test_without_the_switch_there_is_no_record(
    policy: SchedulingPolicy, events: list[LoggedEvent]
) -> None:
    cell = learning_cell(policy=policy)
    work(cell, "first", jobs=12)
    assert KEY not in cell.store.items
    assert not [line for line in events if line.event.startswith("durations_")]
    assert durations_of(cell).factor(FAST) == 1.0


def test_without_the_switch_a_record_stays_as_it_is() -> None:
    cell = learning_cell(policy=SchedulingPolicy())
    revision = cell.store.put(KEY, b"{")
    work(cell, "first", jobs=12)
    assert cell.store.items[KEY].revision == revision


@pytest.mark.parametrize("jobs, count", [(1, 31), (12, 20), (30, 20)])
def test_the_record_is_written_seldom(
    jobs: int, count: int, events: list[LoggedEvent]
) -> None:
    # Guards against a write of the whole record for each task.
    cell = learning_cell()
    work(cell, "first", jobs, count)
    cell.run(INTERVAL_S * 2)
    written = named(events, "durations_written")
    if jobs * count < 32:
        assert not written
        return
    assert 1 <= len(written) <= (jobs + READY_S) / INTERVAL_S + 2
    assert all(line.details["observations"] >= 32 for line in written)
    assert sum(line.details["observations"] for line in written) <= jobs * count
    assert decode_durations(KEY, cell.store.items[KEY].value).workers[FAST].count > 1


@pytest.mark.parametrize(
    "fault", ["lost_answers", "late_commits", "refused", "unanswered"]
)
def test_a_failed_write_is_made_up_for(fault: str, events: list[LoggedEvent]) -> None:
    # Guards against a lead that never writes again since it expects a revision that a
    # write of unknown outcome has replaced, and against work that waits for the record.
    cell = learning_cell()
    work(cell, "first", jobs=6)
    cell.run(INTERVAL_S * 2)
    before = len(named(events, "durations_written"))
    assert before
    done = len(cell.workers.ends)
    view = cell.views[cell.lead_of()]
    original = view.commit
    failed = 0

    async def commit(
        expected: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        nonlocal failed
        if any(put.key == KEY for put in puts) and failed < 2:
            failed += 1
            if fault == "refused":
                raise StoreRefusedError("refused")
            if fault == "unanswered":
                await Deferred()
            setattr(cell.store, fault, 1)
        return await original(expected, puts, deletes)

    view.commit = commit
    work(cell, "second", jobs=20)
    cell.run(INTERVAL_S * 5)
    assert failed == 2
    assert len(named(events, "durations_unwritten")) >= 2
    assert len(named(events, "durations_written")) > before
    assert len(cell.workers.ends) - done == 20 * 20
    cell.kill(cell.lead_of())
    cell.run(REPLACED_AFTER_S)
    assert named(events, "durations_loaded")
    assert cell.workers.breaches == []


VALID = {
    "version": 1,
    "queues": {"q-pool": [9.0, 6.5, 6.9, 0.5, 0.6, 0.3, 0.04]},
    "workers": {FAST: [9.0, -0.7, 1]},
}


@pytest.mark.parametrize(
    "value, is_read",
    [
        (msgspec.json.encode(VALID), True),
        (msgspec.json.encode(VALID | {"version": 2}), False),
        (b"", False),
        (b"\xff\xfe", False),
        (msgspec.json.encode(VALID) + b" " * 65_536, False),
        (msgspec.json.encode(VALID).replace(b"6.5", b"1e999"), False),
        (None, False),
    ],
)
def test_a_pool_goes_on_beside_a_record_that_cannot_be_read(
    value: bytes | None, is_read: bool, events: list[LoggedEvent]
) -> None:
    cell = learning_cell()
    if value is not None:
        cell.store.put(KEY, value)
    cell.kill(cell.lead_of())
    events.clear()
    cell.run(REPLACED_AFTER_S)
    assert len(named(events, "durations_unreadable")) == (not is_read)
    assert len(named(events, "durations_loaded")) == is_read
    assert (durations_of(cell).factor(FAST) < 0.6) is is_read
    work(cell, "later", jobs=6)
    cell.run(INTERVAL_S * 2)
    jobs = [f"later{number}" for number in range(6)]
    assert set(states(cell, jobs).values()) == {JobState.COMPLETED}
    # It is replaced, whatever it was.
    assert decode_durations(KEY, cell.store.items[KEY].value).workers[FAST].count > 1


def test_a_worker_that_restarted_since_the_record_has_no_history() -> None:
    # Guards against the speed of a machine that was replaced under its worker's id.
    cell = learning_cell()
    workers = {FAST: [9.0, -0.7, 1], "w1": [9.0, -0.7, 5]}
    cell.store.put(KEY, msgspec.json.encode(VALID | {"workers": workers}))
    cell.kill(cell.lead_of())
    cell.run(REPLACED_AFTER_S)
    assert durations_of(cell).factor(FAST) < 0.6
    assert durations_of(cell).factor("w1") == 1.0


class _SlowRecord(StoreView):
    """A store connection on which the read of the record is not answered in time."""

    def __init__(self, store: MemoryCellStore, seconds: float) -> None:
        super().__init__(store)
        self._seconds = seconds

    async def get(self, key: str) -> KeyValue | None:
        if key == KEY:
            if not self._seconds:
                await Deferred()
            await self._store.clock.sleep(timedelta(seconds=self._seconds))
        return await super().get(key)


@pytest.mark.parametrize("seconds", [0.0, 3.0])
def test_loading_does_not_wait_for_the_record(
    seconds: float, events: list[LoggedEvent]
) -> None:
    # Guards against an idle pool while one read of the store is slow; 0 is for ever.
    cell = learning_cell()
    work(cell, "first", jobs=8)
    cell.run(INTERVAL_S)
    assert KEY in cell.store.items
    for name in list(cell.nodes):
        if name != cell.lead_of():
            cell.kill(name)
            cell.views[name] = _SlowRecord(cell.store, seconds)
            cell.start_node(name)
    cell.run(READY_S)
    via = other_node(cell)
    cell.kill(cell.lead_of())
    events.clear()
    while not named(events, "lead_loaded"):
        cell.run(0.1)
    assert not named(events, "durations_loaded")
    assert named(events, "lead_loaded")[0].details["took_ms"] < 1_000
    cell.submit("next", job_spec(4), via)
    cell.run(5.0)
    assert states(cell, ["next"]) == {"next": JobState.COMPLETED}
    assert len(named(events, "durations_loaded")) == (seconds > 0)


@pytest.mark.parametrize(
    "policy, blames_workers", [(LEARNS, False), (SchedulingPolicy(), True)]
)
@pytest.mark.parametrize("slow_share", [False, True])
def test_a_long_step_does_not_make_its_workers_count_as_slow(
    policy: SchedulingPolicy,
    blames_workers: bool,
    slow_share: bool,
    events: list[LoggedEvent],
) -> None:
    # Guards against workers that are avoided for seconds since a step took many times
    # as long as its queue's others. A worker that is slow itself is still found.
    cell = learning_cell(policy=policy)
    cell.workers.duration_of = lambda _: USUAL
    work(cell, "usual", jobs=8, count=32)
    events.clear()

    def duration_of(task: TaskName) -> timedelta:
        active = {name for name, _ in cell.workers.machines["w1"].active}
        is_slow = slow_share and str(task) in active
        return USUAL * 40 if is_slow or not slow_share else USUAL

    cell.workers.duration_of = duration_of
    for number in range(3):
        cell.submit(f"long{number}", job_spec(32))
        cell.run(6.0)
    slow = {line.details["worker"] for line in named(events, "worker_slow")}
    if slow_share:
        assert slow == {"w1"}
    else:
        assert bool(slow) is blames_workers
