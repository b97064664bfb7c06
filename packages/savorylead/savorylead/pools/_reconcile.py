"""Reconciles a lead's view of a worker with the worker's report.

Answers on different connections may arrive out of order, and an unanswered order may
be executed seconds later. A run that a report lacks counts as gone only if the report
was requested after the worker confirmed the run's start, or its stop if one is under
way, or if the start order had expired when the report was made.
"""

from __future__ import annotations

from dataclasses import dataclass

from savorylead.jobs import Run, RunState

from ._contracts import ActiveRun, EndedRun, WorkerReport
from ._pool_worker import PoolWorker


@dataclass(frozen=True)
class Listed:
    """An active run that the lead knows on this worker."""

    run: Run
    active: ActiveRun


@dataclass(frozen=True)
class UnknownRun:
    """An active run that the lead does not know on this worker."""

    active: ActiveRun


@dataclass(frozen=True)
class Ended:
    """A run that ended; ``run`` is None if the lead did not know it there."""

    ended: EndedRun
    run: Run | None


@dataclass(frozen=True)
class Vanished:
    """A run that is neither active nor ended and can no longer start."""

    run: Run


Finding = Listed | UnknownRun | Ended | Vanished


def reconcile(
    worker: PoolWorker, report: WorkerReport, last_sequence: int, requested_at_ms: int
) -> list[Finding]:
    """Return the findings of a report; ended runs come first, in their order.

    ``last_sequence`` is the sequence number of the last ended run that was processed.
    ``requested_at_ms`` is when the report was requested.
    """
    findings: list[Finding] = []
    ended_keys = set()
    for ended in report.ended:
        key = (str(ended.task), ended.number)
        ended_keys.add(key)
        if ended.sequence > last_sequence:
            findings.append(Ended(ended, worker.runs.get(key)))
    listed = set()
    for active in report.active:
        key = (str(active.task), active.number)
        listed.add(key)
        if key in ended_keys:
            continue
        run = worker.runs.get(key)
        if run is None:
            findings.append(UnknownRun(active))
        else:
            findings.append(Listed(run, active))
    if report.truncated:
        return findings
    for key, run in worker.runs.items():
        if key in listed or key in ended_keys:
            continue
        if _is_gone(run, report, requested_at_ms):
            findings.append(Vanished(run))
    return findings


def _is_gone(run: Run, report: WorkerReport, requested_at_ms: int) -> bool:
    if run.state is RunState.STOPPING and run.stopped_at_ms:
        return run.stopped_at_ms < requested_at_ms
    if run.confirmed_at_ms:
        return run.confirmed_at_ms < requested_at_ms
    return bool(run.void_clock_ms) and report.clock_ms >= run.void_clock_ms
