"""Finds the tasks that crash the workers on which they run.

Load pattern: one task crashes each worker that starts it, and each crash takes along a
dozen unrelated runs. The crash does not tell which run caused it, so a bound on crashes
alone would give up the unrelated tasks as well, or start the guilty one too often.

All tasks that were on a crashed worker are suspects; the youngest runs, unless they had
run for long, and tasks under which more than one worker crashed, are prime suspects.
These start apart from each other, and nothing else starts there for a while, so that a
further crash has one likely cause. A suspect is cleared once a run of it has lasted
longer than its earlier runs did before their workers crashed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from savorylead.jobs import Run, Task, TaskCrash

from ._pool_worker import PoolWorker

#: A task is given up after this many crashes, whatever else ran on the workers and
#: whether or not its runs were confirmed. Two starts after the third crash are allowed;
#: one of them may be unknown to a lead.
MAX_CRASHES = 4
#: Crashes longer ago than this do not count, in milliseconds. A service that runs for
#: months loses several workers, and caused none of these crashes.
CRASH_MEMORY_MS = 3_600_000
#: Runs that began within this time of each other are equally young, in milliseconds: a
#: planning pass sends a dozen orders at once, some to a worker that has just crashed.
YOUNGEST_MS = 50
#: Time after which a suspect is cleared beyond its age at earlier crashes, in
#: milliseconds. A worker without a call under way is found silent after up to 0.5 s.
AGE_MARGIN_MS = 1_000
#: Nothing else starts beside a prime suspect for its age at earlier crashes and this
#: time more, in milliseconds. What starts meanwhile would be as likely a cause.
ISOLATION_MARGIN_MS = 250
#: Age up to which a run's start may have crashed its worker, in milliseconds. A task
#: that crashes workers later than this is found by the number of its crashes alone.
YOUNG_MS = 5_000
#: Longest time for which a run stays a suspect, in milliseconds.
MAX_SUSPECT_MS = 30_000
#: Workers of one rack or failure domain that fall silent within this time of each
#: other, in milliseconds, have a common cause if they are all of it, or if those that
#: no suspect can have crashed are more than half of it.
COMMON_CAUSE_MS = 1_000


class WorkerCrash(NamedTuple):
    """The crash of a worker."""

    worker: str
    #: When it last answered a call, and when it first did not, in Unix milliseconds.
    last_answer_ms: int
    at_ms: int
    #: The runs that were or may have been on it.
    runs: Sequence[Run]
    #: Whether it is more than presumed.
    is_certain: bool
    #: Whether other workers failed with it, so that no task was the cause.
    has_common_cause: bool


def isolate(run: Run, worker: PoolWorker, now_ms: int) -> None:
    """Isolate a suspect's run that is about to start on the worker."""
    task = run.task
    longest_ms = max((crash.age_ms for crash in task.crashes), default=0)
    run.suspect_until_ms = now_ms + min(MAX_SUSPECT_MS, longest_ms + AGE_MARGIN_MS)
    young_ages_ms = [c.age_ms for c in task.crashes if c.age_ms <= YOUNG_MS]
    if task.is_prime_suspect and young_ages_ms:
        isolation_ms = max(young_ages_ms) + ISOLATION_MARGIN_MS
        worker.isolate(run, now_ms, isolation_ms)


def record_crash(crash: WorkerCrash) -> list[Task]:
    """Add a crash to the tasks that ran there; return those that are to be given up."""
    runs = {
        run.task: run
        for run in crash.runs
        if run.task.is_open and not _is_blamed_by_partner(run)
    }
    culprits = {
        task
        for task, run in runs.items()
        if not crash.has_common_cause and _is_culprit(run, crash)
    }
    youngest_ms = _youngest_ms(crash)
    for task, run in runs.items():
        oldest_ms = crash.at_ms - CRASH_MEMORY_MS
        age_ms = max(0, crash.at_ms - run.sent_at_ms)
        is_youngest = run.sent_at_ms >= youngest_ms and age_ms <= YOUNG_MS
        task.step.has_suspects = True
        run.is_blamed = True
        task.crashes = (
            *(earlier for earlier in task.crashes if earlier.at_ms > oldest_ms),
            TaskCrash(
                crash.worker,
                crash.at_ms,
                age_ms,
                is_youngest,
                _is_confirmed(run, crash),
            ),
        )
    return [t for t in runs if t in culprits or len(t.crashes) >= MAX_CRASHES]


def _is_blamed_by_partner(run: Run) -> bool:
    """Return whether a crash under the run beside it counts against its task.

    The second run was started before that crash was known and was not isolated, so its
    own crash proves no more.
    """
    return run.partner is not None and run.partner.is_blamed


def _is_culprit(run: Run, crash: WorkerCrash) -> bool:
    """Return whether a suspect's run is the only likely cause of a second crash."""
    has_crashed = any(earlier.is_confirmed for earlier in run.task.crashes)
    if not has_crashed or not _is_confirmed(run, crash):
        return False
    if not _is_live_suspect(run, crash.at_ms):
        return False
    job = run.task.step.job
    others = [other for other in crash.runs if other.task.step.job is not job]
    return not any(_is_rival(other, run, crash) for other in others)


def _is_confirmed(run: Run, crash: WorkerCrash) -> bool:
    """Return whether the run was certainly on the worker when it crashed."""
    # After its lease lapsed, a run is no longer its task's run.
    is_current = run.task.has_run(run)
    return crash.is_certain and is_current and bool(run.confirmed_at_ms)


def _is_live_suspect(run: Run, at_ms: int) -> bool:
    return at_ms <= run.suspect_until_ms


def _is_rival(other: Run, run: Run, crash: WorkerCrash) -> bool:
    """Return whether another run is about as likely to have caused the crash."""
    if other.sent_at_ms >= min(run.sent_at_ms, _youngest_ms(crash)):
        return True
    return other.task.is_prime_suspect and _is_live_suspect(other, crash.at_ms)


def _youngest_ms(crash: WorkerCrash) -> int:
    """Return from when on a run's start may have caused the crash.

    Orders that were sent after the last answer may have found the worker crashed.
    """
    last_sent_ms = max((run.sent_at_ms for run in crash.runs), default=0)
    return min(last_sent_ms, crash.last_answer_ms) - YOUNGEST_MS


def has_common_cause(
    worker: PoolWorker, at_ms: int, workers: Iterable[PoolWorker]
) -> bool:
    """Return whether a worker fell silent together with its rack or failure domain."""
    everyone = list(workers)
    rack = [w for w in everyone if w.entry.rack and w.entry.rack == worker.entry.rack]
    zone = [w for w in everyone if w.entry.zone == worker.entry.zone]
    return any(_fell_silent_together(group, worker, at_ms) for group in (rack, zone))


def _fell_silent_together(
    group: Sequence[PoolWorker], worker: PoolWorker, at_ms: int
) -> bool:
    silent = [
        w
        for w in group
        if w is worker or abs(w.last_outage_ms - at_ms) <= COMMON_CAUSE_MS
    ]
    if len(silent) < 2:
        return False
    # A worker with a suspect may have crashed by itself, unless all have failed.
    unexplained = [
        w for w in silent if w is worker or not w.may_host_suspect(w.last_outage_ms)
    ]
    return len(silent) == len(group) or 2 * len(unexplained) > len(group)
