"""Selects the log lines related to a subject and the first problem among them."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Any, NamedTuple

from ._log_lines import LogLine
from ._overlaps import first_overlap

#: Lines on what a job depends on are included from this long before its first line.
CONTEXT_BEFORE = timedelta(seconds=1)
#: Lines on the leads are included until this long after the second of two overlapping
#: runs began: a lead cut from the store learns only later that its lease has ended.
CONTEXT_AFTER_OVERLAP = timedelta(seconds=30)

#: Descriptions of the events that count as problems.
PROBLEM_EVENTS = {
    "call_refused": "a daemon refused the call",
    "job_not_stored": "the job could not be made durable in time",
    "job_write_failed": "a write to the store failed or was not answered",
    "job_malformed": "the job could not be decoded",
    "cancel_unclear": "it is unknown whether the cancellation was stored",
    "state_unread": "the state could not be read from the store",
    "advice_failed": "the adviser did not answer",
    "start_unanswered": "a worker did not answer a start",
    "step_goes_first": "a step was prioritized after a long wait behind others",
    "team_short_of_limit": "the team's limit kept tasks waiting",
    "limit_claimed": "a pool claimed a larger part of the team's limit",
    "limit_claim_ended": "a pool's claim to the team's limit ended",
    "lead_not_reached": "the lead of the pool could not be reached",
    "lead_ended": "the lead of the pool ceased to lead it",
    "lead_began": "another daemon became the lead of the pool",
    "lead_handed_over": "the lead handed the pool over to another daemon",
    "lead_writes_dropped": "a lead ended before its writes were durable",
    "load_repeated": "the next lead could not read the pool's records yet",
    "peer_not_reached": "another daemon could not be reached",
    "lead_lease_ended": "a daemon ended the lease of a lead",
    "lease_unproved": "a daemon could not renew its lease at the store in time",
    "lease_lost": "a daemon lost its lease at the store",
    "lease_given_up": "a daemon abandoned its lease",
    "store_failed": "the store failed",
    "progress_unwritten": "ends of tasks could not be made durable",
    "marks_overdue": "jobs waited for the store before their first start",
    "marked_since_unreadable": "a lead could not tell which jobs were started before",
    "worker_unreachable": "a worker could not be reached",
    "worker_reborn": "a worker had restarted and lost its tasks",
    "worker_gone": "a worker was removed",
    "worker_crashed": "a worker crashed with the runs on it",
    "worker_left": "a worker ended as it had announced, with the runs on it",
    "suspects_unwritten": "crashes of workers could not be made durable in time",
    "worker_replaced": "another worker answered at a worker's address",
    "worker_leaving": "a worker was leaving",
    "worker_rested": "a worker failed consecutive tasks and was suspended",
    "worker_slow": "a worker was slow and was suspended",
    "evacuation_in_force": "a failure domain was evacuated",
    "config_unread": "the configuration could not be read",
    "config_unreadable": "the configuration could not be decoded",
}
#: Task outcomes that are not problems.
GOOD_OUTCOMES = frozenset({"done", "started"})
#: Descriptions of the reasons for a second run beside a task's first one.
COPY_REASONS = {
    "silent": "the worker of its first run did not answer",
    "stalled": "its first run made no progress or did not stop",
    "late": "its first run took longer than expected",
}
#: Reason for which a run is stopped that the job does not need any more.
NOT_NEEDED = "not_needed"
#: Events of a whole daemon that may have delayed any request.
CELL_EVENTS = frozenset(
    {
        "lead_began",
        "lead_ended",
        "lease_lost",
        "lease_unproved",
        "lease_given_up",
        "store_failed",
        "evacuation_in_force",
        "evacuation_ended",
    }
)
#: Events of a change of a pool's lead. Those that are not problems are related too.
LEAD_CHANGE_EVENTS = frozenset(
    {
        "lead_began",
        "lead_ended",
        "lead_lease_ended",
        "lead_leases_left",
        "former_lease_over",
        "runs_located",
        "lease_lost",
        "lease_unproved",
        "lease_given_up",
    }
)


class Subject(NamedTuple):
    """The subject to explain and what its log lines show it to depend on."""

    name: str
    #: Names of its pools, its team and the workers of its tasks.
    related: frozenset[str]


class Explanation(NamedTuple):
    """The lines related to a subject, and the first problem among them."""

    lines: Sequence[LogLine]
    first_trouble: LogLine | None
    #: Description of the first problem; empty if there is none.
    meaning: str


def explain_subject(lines: Sequence[LogLine], name: str) -> Explanation:
    """Explain the job, task, worker or team called ``name``."""
    pattern = re.compile(rf"(?<![0-9A-Za-z]){re.escape(name)}(?![0-9A-Za-z])")
    direct = [line for line in lines if _mentions(line.details.values(), pattern)]
    if not direct:
        return Explanation((), None, "")
    subject = _subject(lines, direct, name)
    start, end = direct[0].time - CONTEXT_BEFORE, direct[-1].time
    direct_ids = {id(line) for line in direct}
    candidates = [
        line for line in lines if id(line) in direct_ids or _is_related(line, subject)
    ]
    overlap = first_overlap(candidates)
    leads_until = end
    if overlap is not None:
        leads_until = max(end, overlap.second.time + CONTEXT_AFTER_OVERLAP)
    related = [
        line
        for line in candidates
        if id(line) in direct_ids
        or start <= line.time <= end
        or (line.event in LEAD_CHANGE_EVENTS and end < line.time <= leads_until)
    ]
    if overlap is not None:
        return Explanation(related, overlap.second, overlap.describe())
    # The crashes before it are consequences of the task that was given up.
    given_up = [line for line in related if line.event == "job_given_up"]
    for line in (*given_up, *related):
        meaning = _describe_problem(line)
        if meaning:
            return Explanation(related, line, meaning)
    return Explanation(related, None, "")


def _mentions(values: Iterable[Any], pattern: re.Pattern[str]) -> bool:
    for value in values:
        if isinstance(value, str) and pattern.search(value):
            return True
        if isinstance(value, list) and _mentions(value, pattern):
            return True
    return False


def _subject(lines: Sequence[LogLine], direct: Sequence[LogLine], name: str) -> Subject:
    is_job = any(line.details.get("job") == name for line in direct)
    is_task = any(line.details.get("task_name") == name for line in direct)
    fields = ("pool", "team", "worker") if is_job else ("worker",) if is_task else ()
    related = {
        str(line.details[field])
        for line in direct
        for field in fields
        if field in line.details
    }
    if is_task:
        # Lines on a task don't name its pool, others of its job do.
        jobs = {str(line.details.get("job", "")) for line in direct} - {""}
        related |= {
            str(line.details["pool"])
            for line in lines
            if "pool" in line.details and str(line.details.get("job", "")) in jobs
        }
    return Subject(name, frozenset(related))


def _is_related(line: LogLine, subject: Subject) -> bool:
    """Return whether a line that does not mention the subject may be related to it."""
    if line.event == "job_given_up":
        # Its task crashed a worker that the subject's tasks ran on.
        return not subject.related.isdisjoint(line.details.get("crashed_workers", []))
    if not subject.related or "job" in line.details:
        return False
    if line.event in CELL_EVENTS and "pool" not in line.details:
        return True
    if line.event not in PROBLEM_EVENTS and line.event not in LEAD_CHANGE_EVENTS:
        return False
    return any(line.details.get(f) in subject.related for f in ("pool", "worker")) and (
        line.details.get("team", "") in {"", *subject.related}
    )


def _describe_problem(line: LogLine) -> str:
    """Return a description of the problem that a line reports; empty if none."""
    details = line.details
    if line.event in ("task_start", "task_end"):
        outcome = str(details.get("outcome", ""))
        if details.get("copy") is True and outcome == "started":
            return _describe_copy(line)
        if outcome in GOOD_OUTCOMES:
            return ""
        if outcome == "stopped" and details.get("stop_reason") == NOT_NEEDED:
            return ""
        where = details.get("worker", "")
        reason = details.get("stop_reason")
        why = f" ({reason})" if reason else ""
        return f"{details.get('task_name')} on {where}: {outcome or 'no outcome'}{why}"
    if line.event == "lead_lease_ended":
        return _describe_ended_lease(line)
    if line.event == "advice" and details.get("allowed") == 0:
        return f"the policy allows {details.get('step')} on none of the given workers"
    if line.event == "job_given_up":
        workers = details.get("crashed_workers", [])
        return (
            f"{details.get('task_name')} was given up, and its job failed: "
            f"{len(workers)} workers crashed under it ({', '.join(map(str, workers))})"
        )
    if line.event == "job_ended" and details.get("state") == "failed":
        return "the job failed"
    return PROBLEM_EVENTS.get(line.event, "")


def _describe_copy(line: LogLine) -> str:
    details = line.details
    reason = str(details.get("reason", ""))
    return (
        f"a copy of {details.get('task_name')} was started on "
        f"{details.get('worker')}: {COPY_REASONS.get(reason, reason)}"
    )


def _describe_ended_lease(line: LogLine) -> str:
    lead, unable = line.details.get("lead"), line.details.get("cannot_connect")
    if line.details.get("detail"):
        return f"{line.daemon} tried to end the lease of the lead {lead}"
    return (
        f"{line.daemon} ended the lease of the lead {lead}, "
        f"to which {unable} daemons could not connect"
    )
