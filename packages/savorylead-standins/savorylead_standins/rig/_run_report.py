"""What a run amounts to, for a person and for a program."""

from __future__ import annotations

import json
import statistics
from collections import Counter
from collections.abc import Mapping, Sequence

from savorylead.contracts import TaskId
from savorylead.outcomes import Outcome, outcome_tag
from savorylead_daemon.services import Admitted
from savorylead_standins.checkers import RunHistory, Violation, check_all

#: Store calls that write.
WRITE_CALLS = ("swap", "grant_lease", "renew_lease", "revoke_lease")
_OUTCOMES = ("done", "failed", "cancelled", "not_run", "unknown")


class RunReport:
    """Sums up a history; judged by what workers executed."""

    def __init__(
        self, history: RunHistory, store_calls: Mapping[str, int], events: Sequence[str]
    ) -> None:
        """Take ``events``, what befell the daemons, for the table."""
        self._history = history
        self._store_calls = store_calls
        self._events = events
        self.violations: list[Violation] = check_all(history)

    def figures(self) -> dict[str, int]:
        """Return the figures of the last line."""
        outcomes = self._outcomes()
        kinds = Counter(outcome_tag(outcome) for outcome in outcomes.values())
        admitted = self._admitted()
        waits = sorted(self._waits_ms())
        return {
            "accepted": len(admitted),
            **{kind: kinds[kind] for kind in _OUTCOMES},
            "lost": sum(1 for task in admitted if task not in outcomes),
            "run_twice": self._count("single_run") + self._count("at_most_once"),
            "overcommitted": self._count("capacity"),
            "wait_ms_p50": _quantile(waits, 50),
            "wait_ms_p99": _quantile(waits, 99),
            "placements": len(self._history.executions),
            "store_writes": sum(self._store_calls.get(c, 0) for c in WRITE_CALLS),
        }

    def table(self) -> str:
        """Return the table for a person."""
        lines = ["What happened"]
        lines += [f"  {event}" for event in self._events]
        lines += ["", "Tasks by workspace"]
        lines.append(f"  {'workspace':<28}{'accepted':>9}{'done':>7}{'p50 ms':>9}")
        for workspace in sorted({self._place(task) for task in self._admitted()}):
            lines.append(self._row(workspace))
        lines += ["", "Checks of what workers executed"]
        found = Counter(violation.invariant for violation in self.violations)
        lines += [f"  {name}: {count} breaches" for name, count in found.items()]
        lines += [f"    {violation.detail}" for violation in self.violations[:10]]
        if not found:
            lines.append("  no breach of any invariant")
        return "\n".join(lines)

    def last_line(self) -> str:
        """Return the figures as one JSON object."""
        return json.dumps(self.figures())

    def is_good(self) -> bool:
        """Return whether nothing was lost, run twice or overcommitted."""
        figures = self.figures()
        bad = ("lost", "run_twice", "overcommitted")
        return not any(figures[name] for name in bad)

    def _row(self, place: str) -> str:
        admitted = [task for task in self._admitted() if self._place(task) == place]
        outcomes = self._outcomes()
        done = sum(
            1 for task in admitted if task in outcomes and _is_done(outcomes[task])
        )
        waits = sorted(self._waits_ms(place))
        wait = _quantile(waits, 50)
        return f"  {place:<28}{len(admitted):>9}{done:>7}{wait:>9}"

    def _admitted(self) -> list[TaskId]:
        return [
            s.task for s in self._history.submissions if isinstance(s.reply, Admitted)
        ]

    def _outcomes(self) -> dict[TaskId, Outcome]:
        return {answer.task: answer.outcome for answer in self._history.answers}

    def _waits_ms(self, place: str = "") -> list[int]:
        """Return the time from submit to the first start of each task."""
        first = first_starts(self._history)
        return [
            max(0, first[s.task] - s.submitted_at_ms)
            for s in self._history.submissions
            if s.task in first and (not place or self._place(s.task) == place)
        ]

    def _count(self, invariant: str) -> int:
        return sum(1 for v in self.violations if v.invariant == invariant)

    def _place(self, task: TaskId) -> str:
        return f"{task.team}/{task.workspace}"


def first_starts(history: RunHistory) -> dict[TaskId, int]:
    """Return when each task or job first ran."""
    first: dict[TaskId, int] = {}
    for execution in history.executions:
        job = execution.task.job()
        earlier = first.get(job, execution.started_at_ms)
        first[job] = min(earlier, execution.started_at_ms)
    return first


def _is_done(outcome: Outcome) -> bool:
    return outcome_tag(outcome) == "done"


def _quantile(ordered: Sequence[int], percent: int) -> int:
    if len(ordered) < 2:
        return ordered[0] if ordered else 0
    return round(statistics.quantiles(ordered, n=100, method="inclusive")[percent - 1])
