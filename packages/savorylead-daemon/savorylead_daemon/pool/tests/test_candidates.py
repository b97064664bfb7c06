"""Choice of a pool's lead by the machines' resources and the pools they lead."""

from __future__ import annotations

import hashlib
import random

import pytest

from savorylead_daemon.pool._candidates import (
    Candidate,
    Machine,
    line,
    strengths,
    stronger_is_gone,
    successor,
)

STRONG = Machine(2.0, 100.0)
WEAK = Machine(0.5, 5.0)
NOT_TOLD = Machine()


def row(name: str, machine: Machine, leads: int = 0) -> Candidate:
    return Candidate(name, machine, leads)


@pytest.mark.parametrize(
    "machines, expected",
    [
        ([NOT_TOLD, NOT_TOLD], [1.0, 1.0]),
        ([STRONG, STRONG], [1.0, 1.0]),
        # The link is the scarcer resource here, the processor in the next case.
        ([STRONG, WEAK], [1.0, 0.05]),
        ([STRONG, Machine(0.5, 100.0)], [1.0, 0.25]),
        # The best processor and the best link belong to different machines.
        ([Machine(2.0, 10.0), Machine(1.0, 100.0)], [0.1, 0.5]),
        # Values that a machine does not report count as the best.
        ([STRONG, NOT_TOLD, Machine(1.0)], [1.0, 1.0, 0.5]),
    ],
)
def test_the_scarcer_of_processor_and_link_counts(
    machines: list[Machine], expected: list[float]
) -> None:
    found = strengths([row(f"d{i}", machine) for i, machine in enumerate(machines)])
    assert list(found.values()) == pytest.approx(expected)


@pytest.mark.parametrize(
    "candidates, expected",
    [
        ([row("weak", WEAK), row("strong", STRONG)], ["strong", "weak"]),
        # A strong machine with leads has more left than a weak one without.
        ([row("weak", WEAK), row("strong", STRONG, 3)], ["strong", "weak"]),
        (
            [row("led", STRONG, 1), row("half", Machine(1.5, 100.0))],
            ["half", "led"],
        ),
        (
            [row("led", STRONG, 1), row("third", Machine(0.7, 100.0))],
            ["led", "third"],
        ),
        ([row("led", NOT_TOLD, 1), row("free", NOT_TOLD)], ["free", "led"]),
    ],
)
def test_no_weak_machine_stands_before_one_with_more_left(
    candidates: list[Candidate], expected: list[str]
) -> None:
    assert line("pool", candidates) == expected
    assert line("pool", candidates[::-1]) == expected


@pytest.mark.parametrize("machine", [NOT_TOLD, STRONG, WEAK, Machine(0.1, 0.3)])
@pytest.mark.parametrize("pool", ["pool", "other"])
def test_equal_machines_do_not_change_places(machine: Machine, pool: str) -> None:
    leads = {f"node-{number}": number % 3 for number in range(9)}

    def order(name: str) -> tuple[int, str]:
        digest = hashlib.blake2s(f"{pool}/{name}".encode()).hexdigest()
        return leads[name], digest

    candidates = [row(name, machine, count) for name, count in leads.items()]
    assert line(pool, candidates) == sorted(leads, key=order)


@pytest.mark.parametrize(
    "living, gone, expected",
    [
        ([row("me", WEAK)], [], False),
        ([row("me", WEAK), row("a", STRONG)], [], False),
        # The first daemon to register after an outage sees no other one.
        ([row("me", WEAK)], [row("a", STRONG), row("b", WEAK)], True),
        ([row("me", WEAK), row("a", STRONG)], [row("b", STRONG)], True),
        ([row("me", STRONG)], [row("a", WEAK)], False),
        # Machines that are not much stronger are not waited for.
        ([row("me", STRONG)], [row("a", STRONG), row("b", STRONG)], False),
        ([row("me", NOT_TOLD)], [row("a", NOT_TOLD), row("b", NOT_TOLD)], False),
        ([row("me", Machine(1.5, 100.0))], [row("a", STRONG)], False),
    ],
)
def test_a_weak_machine_that_is_back_first_waits_for_strong_ones(
    living: list[Candidate], gone: list[Candidate], expected: bool
) -> None:
    assert stronger_is_gone("me", living, gone) is expected


