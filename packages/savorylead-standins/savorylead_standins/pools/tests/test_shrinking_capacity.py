"""No start brings a worker over a capacity that shrank while it ran."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest

from savorylead.jobs import JobSpec
from savorylead.pools import WorkerEntry
from savorylead.resources import Resources
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell

#: A start counts against a shrunk capacity this long after the worker's entry shows it:
#: 3 s and a heartbeat of 1.5 s.
COUNTS_AFTER = timedelta(seconds=4.5)
SHRUNK = Resources(3_000, 64_000, 0)


def set_capacity(cell: PoolCell, worker: str, capacity: Resources) -> None:
    """Change a worker's entry at once, and what its starts are judged by later."""
    machine = cell.workers.machines[worker]
    changed = machine.entry._replace(capacity=capacity)
    cell.list_worker(changed)

    def judge() -> None:
        machine.entry = changed

    cell.clock.call_later(COUNTS_AFTER, judge)


def keep_submitting(cell: PoolCell, seconds: float, spec: JobSpec) -> None:
    for number in range(int(seconds / 0.5)):
        now = cell.clock.now().timestamp()
        cell.submit(f"job{now}-{number}", spec, next(iter(cell.nodes)))
        cell.run(0.5)


def no_fault(cell: PoolCell) -> None:
    pass


def kill_lead_after_the_list_was_read(cell: PoolCell) -> None:
    cell.run(1.5)
    cell.kill(cell.lead_of())


def kill_lead_before_the_list_was_read(cell: PoolCell) -> None:
    cell.kill(cell.lead_of())


def store_goes_away_after_the_list_was_read(cell: PoolCell) -> None:
    cell.run(1.5)
    cell.store.refuses = True
    cell.store.leases_lapse = False
    cell.clock.call_later(timedelta(seconds=4), setattr, cell.store, "refuses", False)


@pytest.mark.parametrize(
    "fault",
    [
        no_fault,
        kill_lead_after_the_list_was_read,
        kill_lead_before_the_list_was_read,
        store_goes_away_after_the_list_was_read,
    ],
)
@pytest.mark.parametrize(
    "spec",
    [
        job_spec(count=6),
        job_spec(count=2, cores=2.0, gang=True),
        job_spec(count=1, cores=4.0),
        job_spec(count=3, checkpoints=True),
    ],
    ids=["small", "gang", "too large afterwards", "checkpointed"],
)
@pytest.mark.parametrize("advised", [True, False])
def test_no_start_exceeds_a_capacity_that_shrank(
    advised: bool, spec: JobSpec, fault: Callable[[PoolCell], None]
) -> None:
    cell = ready_cell(workers=3, advised=advised, nodes=4)
    step = spec.steps[0]
    cell.workers.resources_of = lambda _: step.resources
    cell.workers.gang_size_of = lambda _: step.count if step.gang else 0
    keep_submitting(cell, 2.0, spec)
    for worker in ("w0", "w1"):
        set_capacity(cell, worker, SHRUNK)
    fault(cell)
    keep_submitting(cell, 10.0, spec)
    assert cell.workers.breaches == []
    assert cell.workers.records[-1].began_at > cell.clock.now() - timedelta(seconds=2)


def test_a_capacity_that_grew_again_is_used() -> None:
    cell = ready_cell(workers=1)
    cell.workers.duration_of = lambda _: timedelta(seconds=30)
    machine = cell.workers.machines["w0"]
    large = machine.entry
    set_capacity(cell, "w0", SHRUNK)
    cell.run(6.0)
    cell.submit("one", job_spec(count=8))
    cell.run(1.0)
    assert len(machine.active) == 3
    machine.entry = large
    cell.list_worker(large)
    cell.run(1.5)
    assert len(machine.active) == 8


def restarted(cell: PoolCell, worker: str, capacity: Resources) -> WorkerEntry:
    """Restart a worker under its id with another capacity; return its new entry."""
    machine = cell.workers.machines[worker]
    machine.crash()
    machine.entry = machine.entry._replace(capacity=capacity)
    return machine.entry


def test_a_restarted_worker_is_not_used_by_its_former_capacity() -> None:
    # Its entry is written a heartbeat after it answers again, and may have changed.
    cell = ready_cell(workers=2)
    keep_submitting(cell, 1.0, job_spec(count=4))
    entry = restarted(cell, "w0", SHRUNK)
    keep_submitting(cell, 2.0, job_spec(count=4))
    assert cell.workers.breaches == []
    cell.list_worker(entry)
    keep_submitting(cell, 3.0, job_spec(count=4))
    assert cell.workers.breaches == []
    assert cell.workers.machines["w0"].active
