"""Application of journal events to a shard's state."""

import pytest

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.journal import (
    Accepted,
    CancelRequested,
    Ended,
    Forgotten,
    Moved,
    OfferDeclined,
    Offered,
    Phase,
    Placed,
    Requeued,
    RequeueReason,
    ShardState,
    Tombstoned,
    UnknownTaskError,
)
from savorylead.outcomes import Done, NotRun, Refusal
from savorylead.resources import Resources

TASK = TaskId("dispatch", "bookings", "r1")
SPEC = TaskSpec(TASK, TaskKind.BATCH, Resources(1000, 64, 0, 1), "day")
ACCEPTED = Accepted(SPEC, 10)
PLACED = Placed(TASK, 1, "w1", "i1", 20)
DONE = Ended(TASK, Done("ok", "d", 1), 30)


@pytest.mark.parametrize(
    ("events", "phase", "worker", "avoid"),
    [
        ([ACCEPTED], Phase.QUEUED, "", ()),
        ([ACCEPTED, PLACED], Phase.PLACED, "w1", ()),
        ([ACCEPTED, PLACED, DONE], Phase.ENDED, "w1", ()),
        (
            [ACCEPTED, PLACED, Requeued(TASK, 1, RequeueReason.FAILED, 25)],
            Phase.QUEUED,
            "",
            ("w1",),
        ),
        (
            [ACCEPTED, PLACED, Requeued(TASK, 1, RequeueReason.CHECKPOINTED, 25)],
            Phase.QUEUED,
            "",
            (),
        ),
        ([ACCEPTED, Offered(TASK, "s2", 12)], Phase.OFFERED, "", ()),
        (
            [ACCEPTED, Offered(TASK, "s2", 12), OfferDeclined(TASK, "s2")],
            Phase.QUEUED,
            "",
            (),
        ),
        (
            [ACCEPTED, Offered(TASK, "s2", 12), Moved(TASK, "s2", 13)],
            Phase.MOVED,
            "",
            (),
        ),
        ([Tombstoned(TASK, NotRun(Refusal.TOMBSTONE), 5)], Phase.TOMBSTONED, "", ()),
    ],
)
def test_phase(events, phase, worker, avoid):
    state = ShardState()
    state.apply_all(events)
    record = state.records[TASK]
    assert (record.phase, record.worker, record.avoid) == (phase, worker, avoid)


def test_forgotten_task_leaves_no_record():
    state = ShardState()
    state.apply_all([ACCEPTED, PLACED, DONE, Forgotten((TASK,))])
    assert state.records == {}


@pytest.mark.parametrize("event", [PLACED, DONE, CancelRequested(TASK, 1)])
def test_unknown_task_is_an_error(event):
    with pytest.raises(UnknownTaskError):
        ShardState().apply(event)