@pytest.mark.parametrize(
    "lead, others, expected",
    [
        (row("me", WEAK), [row("a", STRONG)], "a"),
        (row("me", STRONG), [row("a", WEAK)], None),
        (row("me", WEAK), [row("a", WEAK)], None),
        # Twice the resources are enough, slightly less are not.
        (row("me", Machine(1.0, 100.0)), [row("a", STRONG)], "a"),
        (row("me", Machine(1.1, 100.0)), [row("a", STRONG)], None),
        # Other leads reduce what is left on both machines.
        (row("me", Machine(1.0, 100.0)), [row("a", STRONG, 1)], None),
        (row("me", Machine(1.0, 100.0), 1), [row("a", STRONG, 1)], "a"),
        (row("me", WEAK), [row("a", STRONG, 1), row("b", STRONG)], "b"),
        # One of several pools goes to a machine that leads none and is no weaker.
        (row("me", STRONG, 1), [row("a", STRONG)], "a"),
        (row("me", STRONG, 5), [row("a", STRONG)], "a"),
        (row("me", Machine(1.1, 100.0), 5), [row("a", STRONG)], "a"),
        (row("me", WEAK, 1), [row("a", WEAK, 1), row("b", WEAK)], "b"),
        # No move: the only pool here, no machine without leads, or a weaker one.
        (row("me", STRONG), [row("a", STRONG)], None),
        (row("me", STRONG, 5), [row("a", STRONG, 1)], None),
        (row("me", Machine(1.1, 100.0), 5), [row("a", STRONG, 1)], None),
        (row("me", STRONG, 5), [row("a", Machine(1.9, 100.0))], None),
        (row("me", STRONG, 5), [row("a", WEAK)], None),
        # Daemons of earlier versions report no resources and are handed no pools.
        (row("me", WEAK), [row("a", NOT_TOLD)], None),
        (row("me", NOT_TOLD), [row("a", STRONG)], None),
        (row("me", NOT_TOLD, 5), [row("a", NOT_TOLD)], None),
        (row("me", STRONG, 5), [row("a", NOT_TOLD)], None),
        (row("me", WEAK), [], None),
    ],
)
def test_a_pool_goes_only_to_a_machine_that_is_much_stronger_or_free(
    lead: Candidate, others: list[Candidate], expected: str | None
) -> None:
    found = successor("pool", "me", [lead, *others])
    assert (None if found is None else found.name) == expected


@pytest.mark.parametrize("seed", range(200))
def test_pools_come_to_rest_wherever_they_are(seed: int) -> None:
    # For any machines, successive moves end and no pool returns to a daemon.
    rng = random.Random(seed)
    kinds = [STRONG, WEAK, NOT_TOLD, Machine(1.1, 100.0), Machine(1.0, 60.0)]
    machines = {f"d{i}": rng.choice(kinds) for i in range(rng.randint(1, 8))}
    at = {f"p{i}": rng.choice(list(machines)) for i in range(rng.randint(1, 6))}
    been: dict[str, set[str]] = {pool: {name} for pool, name in at.items()}
    moved = True
    while moved:
        moved = False
        for pool in rng.sample(list(at), len(at)):
            candidates = [
                row(n, m, sum(at[p] == n for p in at if p != pool))
                for n, m in machines.items()
            ]
            found = successor(pool, at[pool], candidates)
            if found is None:
                continue
            assert found.name not in been[pool]
            been[pool].add(found.name)
            at[pool] = found.name
            moved = True
