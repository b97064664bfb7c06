"""Escrowed limits compared with one central counter: the same total runs."""

from hypothesis import given, settings, strategies as st

from savorylead.contracts import limit_from_amounts
from savorylead.resources import ZERO, Resources
from savorylead_standins.limits import LimitCell

TEAM = "imaging"
SETTLED_AFTER_S = 90


class CentralCounter:
    """Reference model: one counter that sees every start."""

    def __init__(self, limit):
        self.limit = limit
        self.used = ZERO

    def start(self, resources):
        after = self.used.plus(resources)
        if not after.fits(self.limit):
            return False
        self.used = after
        return True


def run_to_rest(cell, demands, size):
    """Start tasks in every shard until the grants are stable."""
    left = dict(enumerate(demands))
    for _ in range(SETTLED_AFTER_S):
        for shard, count in left.items():
            cell.lead_of(shard).want(TEAM, size.times(count))
        cell.advance(1, step_s=0.05)
        for shard in left:
            while left[shard] and cell.start(shard, TEAM, size):
                left[shard] -= 1


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    demands=st.lists(st.integers(0, 30), min_size=2, max_size=4),
    limit=st.integers(1, 60),
    cores=st.integers(1, 5),
    memory=st.integers(1, 3),
    seed=st.integers(0, 999),
)
def test_escrow_ends_with_as_much_as_one_counter(demands, limit, cores, memory, seed):
    amounts = {"cores": limit, "memory_mb": limit * 100}
    size = Resources(cores * 1000, memory * 100, slots=1)
    cell = LimitCell(len(demands), {TEAM: limit_from_amounts(amounts)}, seed)
    run_to_rest(cell, demands, size)
    counter = CentralCounter(limit_from_amounts(amounts))
    for _ in range(sum(demands)):
        counter.start(size)
    assert cell.running(TEAM) == counter.used
