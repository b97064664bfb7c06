"""One checker for each invariant of the scheduler."""

from __future__ import annotations

import hashlib
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorylead.contracts import TaskId
from savorylead.outcomes import Cancelled, Done, NotRun
from savorylead.resources import ZERO, Resources
from savorylead_daemon.services import Admitted
from savorylead_standins.workers import Execution

from ._history import LimitChange, RunHistory

#: Time after its withdrawal from which a key must be rejected.
KEY_WITHDRAWAL_MS = 5_000
#: Time after a VM begins to leave from which no task may start on it.
DEPARTURE_MS = 10_000
#: Time within which an accepted configuration must be in force on every daemon.
IN_FORCE_MS = 4_000
#: Time allowed after a limit is lowered for excess work to be stopped.
LIMIT_SHRINK_MS = 60_000


class Violation(NamedTuple):
    """One violation of an invariant."""

    invariant: str
    detail: str


Checker = Callable[[RunHistory], Iterable[Violation]]


def check_capacity(history: RunHistory) -> Iterable[Violation]:
    """The tasks on a VM never exceed its capacity."""
    by_worker: dict[str, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        by_worker[execution.worker].append(execution)
    for worker, executions in sorted(by_worker.items()):
        capacity = history.capacities[worker]
        if not _peak_fits(history, executions, capacity):
            yield Violation("capacity", f"{worker} held more than {capacity}")
    for worker, count in sorted(history.over_capacity_refusals.items()):
        if count:
            yield Violation(
                "capacity", f"{worker} refused {count} starts over its capacity"
            )


def check_single_run(history: RunHistory) -> Iterable[Violation]:
    """A task never runs on two workers at the same time."""
    by_task: dict[TaskId, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        by_task[execution.task].append(execution)
    for task, executions in sorted(by_task.items()):
        ordered = sorted(executions, key=lambda e: e.started_at_ms)
        for first, second in zip(ordered, ordered[1:], strict=False):
            if _end_ms(history, first) > second.started_at_ms:
                detail = f"{task} on {first.worker} and {second.worker}"
                yield Violation("single_run", detail)


def check_keys(history: RunHistory) -> Iterable[Violation]:
    """Tasks are admitted only for the key's team and not with a withdrawn key."""
    withdrawn = {w.key: w.accepted_at_ms for w in history.withdrawals}
    for submission in history.submissions:
        if not isinstance(submission.reply, Admitted):
            continue
        if submission.reply.task.team != submission.task.team:
            yield Violation("keys", f"{submission.task} admitted for another team")
        at_ms = withdrawn.get(submission.key)
        if at_ms is not None and submission.submitted_at_ms > at_ms + KEY_WITHDRAWAL_MS:
            yield Violation("keys", f"{submission.task} admitted with a withdrawn key")


def check_limits(history: RunHistory) -> Iterable[Violation]:
    """The running tasks of a team never exceed its upper limit across the fleet."""
    teams = sorted({change.team for change in history.limits})
    for team in teams:
        changes = sorted(
            (c for c in history.limits if c.team == team),
            key=lambda c: c.accepted_at_ms,
        )
        running = [e for e in history.executions if e.task.team == team]
        for at_ms, held in _usage_at_starts(history, running):
            allowed = [c.limit for c in changes if _may_apply(c, changes, at_ms)]
            if not any(held.fits(limit) for limit in allowed):
                yield Violation("limits", f"{team} held {held} at {at_ms}")
                break


def check_answers(history: RunHistory) -> Iterable[Violation]:
    """A caller gets the complete answer to its own request, and only one."""
    expected = {s.task: s.expected_result for s in history.submissions}
    first_outcomes: dict[TaskId, object] = {}
    for answer in history.answers:
        earlier = first_outcomes.setdefault(answer.task, answer.outcome)
        if earlier != answer.outcome:
            yield Violation("answers", f"{answer.task}: {earlier}, {answer.outcome}")
        if not isinstance(answer.outcome, Done):
            continue
        digest = hashlib.sha256(answer.outcome.result.encode()).hexdigest()
        if digest != answer.outcome.digest:
            yield Violation(
                "answers", f"{answer.task}: the result does not match its digest"
            )
        if answer.outcome.result != expected.get(answer.task):
            yield Violation("answers", f"{answer.task}: another request's answer")


def check_not_run(history: RunHistory) -> Iterable[Violation]:
    """A task refused as "not run" has never run and was never admitted."""
    ran = {execution.task.job() for execution in history.executions}
    refusals = {s.task: s.reply for s in history.submissions}
    refusals = {
        task: reply for task, reply in refusals.items() if isinstance(reply, NotRun)
    }
    refusals |= {a.task: a.outcome for a in history.answers if _denies_run(a.outcome)}
    admitted = {s.task for s in history.submissions if isinstance(s.reply, Admitted)}
    for task in sorted(refusals.keys() & ran):
        yield Violation("not_run", f"{task} ran and was refused: {refusals[task]}")
    for submission in history.submissions:
        if isinstance(submission.reply, NotRun) and submission.task in admitted:
            yield Violation("not_run", f"{submission.task} was admitted and refused")


def check_at_most_once(history: RunHistory) -> Iterable[Violation]:
    """A request that is not repeatable runs at most once."""
    single = {s.task for s in history.submissions if not s.repeatable}
    runs: dict[TaskId, int] = defaultdict(int)
    for execution in history.executions:
        runs[execution.task] += 1
    for task, count in sorted(runs.items()):
        if count > 1 and task.job() in single:
            yield Violation("at_most_once", f"{task} ran {count} times")


def check_departures(history: RunHistory) -> Iterable[Violation]:
    """No task starts on a leaving VM after a grace period."""
    leaving = {d.worker: d.at_ms for d in history.departures}
    for execution in history.executions:
        at_ms = leaving.get(execution.worker)
        if at_ms is not None and execution.started_at_ms > at_ms + DEPARTURE_MS:
            detail = f"{execution.task} started on {execution.worker}"
            yield Violation("departures", detail)


def check_planned_stops(history: RunHistory) -> Iterable[Violation]:
    """A planned stop interrupts no call, and no admitted task is lost."""
    for call in history.calls_cut_off:
        yield Violation("planned_stops", f"{call} was interrupted")
    if not history.settled:
        return
    known = {a.task for a in history.answers}
    known |= {e.task.job() for e in history.executions if not e.ended_at_ms}
    for submission in history.submissions:
        if isinstance(submission.reply, Admitted) and submission.task not in known:
            yield Violation("planned_stops", f"{submission.task} was lost")


def check_configuration(history: RunHistory) -> Iterable[Violation]:
    """An accepted configuration takes effect everywhere in time and never reverts."""
    newest: dict[str, int] = {}
    for sample in sorted(history.samples, key=lambda s: s.at_ms):
        before = newest.get(sample.process, -1)
        if sample.revision < before:
            detail = f"{sample.process} went from {before} to {sample.revision}"
            yield Violation("configuration", detail)
        newest[sample.process] = max(before, sample.revision)
        due = _revision_due(history, sample.at_ms)
        if sample.confirmed and sample.revision < due:
            detail = f"{sample.process} had {sample.revision}, not {due}"
            yield Violation("configuration", detail)


CHECKERS: dict[str, Checker] = {
    "capacity": check_capacity,
    "single_run": check_single_run,
    "keys": check_keys,
    "limits": check_limits,
    "answers": check_answers,
    "not_run": check_not_run,
    "at_most_once": check_at_most_once,
    "departures": check_departures,
    "planned_stops": check_planned_stops,
    "configuration": check_configuration,
}


def check_all(history: RunHistory) -> list[Violation]:
    """Return the violations found by all checkers."""
    return [v for checker in CHECKERS.values() for v in checker(history)]


def _end_ms(history: RunHistory, execution: Execution) -> int:
    return execution.ended_at_ms or history.ended_at_ms


def _usage_at_starts(
    history: RunHistory, executions: Iterable[Execution]
) -> Iterable[tuple[int, Resources]]:
    """Yield the time of each start with the total resources in use at that time."""
    changes: list[tuple[int, int, Resources]] = []
    for execution in executions:
        # An end in the same millisecond as a start is applied first.
        changes.append((execution.started_at_ms, 1, execution.resources))
        changes.append((_end_ms(history, execution), 0, execution.resources))
    held = ZERO
    for at_ms, starts, resources in sorted(changes):
        held = held.plus(resources) if starts else held.minus(resources)
        if starts:
            yield at_ms, held


def _peak_fits(
    history: RunHistory, executions: Iterable[Execution], capacity: Resources
) -> bool:
    return all(held.fits(capacity) for _, held in _usage_at_starts(history, executions))


def _may_apply(change: LimitChange, changes: list[LimitChange], at_ms: int) -> bool:
    """Return whether a limit may apply to the tasks running at a given time.

    A raised limit may apply as soon as it is sent, since the daemons can read it from
    the store before the operator gets the reply. A lowered one applies once it has been
    accepted and excess work has had time to stop.
    """
    if change.sent_at_ms > at_ms:
        return False
    later = [c for c in changes if c.accepted_at_ms > change.accepted_at_ms]
    return all(c.accepted_at_ms + LIMIT_SHRINK_MS > at_ms for c in later)


def _denies_run(outcome: object) -> bool:
    if isinstance(outcome, NotRun):
        return True
    return isinstance(outcome, Cancelled) and not outcome.started


def _revision_due(history: RunHistory, at_ms: int) -> int:
    due = [
        revision
        for revision, accepted_ms in history.revisions_accepted.items()
        if accepted_ms + IN_FORCE_MS < at_ms
    ]
    return max(due, default=-1)
