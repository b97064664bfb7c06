"""Finds tasks of which two leads may have had runs on two workers at once."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ._log_lines import LogLine

#: Events after which no run of the worker's earlier incarnation continues.
WORKER_END_EVENTS = frozenset({"worker_reborn", "worker_replaced"})


class Overlap(NamedTuple):
    """Two runs of one task, of which the second began before an end of the first."""

    first: LogLine
    second: LogLine
    #: Whether a later line tells the end of the first run.
    first_end_is_logged: bool

    def describe(self) -> str:
        """Return which runs they are, and where and by whom they were started."""
        runs = " and ".join(
            f"on {line.details.get('worker')} "
            f"(run {line.details.get('run')}, daemon {line.daemon})"
            for line in (self.first, self.second)
        )
        task = self.first.details.get("task_name")
        if self.first_end_is_logged:
            return f"{task} ran {runs} at once"
        number = self.first.details.get("run")
        return f"{task} ran {runs}, perhaps at once: no end of run {number} is logged"


def first_overlap(lines: Sequence[LogLine]) -> Overlap | None:
    """Return the first overlap of runs of one task by different daemons."""
    of_tasks: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if "task_name" in line.details and "run" in line.details:
            of_tasks[str(line.details["task_name"])].append(line)
    worker_ends = [line for line in lines if _tells_end_of_worker(line)]
    overlaps = [_overlap_of(task, worker_ends) for task in of_tasks.values()]
    found = [overlap for overlap in overlaps if overlap is not None]
    return min(found, key=lambda overlap: overlap.second.time, default=None)


def _overlap_of(
    lines: Sequence[LogLine], worker_ends: Sequence[LogLine]
) -> Overlap | None:
    """Return the first overlap in the lines of one task, in order of time."""
    begun: list[LogLine] = []
    # The caller permits copies to run beside the first run of a task.
    copies = {each.details["run"] for each in lines if each.details.get("copy") is True}
    for line in lines:
        if not _tells_begin(line) or line.details["run"] in copies:
            continue
        for former in begun:
            if (
                former.daemon == line.daemon
                or former.details["run"] == line.details["run"]
                or former.details.get("worker") == line.details.get("worker")
            ):
                continue
            ends = [each for each in lines if _tells_end_of(each, former)]
            ends += [each for each in worker_ends if _tells_end_of(each, former)]
            if not _any_between(ends, former, line):
                return Overlap(former, line, any(e.time >= line.time for e in ends))
        begun.append(line)
    return None


def _any_between(ends: Iterable[LogLine], first: LogLine, second: LogLine) -> bool:
    return any(first.time <= each.time <= second.time for each in ends)


def _tells_begin(line: LogLine) -> bool:
    if line.event == "task_start":
        return line.details.get("outcome") == "started"
    return line.event == "run_adopted"


def _tells_end_of_worker(line: LogLine) -> bool:
    is_crash = line.event == "worker_crashed" and line.details.get("certain") is True
    return is_crash or line.event in WORKER_END_EVENTS


def _tells_end_of(line: LogLine, begin: LogLine) -> bool:
    """Return whether a line tells that a run was over at its time."""
    same_worker = line.details.get("worker") == begin.details.get("worker")
    if line.event == "task_end":
        return same_worker and line.details.get("run") == begin.details["run"]
    return same_worker and _tells_end_of_worker(line)
