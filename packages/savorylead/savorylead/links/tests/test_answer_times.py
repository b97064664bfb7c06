"""Timeouts derived from average response times."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.links import AnswerTimes


def _ms(number: float) -> timedelta:
    return timedelta(milliseconds=number)


@pytest.mark.parametrize(
    ("answers_ms", "misses", "overdue_ms"),
    [
        ([], 0, 80),
        ([], 1, 160),
        ([], 9, 600),
        # A server that refuses each call at once is missed hundreds of times.
        ([], 1_000, 600),
        ([4.0] * 20, 0, 80),
        ([20.0] * 20, 0, 160),
        ([20.0] * 20, 1, 320),
        ([300.0], 0, 600),
        # The timeout rises with the first slow response of a store,
        ([4.0] * 20 + [300.0], 0, 600),
        # and falls again soon after the store has recovered.
        ([300.0] * 20 + [4.0] * 15, 0, 80),
    ],
)
def test_an_answer_is_overdue_after_several_times_its_usual_time(
    answers_ms: list[float], misses: int, overdue_ms: float
) -> None:
    times = AnswerTimes()
    for took in answers_ms:
        times.add_sample(_ms(took))
    assert times.overdue_after(misses) == _ms(overdue_ms)
