"""Where a job waited is told from its lines."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest
from bench.waits import JobWay, table, ways_of

from savorylead_ctl.explain import read_logs


def log_of(*events: tuple[float, str, dict[str, Any]]) -> io.StringIO:
    rows = []
    for seconds, event, details in events:
        time = f"2026-01-01T00:00:{seconds:09.6f}+00:00"
        line = {"time": time, "daemon": "d", "level": "info", "event": event}
        rows.append("12.5 d " + json.dumps({**line, **details}))
    return io.StringIO("\n".join(rows))


ACCEPTED = (1.0, "job_accepted", {"job": "j", "queue": "urgent"})
TAKEN = (1.2, "job_taken_in", {"job": "j", "age_ms": 210, "surplus": False})
NONE_ALLOWED = (1.3, "advice", {"step": "j.0.0", "allowed": 0})
ADVISED = (1.5, "advice", {"step": "j.0.0", "allowed": 3})
REFUSED = (1.6, "task_start", {"job": "j", "outcome": "no_room"})
STARTED = (2.0, "task_start", {"job": "j", "outcome": "started"})
ENDED = (3.0, "job_ended", {"job": "j", "state": "completed", "after_ms": 2010})


@pytest.mark.parametrize(
    "events, parts",
    [
        (
            [ACCEPTED, TAKEN, NONE_ALLOWED, ADVISED, REFUSED, STARTED, ENDED],
            (10.0, 200.0, 300.0, 500.0, 1000.0, 2010.0),
        ),
        # A queue whose steps need no advice waits for room from the intake on.
        ([ACCEPTED, TAKEN, STARTED], (10.0, 200.0, None, 800.0, None, None)),
        ([TAKEN, ENDED], (None, None, None, None, None, 2010.0)),
    ],
)
def test_each_part_of_a_jobs_way_is_told(
    events: list[Any], parts: tuple[float | None, ...]
) -> None:
    (way,) = ways_of(read_logs([log_of(*events)]).lines)
    assert tuple(way.parts.values()) == parts


def test_a_job_without_its_intake_is_left_out() -> None:
    assert ways_of(read_logs([log_of(ACCEPTED, ENDED)]).lines) == []


def test_owed_and_surplus_jobs_are_told_apart() -> None:
    parts = dict.fromkeys(("accept", "lead", "advice", "room", "work"), None)
    ways = [
        JobWay("q", surplus, "completed", {**parts, "whole": 100.0 * number})
        for number, surplus in enumerate([False, True, False])
    ]
    head, owed, surplus, last = table(ways, suppressed=7)
    assert owed.split()[:3] == ["q", "owed", "2"]
    assert owed.split()[-3:] == ["200", "/", "200"]
    assert surplus.split()[1:3] == ["surplus", "1"]
    assert last.endswith("7")
