"""Admission of jobs that exceed their team's share."""

from __future__ import annotations

import pytest

from savorylead.pools import Backlog, retry_after_ms

SECOND = 1_000.0
CORE_S = 1_000 * SECOND


@pytest.mark.parametrize(
    ("ahead_core_s", "whole_core_s", "draining_cores", "retry_ms"),
    [
        # The job needs 1 s; its objective is 2 s with 0.3 s of slack.
        (0, 0, 100, 0),
        (125, 900, 100, 0),
        (140, 900, 100, 9_000),
        (140, 200, 100, 2_000),
        # A Retry-After is at least 1 s and at most 30 s.
        (14, 14, 10, 1_400),
        (140, 14_000, 100, 30_000),
        # Nothing runs, as at the start of a lead's term: the drain rate is unknown.
        (140, 900, 0, 0),
    ],
)
def test_a_job_that_cannot_end_in_time_comes_back_once_the_rest_is_done(
    ahead_core_s: float, whole_core_s: float, draining_cores: int, retry_ms: int
) -> None:
    backlog = Backlog(
        ahead_core_s * CORE_S, whole_core_s * CORE_S, draining_cores * 1_000
    )
    assert retry_after_ms(backlog, SECOND, 2 * SECOND) == retry_ms
