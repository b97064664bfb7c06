"""Every fault at every step, each with its own seed, judged by every checker."""

import pytest

from savorylead_standins.faults import (
    MatrixRun,
    pair_seed,
    sampled_pairs,
    seed_of,
    single_faults,
)


def test_scenario_without_a_fault_keeps_every_invariant():
    report = MatrixRun(1, []).run()
    assert report.violations == ()
    assert report.answers > 100


@pytest.mark.parametrize("placed", single_faults(), ids=lambda placed: placed.label())
def test_fault_at_step(placed):
    report = MatrixRun(seed_of(placed), [placed]).run()
    assert report.missed == ()
    assert report.violations == ()


@pytest.mark.parametrize("index", range(len(sampled_pairs())))
def test_pair_of_faults(index):
    # The first fault may prevent the second one's step from being reached.
    report = MatrixRun(pair_seed(index), sampled_pairs()[index]).run()
    assert report.violations == ()
