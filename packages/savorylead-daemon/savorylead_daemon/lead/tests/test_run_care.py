"""Corrected sizes are rounded up to a small set of steps."""

import pytest

from savorylead_daemon.lead._run_monitor import _rounded_up


@pytest.mark.parametrize(
    ("amount", "most", "rounded"),
    [
        (0, 100, 0),
        (1, 100, 1),
        (5, 100, 6),
        (6, 100, 6),
        (7, 100, 8),
        (1025, 16_000, 1536),
        (1537, 16_000, 2048),
        (9000, 10_000, 10_000),
        (9000, 0, 9000),
    ],
)
def test_rounded_up(amount, most, rounded):
    assert _rounded_up(amount, most) == rounded
