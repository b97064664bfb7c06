"""A new lead starts jobs at once that no former lead has seen, and only those.

A worker with a run of the former lead does not answer, so that jobs which the former
lead may have started wait until that worker's lease is surely over.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import msgspec
import pytest
from twisted.internet.defer import Deferred

from savorylead.jobs import JobSpec, JobState
from savorylead.pools import FULL_POLICY, SchedulingPolicy
from savorylead.resources import Resources
from savorylead_daemon.pool import CallerAnswer
from savorylead_daemon.pool._keys import (
    marked_since_key,
    marker_key,
    progress_key,
    term_key,
)
from savorylead_standins.pools import PoolCell, in_turn, job_spec

from .cell_cases import SETTLED_S, LoggedEvent, other_node, ready_cell
from .frozen_cell import FrozenCell
from .mark_cases import (
    LOCATED_AFTER,
    LOCATED_AT_LATEST_S,
    LONG,
    MARKS,
    NO_MARKS,
    STARTED_WITHIN,
    MarkWrites,
    cell_with_silent_worker,
    first_start,
    run_until_led,
    run_until_marked,
    starts,
    unmarked_starts,
)

Kind = CallerAnswer.Kind
JOB = "job"


def kill(cell: PoolCell, lead: str) -> None:
    cell.kill(lead)


def resign(cell: PoolCell, lead: str) -> None:
    Deferred.fromCoroutine(cell.nodes[lead].resign())
    cell.run(0.05)
    cell.kill(lead)


def scheduled() -> JobSpec:
    """Return a job that is due several times, the first time in the past."""
    return job_spec()._replace(repeats=3, first_due_ms=1, interval_ms=1)


@pytest.mark.parametrize(
    "make_spec",
    [
        job_spec,
        scheduled,
        lambda: job_spec(count=2, gang=True),
        lambda: job_spec(long_running=True),
    ],
    ids=["one task", "scheduled", "gang", "long-running"],
)
@pytest.mark.parametrize(
    ("policy", "starts_at_once"),
    [(MARKS, True), (FULL_POLICY, True), (NO_MARKS, False)],
    ids=["marks", "full policy", "off"],
)
def test_a_job_accepted_without_a_lead_starts_after_the_election(
    policy: SchedulingPolicy, starts_at_once: bool, make_spec: Callable[[], JobSpec]
) -> None:
    # Guards against a wait of 4.9 s for the lease of a silent worker, which can't have
    # a run of this job.
    cell, lead = cell_with_silent_worker(policy)
    cell.workers.duration_of = lambda _: LONG
    unmarked = unmarked_starts(cell)
    via = other_node(cell)
    cell.connect_wait = timedelta(seconds=0.5)
    cell.kill(lead)
    cell.submit(JOB, make_spec(), via)
    cell.run(0.3)
    assert cell.answer(JOB).kind is Kind.DONE
    elected_at = run_until_led(cell)
    cell.run(LOCATED_AT_LATEST_S)
    waited = first_start(cell, JOB) - elected_at
    if starts_at_once:
        assert waited <= STARTED_WITHIN
        assert unmarked == []
    else:
        assert waited >= LOCATED_AFTER - STARTED_WITHIN
    assert cell.workers.breaches == []


@pytest.mark.parametrize("lose_lead", [kill, resign])
def test_a_job_that_the_former_lead_has_marked_waits(
    lose_lead: Callable[[PoolCell, str], None],
) -> None:
    # Guards against a second start of a job whose first one is on its way to the silent
    # worker, or was executed there.
    cell, lead = cell_with_silent_worker(MARKS)
    via = other_node(cell)
    cell.cut_from_workers = {(lead, worker) for worker in cell.workers.machines}
    cell.submit(JOB, job_spec(), via)
    run_until_marked(cell, JOB)
    lose_lead(cell, lead)
    cell.submit("unseen", job_spec(), via)
    elected_at = run_until_led(cell)
    cell.run(LOCATED_AT_LATEST_S)
    assert first_start(cell, "unseen") - elected_at <= STARTED_WITHIN
    assert first_start(cell, JOB) - elected_at >= LOCATED_AFTER - STARTED_WITHIN
    assert starts(cell, JOB) == 1
    assert cell.workers.breaches == []


def test_a_job_that_runs_on_the_silent_worker_is_not_started_again() -> None:
    cell, lead = cell_with_silent_worker(MARKS)
    cell.kill(lead)
    elected_at = run_until_led(cell)
    cell.run(LOCATED_AT_LATEST_S)
    assert starts(cell, "old") == 2
    again = cell.workers.records[-1].began_at
    assert again - elected_at >= LOCATED_AFTER - STARTED_WITHIN
    assert cell.workers.breaches == []


def test_a_takeover_of_many_jobs_takes_few_writes() -> None:
    # Guards against one write for each of the jobs that wait for the election, behind
    # which all starts would stand.
    cell, lead = cell_with_silent_worker(MARKS, cores=64)
    unmarked = unmarked_starts(cell)
    cell.workers.resources_of = lambda _: Resources(100)
    jobs = [f"job{number}" for number in range(300)]
    via = other_node(cell)
    cell.connect_wait = timedelta(seconds=0.5)
    cell.kill(lead)
    for job in jobs:
        cell.submit(job, job_spec(cores=0.1), via)
    cell.run(0.2)
    assert all(cell.answer(job).kind is Kind.DONE for job in jobs)
    assert not any(node.leads for node in cell.nodes.values())
    writes = MarkWrites(cell)
    elected_at = run_until_led(cell)
    while not all(progress_key("pool", job) in cell.store.items for job in jobs):
        cell.run(0.005)
    assert writes.count <= 21
    cell.run(0.3)
    last = max(first_start(cell, job) for job in jobs)
    assert last - elected_at <= STARTED_WITHIN
    assert unmarked == []
    assert cell.workers.breaches == []


def test_jobs_of_urgent_queues_are_marked_first_at_a_takeover() -> None:
    # A job that was submitted later to a more urgent queue does not wait for the marks
    # of a backlog.
    cell = ready_cell(policy=MARKS)
    (queue,) = cell.document.queues
    cheap = queue._replace(name="cheap", prefix="/cheap/", priority=3)
    cell.put_config(cell.document._replace(version=2, queues=(queue, cheap)))
    cell.run(2.0)
    lead, via = cell.lead_of(), other_node(cell)
    cell.connect_wait = timedelta(seconds=0.5)
    cell.kill(lead)
    body = cell.encode(job_spec(cores=0.1))
    for number in range(60):
        cell.call("submit", f"/cheap/job{number}", via, body, f"job{number}")
    cell.run(0.2)
    cell.submit("urgent", job_spec(cores=0.1), via)
    run_until_led(cell)
    run_until_marked(cell, "urgent")
    items = cell.store.items
    marked = [f"job{n}" for n in range(60) if progress_key("pool", f"job{n}") in items]
    assert len(marked) < 15


# Answers of the store that are lost or late.


def loses_one(writes: MarkWrites) -> None:
    writes.lost = 1


def loses_several(writes: MarkWrites) -> None:
    writes.lost = 3


def is_late(writes: MarkWrites) -> None:
    writes.late = 1


def is_late_several_times(writes: MarkWrites) -> None:
    writes.late = 3


def is_very_late(writes: MarkWrites) -> None:
    writes.late = 2
    writes.late_by = timedelta(seconds=8)


FAULTS = [loses_one, loses_several, is_late, is_late_several_times, is_very_late]


@pytest.mark.parametrize("disturb", FAULTS)
def test_a_mark_without_an_answer_is_repeated(
    disturb: Callable[[MarkWrites], None],
) -> None:
    # Guards against a start before the mark is durable, and against a wait for the
    # store's timeout of a second.
    cell = ready_cell(policy=MARKS)
    unmarked = unmarked_starts(cell)
    disturb(MarkWrites(cell))
    submitted_at = cell.clock.now()
    cell.submit(JOB, job_spec(), other_node(cell))
    cell.run(14.0)
    assert first_start(cell, JOB) - submitted_at <= timedelta(seconds=1)
    assert starts(cell, JOB) == 1
    assert unmarked == []
    assert cell.state(JOB) is JobState.COMPLETED
    assert cell.workers.breaches == []


@pytest.mark.parametrize("lose_lead", [kill, resign])
@pytest.mark.parametrize("late_s", [0.5, 2.0, 3.0, 4.0, 8.0])
def test_a_mark_that_is_executed_after_the_next_election_has_no_effect(
    late_s: float, lose_lead: Callable[[PoolCell, str], None]
) -> None:
    # The job is unseen to the next lead, which starts it while the silent worker may
    # still execute what the former lead orders.
    cell, lead = cell_with_silent_worker(MARKS)
    via = other_node(cell)
    writes = MarkWrites(cell)
    writes.late = 100
    writes.late_by = timedelta(seconds=late_s)
    cell.submit(JOB, job_spec(), via)
    cell.run(0.1)
    assert progress_key("pool", JOB) not in cell.store.items
    lose_lead(cell, lead)
    writes.late = 0
    elected_at = run_until_led(cell)
    # A write that is executed before the election is a mark like any other.
    is_marked = progress_key("pool", JOB) in cell.store.items
    cell.run(12.0)
    waited = first_start(cell, JOB) - elected_at
    assert (waited <= STARTED_WITHIN) != is_marked
    assert starts(cell, JOB) == 1
    assert cell.workers.breaches == []


def test_a_lead_whose_election_was_not_answered_starts_unseen_jobs() -> None:
    # The lead learns of its term through the view of the cell; what its election wrote
    # is read from the store.
    cell, lead = cell_with_silent_worker(MARKS)
    via = other_node(cell)
    writes = MarkWrites(cell)
    writes.lost_elections = 1
    cell.kill(lead)
    cell.submit(JOB, job_spec(), via)
    elected_at = run_until_led(cell)
    assert not writes.lost_elections
    cell.run(1.0)
    assert first_start(cell, JOB) - elected_at <= STARTED_WITHIN
    assert cell.workers.breaches == []


# The store is away.


@pytest.mark.parametrize("silent", [False, True])
def test_only_jobs_that_are_marked_start_while_the_store_is_away(
    silent: bool, events: list[LoggedEvent]
) -> None:
    cell = ready_cell(policy=MARKS)
    unmarked = unmarked_starts(cell)
    cell.submit("marked", in_turn(2, count=3))
    cell.run(0.5)
    cell.submit(JOB, job_spec(), other_node(cell))
    while "/job/" + JOB not in "".join(cell.store.items):
        cell.run(0.001)
    cell.store.silent, cell.store.refuses = silent, not silent
    cell.run(1.2)
    assert {r.task.step for r in cell.workers.records if r.task.job == "marked"} == {
        0,
        1,
    }
    assert starts(cell, JOB) == 0
    assert any(each.event == "marks_overdue" for each in events)
    cell.store.silent = cell.store.refuses = False
    back_at = cell.clock.now()
    cell.run(6.0)
    assert first_start(cell, JOB) - back_at <= timedelta(seconds=1.5)
    assert unmarked == []
    assert cell.state(JOB) is JobState.COMPLETED
    assert cell.workers.breaches == []


def test_a_job_without_a_mark_keeps_no_capacity_for_long() -> None:
    # While the store is away, jobs that are marked use the capacity.
    cell = ready_cell(policy=MARKS, workers=1, cores=2)
    step = job_spec(cores=2).steps[0]
    spec = job_spec()._replace(steps=(step, step._replace(after=(0,))))
    cell.submit("marked", spec)
    cell.run(0.5)
    cell.submit(JOB, job_spec(cores=2), other_node(cell))
    while "/job/" + JOB not in "".join(cell.store.items):
        cell.run(0.001)
    cell.store.refuses = True
    cell.run(1.0)
    assert [r.task.job for r in cell.workers.records] == ["marked", "marked"]
    cell.store.refuses = False
    cell.run(4.0)
    assert cell.state(JOB) is JobState.COMPLETED


# Other builds, other leads.


def change_policy(cell: PoolCell, policy: SchedulingPolicy) -> None:
    """Replace all nodes by new ones with another policy; only these lead later."""
    cell._policy = policy
    former = sorted(cell.nodes)
    for number in range(3):
        cell.start_node(f"{former[number]}-next")
    cell.run(1.0)
    for name in former:
        cell.kill(name)


def lead_with(policy: SchedulingPolicy) -> PoolCell:
    """Return a cell whose first lead has marked jobs and whose second has a policy."""
    cell = ready_cell(policy=MARKS)
    change_policy(cell, policy)
    run_until_led(cell)
    cell.run(6.0)
    return cell


@pytest.mark.parametrize("is_marked_first", [False, True])
def test_a_job_started_by_an_earlier_build_is_not_started_again(
    is_marked_first: bool,
) -> None:
    # Guards against a record of the marks that is continued over a term whose lead has
    # started jobs without marks.
    cell = lead_with(NO_MARKS) if is_marked_first else ready_cell(policy=NO_MARKS)
    assert (marked_since_key("pool") in cell.store.items) == is_marked_first
    cell.workers.duration_of = lambda _: LONG
    cell.submit(JOB, job_spec(), cell.lead_of())
    cell.run(0.5)
    (record,) = cell.workers.records
    assert progress_key("pool", JOB) not in cell.store.items
    cell.workers.machines[record.worker].is_cut = True
    change_policy(cell, MARKS)
    for _ in range(2):
        elected_at = run_until_led(cell)
        cell.run(2.0)
        assert starts(cell, JOB) == 1
        cell.kill(cell.lead_of())
    run_until_led(cell)
    assert cell.clock.now() - elected_at < LOCATED_AFTER
    cell.run(12.0)
    assert cell.workers.breaches == []


def test_the_second_lead_after_an_earlier_build_knows_unseen_jobs() -> None:
    # The first one can't tell which jobs the earlier build has started.
    cell = lead_with(NO_MARKS)
    via = cell.lead_of()
    cell.workers.duration_of = lambda _: LONG
    cell.submit("old", job_spec(), via)
    cell.run(0.3)
    change_policy(cell, MARKS)
    run_until_led(cell)
    cell.run(6.0)
    lead, via = cell.lead_of(), other_node(cell)
    cell.workers.machines[cell.workers.records[0].worker].is_cut = True
    cell.kill(lead)
    cell.submit(JOB, job_spec(), via)
    elected_at = run_until_led(cell)
    cell.run(1.0)
    assert first_start(cell, JOB) - elected_at <= STARTED_WITHIN
    assert cell.workers.breaches == []


@pytest.mark.parametrize(
    "value", [None, b"", b"{}", b"[]", b"[1]", b"\xff", b'["1", 0]', b"[1, -7]"]
)
def test_without_a_record_of_the_marks_all_jobs_wait(value: bytes | None) -> None:
    # What an operator or another build may have left must not make jobs unseen.
    cell, lead = cell_with_silent_worker(MARKS)
    via = other_node(cell)
    cell.kill(lead)
    key = marked_since_key("pool")
    if value is None:
        cell.store.delete(key)
    else:
        cell.store.put(key, value)
    cell.submit(JOB, job_spec(), via)
    elected_at = run_until_led(cell)
    number = int(cell.store.items[term_key("pool")].value)
    record = msgspec.json.decode(cell.store.items[key].value)
    assert record == [number, 0]
    cell.run(LOCATED_AT_LATEST_S)
    assert first_start(cell, JOB) - elected_at >= LOCATED_AFTER - STARTED_WITHIN


def test_beside_a_daemon_that_marks_no_leases_no_record_is_written() -> None:
    # It may announce a job to a former lead, which may not mark jobs.
    cell, lead = cell_with_silent_worker(MARKS)
    via = other_node(cell)
    before = cell.store.items[marked_since_key("pool")]
    cell.store.delete(marker_key(via))
    cell.store.wake()
    cell.run(0.5)
    cell.kill(lead)
    cell.submit(JOB, job_spec(), via)
    elected_at = run_until_led(cell)
    assert cell.store.items[marked_since_key("pool")] == before
    cell.run(LOCATED_AT_LATEST_S)
    assert first_start(cell, JOB) - elected_at >= LOCATED_AFTER - STARTED_WITHIN


def test_a_lead_that_freezes_after_its_mark_does_no_harm() -> None:
    # The mark is durable, the order is sent when the lead resumes.
    cell = FrozenCell(seed=1, workers=4, policy=MARKS)
    # The lead polls an idle worker before the start.
    cell.run(SETTLED_S)
    cell.workers.duration_of = lambda _: timedelta(seconds=8)
    lead = cell.lead_of()
    via = other_node(cell)
    cell.submit(JOB, job_spec(), via)
    run_until_marked(cell, JOB)
    cell.freeze(lead, 5.0)
    cell.run(25.0)
    assert starts(cell, JOB) == 1
    assert cell.workers.breaches == []


def test_a_job_whose_message_was_lost_is_marked_before_it_starts() -> None:
    # The lead finds it when it reads the store again.
    cell = ready_cell(policy=MARKS)
    unmarked = unmarked_starts(cell)
    lead, via = cell.lead_of(), other_node(cell)
    cell.cut_pairs = {frozenset({lead, via})}
    cell.submit(JOB, job_spec(), via)
    cell.run(2.0)
    assert starts(cell, JOB) == 1
    assert unmarked == []


def test_an_id_is_unseen_again_once_its_job_was_deleted() -> None:
    # Guards against a former job's record that makes the next job of the id wait.
    cell = ready_cell(policy=MARKS)
    cell.submit(JOB, job_spec(), other_node(cell))
    cell.run(170.0)
    assert progress_key("pool", JOB) not in cell.store.items
    cell.workers.duration_of = lambda _: LONG
    cell.submit("old", job_spec(), other_node(cell))
    cell.run(0.3)
    cell.workers.machines[cell.workers.records[-1].worker].is_cut = True
    lead, via = cell.lead_of(), other_node(cell)
    cell.kill(lead)
    cell.submit(JOB, job_spec(), via)
    elected_at = run_until_led(cell)
    cell.run(1.0)
    assert starts(cell, JOB) == 2
    assert cell.workers.records[-1].began_at - elected_at <= STARTED_WITHIN
    # The stand-in doesn't know that the former job of this id was deleted.
    assert not [b for b in cell.workers.breaches if "runs twice" in b]


@pytest.mark.parametrize("value", [b"{}", b"\xff", b'["completed"]'])
def test_a_record_that_cannot_be_read_is_left_alone(value: bytes) -> None:
    # Guards against a mark that overwrites what a later build has written.
    cell = ready_cell(policy=MARKS)
    lead, via = cell.lead_of(), other_node(cell)
    cell.workers.duration_of = lambda _: LONG
    cell.submit(JOB, job_spec(), via)
    cell.run(0.3)
    cell.kill(lead)
    cell.store.put(progress_key("pool", JOB), value)
    run_until_led(cell)
    cell.run(8.0)
    assert cell.store.items[progress_key("pool", JOB)].value == value
    assert starts(cell, JOB) == 1


# Steps that may run twice.

#: Marks, and copies of tasks that may run twice.
COPIES = MARKS._replace(copy_share=0.05)


@pytest.mark.parametrize(
    ("policy", "changes", "starts_at_once"),
    [
        (COPIES, {"speculative": True}, True),
        (COPIES, {"speculative": False}, False),
        # Members of two gangs would break each other.
        (COPIES, {"speculative": True, "gang": True, "count": 2}, False),
        # A run that is found later would be stopped in favour of the new one.
        (MARKS, {"speculative": True}, False),
        (NO_MARKS, {"speculative": True}, False),
    ],
)
def test_tasks_that_may_run_twice_do_not_wait_for_a_silent_worker(
    policy: SchedulingPolicy, changes: dict[str, object], starts_at_once: bool
) -> None:
    cell = ready_cell(policy=policy)
    is_speculative = bool(changes.get("speculative"))
    cell.workers.may_run_twice = lambda task: is_speculative and task.job == "once"
    cell.workers.duration_of = lambda _: timedelta(seconds=20)
    lead, via = cell.lead_of(), other_node(cell)
    cell.submit("plain", job_spec(), via)
    cell.submit("once", job_spec(**changes), via)
    cell.run(0.5)
    before = starts(cell, "once")
    assert before
    for worker in {record.worker for record in cell.workers.records}:
        cell.workers.machines[worker].is_cut = True
    cell.kill(lead)
    elected_at = run_until_led(cell)
    cell.run(STARTED_WITHIN.total_seconds())
    assert (starts(cell, "once") > before) == starts_at_once
    assert starts(cell, "plain") == 1
    assert cell.clock.now() - elected_at < LOCATED_AFTER
    cell.run(25.0)
    assert cell.workers.breaches == []
    assert cell.state("once", via) is JobState.COMPLETED


def test_the_log_says_how_many_jobs_are_unseen(events: list[LoggedEvent]) -> None:
    cell, lead = cell_with_silent_worker(MARKS)
    via = other_node(cell)
    cell.kill(lead)
    for number in range(3):
        cell.submit(f"job{number}", job_spec(), via)
    run_until_led(cell)
    cell.run(0.5)
    loaded = [each.details for each in events if each.event == "lead_loaded"][-1]
    assert (loaded["open_jobs"], loaded["unseen_jobs"]) == (4, 3)
    assert loaded["unmarked_jobs"] == 3
