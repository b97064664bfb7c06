"""What a rig run amounts to, for a person and for a program."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from savorylead_daemon.services import Admitted
from savorylead_standins.checkers import RunHistory, Violation

from ._run_report import RunReport, first_starts

#: Maximum number of breaches that the table spells out.
SHOWN_BREACHES = 20


class StepResult(NamedTuple):
    """One step and the breaches that were first seen after it."""

    name: str
    began_at_ms: int
    ended_at_ms: int
    breaches: tuple[Violation, ...]


class RigReport:
    """Sums up a run, step by step."""

    def __init__(
        self,
        history: RunHistory,
        store_calls: Mapping[str, int],
        events: Sequence[str],
        steps: Sequence[StepResult],
        failures: Counter[int],
    ) -> None:
        """Take ``failures``, the calls without a reply by HTTP status."""
        self._history = history
        self._events = events
        self._steps = steps
        self._failures = failures
        self._whole = RunReport(history, store_calls, events)
        self._first = first_starts(history)

    def table(self) -> str:
        """Return the table for a person."""
        lines = ["What happened", *(f"  {event}" for event in self._events), ""]
        lines.append(
            f"{'step':<26}{'s':>6}{'submitted':>11}{'admitted':>10}{'no reply':>10}"
            f"{'urgent p50 ms':>15}{'max ms':>9}{'breaches':>10}"
        )
        for row in self.step_rows():
            lines.append(
                f"{row['step']:<26}{row['seconds']:>6}{row['submitted']:>11}"
                f"{row['admitted']:>10}{row['no_reply']:>10}"
                f"{row['urgent_wait_ms_p50']:>15}{row['urgent_wait_ms_max']:>9}"
                f"{row['breaches']:>10}"
            )
        lines.append("")
        found = Counter(v.invariant for v in self._whole.violations)
        lines += [f"{name}: {count} breaches" for name, count in found.items()]
        shown = self._whole.violations[:SHOWN_BREACHES]
        lines += [f"  {violation.detail}" for violation in shown]
        if not found:
            lines.append("no breach of any invariant")
        lines.append(f"submits not admitted, by reply: {self._refusals()}")
        statuses = dict(sorted(self._failures.items()))
        lines.append(f"calls without a reply, by status: {statuses}")
        return "\n".join(lines)

    def last_line(self) -> str:
        """Return the figures as one JSON object."""
        figures: dict[str, Any] = self._whole.figures()
        figures["breaches"] = len(self._whole.violations)
        figures["steps"] = self.step_rows()
        return json.dumps(figures)

    def is_good(self) -> bool:
        """Return whether no invariant was breached and no task lost."""
        breached = any(step.breaches for step in self._steps)
        return not (breached or self._whole.violations or not self._whole.is_good())

    def step_rows(self) -> list[dict[str, Any]]:
        """Return the figures of each step."""
        return [self._row(step) for step in self._steps]

    def _refusals(self) -> dict[str, int]:
        """Return how often submits were answered by other than an admission."""
        counts = Counter(
            str(submission.reply)
            for submission in self._history.submissions
            if submission.reply is not None
            and not isinstance(submission.reply, Admitted)
        )
        return dict(counts.most_common())

    def _row(self, step: StepResult) -> dict[str, Any]:
        submissions = [
            s
            for s in self._history.submissions
            if step.began_at_ms <= s.submitted_at_ms < step.ended_at_ms
        ]
        waits = sorted(
            self._first[s.task] - s.submitted_at_ms
            for s in submissions
            if s.task in self._first and s.task.request.startswith("urgent")
        )
        return {
            "step": step.name,
            "seconds": round((step.ended_at_ms - step.began_at_ms) / 1000),
            "submitted": len(submissions),
            "admitted": sum(isinstance(s.reply, Admitted) for s in submissions),
            "no_reply": sum(s.reply is None for s in submissions),
            "urgent_wait_ms_p50": waits[len(waits) // 2] if waits else None,
            "urgent_wait_ms_max": waits[-1] if waits else None,
            "breaches": len(step.breaches),
        }
