"""How the steps of a rig run choose what they act on."""

import pytest

from savorylead_standins.rig._steps import busiest_lead


@pytest.mark.parametrize(
    ("leads", "expected"),
    [
        (["b", "a", "b"], "b"),
        (["b", "a"], "a"),
        # During elections; the shards without a lead must not win.
        (["", "", "a"], "a"),
        (["", ""], None),
        ([], None),
    ],
)
def test_a_shard_without_a_lead_names_no_daemon(leads, expected):
    assert busiest_lead(leads) == expected
