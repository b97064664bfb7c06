"""Views of a shard's tasks for callers."""

from __future__ import annotations

import hashlib

import msgspec

from savorylead.contracts import TaskId
from savorylead.journal import Phase, TaskRecord
from savorylead.outcomes import Done, Outcome
from savorylead_daemon.services import TaskView

from ._ledger import ShardLedger

#: The phase shown for a task of which the shard has no record.
ABSENT_PHASE = "absent"


def view_job(ledger: ShardLedger, shard: str, task: TaskId) -> TaskView:
    """Return the view of a task, or of an all-at-once job as a whole.

    An outcome is included only once it is durable.
    """
    job = task.job()
    record = ledger.state.records.get(job)
    if record is None:
        return TaskView(job, ABSENT_PHASE, shard, "", 0, 0, None)
    outcome = _job_outcome(ledger, job, record)
    where = record.target if record.phase is Phase.MOVED else shard
    return TaskView(
        task=job,
        phase=_shown_phase(record, outcome),
        shard=where,
        worker=record.worker,
        attempt=record.attempt,
        accepted_at_ms=record.accepted_at_ms,
        outcome=outcome,
    )


def job_is_answerable(ledger: ShardLedger, task: TaskId) -> bool:
    """Return whether a caller should get a reply now instead of waiting."""
    job = task.job()
    record = ledger.state.records.get(job)
    if record is None:
        return True
    if record.phase is Phase.MOVED:
        return ledger.is_answerable(job)
    return _job_outcome(ledger, job, record) is not None


def _shown_phase(record: TaskRecord, outcome: Outcome | None) -> str:
    ended = record.phase in (Phase.ENDED, Phase.TOMBSTONED)
    if ended and outcome is None:
        return Phase.PLACED.value
    return record.phase.value


def _job_outcome(
    ledger: ShardLedger, job: TaskId, record: TaskRecord
) -> Outcome | None:
    members = 1 if record.spec is None else record.spec.members
    if members == 1:
        return record.outcome if ledger.is_durable(job) else None
    return _merged_outcome(ledger, job, members)


def _merged_outcome(ledger: ShardLedger, job: TaskId, members: int) -> Outcome | None:
    """Return the outcome of an all-at-once job once every member has one.

    It is the outcome of the first member that did not succeed; otherwise the result
    is the JSON array of the members' results.
    """
    outcomes = []
    for member in range(members):
        task = job._replace(member=member)
        if not ledger.has_outcome(task):
            return None
        outcomes.append(ledger.state.records[task].outcome)
    for outcome in outcomes:
        if not isinstance(outcome, Done):
            return outcome
    result = msgspec.json.encode([outcome.result for outcome in outcomes]).decode()
    digest = hashlib.sha256(result.encode()).hexdigest()
    return Done(result, digest, max(outcome.attempt for outcome in outcomes))
