"""Compares what a lead believes of a worker with what the worker reports.

Answers on different connections overtake each other, and an order without an answer
may be executed seconds later. A run is taken for gone only if the report was asked
for after the run was confirmed, or after the order for it had become void.
"""

from __future__ import annotations

from dataclasses import dataclass

from savorylead.jobs import Run, RunState

from ._contracts import ActiveRun, EndedRun, WorkerReport
from ._pool_worker import PoolWorker


@dataclass(frozen=True)
class Listed:
    """A run that the lead knows is on the worker."""

    run: Run
    active: ActiveRun


@dataclass(frozen=True)
class Unexplained:
    """A run is on the worker that the lead does not know there."""

    active: ActiveRun


@dataclass(frozen=True)
class Ended:
    """A run ended; ``run`` is None if the lead did not know it there."""

    ended: EndedRun
    run: Run | None


@dataclass(frozen=True)
class Vanished:
    """A run is neither listed nor ended, and its order can't start it any more."""

    run: Run


Finding = Listed | Unexplained | Ended | Vanished


def reconcile(
    worker: PoolWorker, report: WorkerReport, seen: int, asked_at_ms: int
) -> list[Finding]:
    """Return what a report says; ends come first, in their order.

    ``seen`` is the sequence of the last end that was processed. ``asked_at_ms`` is
    when the report was asked for.
    """
    findings: list[Finding] = []
    ended_keys = set()
    for ended in report.ended:
        key = (str(ended.task), ended.number)
        ended_keys.add(key)
        if ended.sequence > seen:
            findings.append(Ended(ended, worker.runs.get(key)))
    listed = set()
    for active in report.active:
        key = (str(active.task), active.number)
        listed.add(key)
        if key in ended_keys:
            continue
        run = worker.runs.get(key)
        if run is None:
            findings.append(Unexplained(active))
        else:
            findings.append(Listed(run, active))
    if report.truncated:
        return findings
    for key, run in worker.runs.items():
        if key in listed or key in ended_keys:
            continue
        if _surely_gone(run, report, asked_at_ms):
            findings.append(Vanished(run))
    return findings


def _surely_gone(run: Run, report: WorkerReport, asked_at_ms: int) -> bool:
    if run.state is RunState.STOPPING and run.stopped_at_ms:
        return run.stopped_at_ms < asked_at_ms
    if run.confirmed_at_ms:
        return run.confirmed_at_ms < asked_at_ms
    return bool(run.void_clock_ms) and report.clock_ms >= run.void_clock_ms
