"""A record that cannot be read affects only its job, not the pool."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest

from savorylead.jobs import JobState
from savorylead_daemon.pool._keys import job_key, progress_key, workers_key
from savorylead_standins.pools import PoolCell, in_turn, job_spec

from .cell_cases import ready_cell, states

POOL = "pool"
#: The lead has been replaced, and its successor has waited for unreachable workers.
REPLACED_AFTER_S = 10.0


def corrupt_and_replace_lead(cell: PoolCell, key: str, value: bytes) -> None:
    """Corrupt a record and replace the lead of the pool."""
    cell.kill(cell.lead_of())
    cell.store.put(key, value)
    cell.run(REPLACED_AFTER_S)


@pytest.mark.parametrize("value", [b"", b"{", b"[1, 2", b"\xff\xfe", b'{"a": 1}'])
@pytest.mark.parametrize("record", ["progress", "workers", "job"])
def test_a_pool_goes_on_beside_a_record_that_cannot_be_read(
    record: str, value: bytes
) -> None:
    cell = ready_cell()
    cell.submit("spoiled", in_turn(3, 2), "node-1")
    cell.submit("sound", in_turn(3, 2), "node-1")
    cell.run(1.5)
    key = {
        "progress": progress_key(POOL, "spoiled"),
        "workers": workers_key(POOL),
        "job": job_key(POOL, "spoiled"),
    }[record]
    corrupt_and_replace_lead(cell, key, value)
    via = next(iter(cell.nodes))
    cell.submit("later", job_spec(count=3), via)
    cell.run(6.0)
    assert set(states(cell, ["sound", "later"]).values()) == {JobState.COMPLETED}
    assert cell.workers.breaches == []


def test_nothing_of_a_job_runs_again_whose_progress_cannot_be_read() -> None:
    cell = ready_cell()
    cell.workers.duration_of = lambda _: timedelta(milliseconds=300)
    cell.submit("one", in_turn(20, 2), "node-1")
    cell.run(2.0)
    began = len(cell.workers.records)
    assert began > 4
    corrupt_and_replace_lead(cell, progress_key(POOL, "one"), b"{")
    assert states(cell, ["one"]) == {"one": JobState.RUNNING}
    assert len({r.task for r in cell.workers.records}) == len(cell.workers.records)
    via = next(iter(cell.nodes))
    cell.cancel("one", via)
    cell.run(1.0)
    assert states(cell, ["one"]) == {"one": JobState.CANCELLED}


#: Progress that decodes but is inconsistent with a job of three steps of two tasks.
INCONSISTENT = {
    "a state of another version": ["paused", True, 0, []],
    "a task that the step has not": ["", True, 0, [[0, 0, False, [7], []]]],
    "a task before the first one": ["", True, 0, [[0, 0, False, [-1], []]]],
    "a failed task beyond the last": [
        "",
        True,
        0,
        [[0, 0, False, [], [[9, [1]]]]],
    ],
    "a failed task below a gang's": ["", True, 0, [[0, 0, False, [], [[-2, [1]]]]]],
    "a step that the job has not": ["", True, 0, [[0, 9, True, [], []]]],
    "an occurrence that the job has not": ["", True, 0, [[5, 0, True, [], []]]],
}


@pytest.mark.parametrize("name", INCONSISTENT)
def test_a_pool_goes_on_beside_progress_that_makes_no_sense(name: str) -> None:
    cell = ready_cell()
    cell.submit("spoiled", in_turn(3, 2), "node-1")
    cell.submit("sound", in_turn(3, 2), "node-1")
    cell.run(1.5)
    began = [r.task for r in cell.workers.records if r.task.job == "spoiled"]
    value = msgspec.json.encode(INCONSISTENT[name])
    corrupt_and_replace_lead(cell, progress_key(POOL, "spoiled"), value)
    via = next(iter(cell.nodes))
    cell.submit("later", job_spec(count=3), via)
    cell.run(6.0)
    assert set(states(cell, ["sound", "later"]).values()) == {JobState.COMPLETED}
    # Its completed tasks are unknown, so none of its tasks is started.
    assert states(cell, ["spoiled"]) == {"spoiled": JobState.RUNNING}
    assert began == [r.task for r in cell.workers.records if r.task.job == "spoiled"]
    assert cell.workers.breaches == []
