"""Choice of a pool's lead by the machines' resources and the pools they lead."""

from __future__ import annotations

import hashlib
import random

import pytest

from savorylead_daemon.pool._candidates import (
    Candidate,
    Machine,
    rank_candidates,
    should_wait_for_absent,
    strengths,
    successor,
)

STRONG = Machine(2.0, 100.0)
WEAK = Machine(0.5, 5.0)
UNREPORTED = Machine()


def daemon(name: str, machine: Machine, leads: int = 0) -> Candidate:
    return Candidate(name, machine, leads)


@pytest.mark.parametrize(
    "machines, expected",
    [
        ([UNREPORTED, UNREPORTED], [1.0, 1.0]),
        ([STRONG, STRONG], [1.0, 1.0]),
        # The link is the scarcer resource here, the processor in the next case.
        ([STRONG, WEAK], [1.0, 0.05]),
        ([STRONG, Machine(0.5, 100.0)], [1.0, 0.25]),
        # The best processor and the best link belong to different machines.
        ([Machine(2.0, 10.0), Machine(1.0, 100.0)], [0.1, 0.5]),
        # Values that a machine does not report count as the best.
        ([STRONG, UNREPORTED, Machine(1.0)], [1.0, 1.0, 0.5]),
    ],
)
def test_the_scarcer_of_processor_and_link_counts(
    machines: list[Machine], expected: list[float]
) -> None:
    result = strengths([daemon(f"d{i}", machine) for i, machine in enumerate(machines)])
    assert list(result.values()) == pytest.approx(expected)


@pytest.mark.parametrize(
    "candidates, expected",
    [
        ([daemon("weak", WEAK), daemon("strong", STRONG)], ["strong", "weak"]),
        # A strong machine with leads has more left than a weak one without.
        ([daemon("weak", WEAK), daemon("strong", STRONG, 3)], ["strong", "weak"]),
        (
            [daemon("led", STRONG, 1), daemon("half", Machine(1.5, 100.0))],
            ["half", "led"],
        ),
        (
            [daemon("led", STRONG, 1), daemon("third", Machine(0.7, 100.0))],
            ["led", "third"],
        ),
        (
            [daemon("led", UNREPORTED, 1), daemon("free", UNREPORTED)],
            ["free", "led"],
        ),
    ],
)
def test_no_weak_machine_stands_before_one_with_more_left(
    candidates: list[Candidate], expected: list[str]
) -> None:
    assert rank_candidates("pool", candidates) == expected
    assert rank_candidates("pool", candidates[::-1]) == expected


@pytest.mark.parametrize("machine", [UNREPORTED, STRONG, WEAK, Machine(0.1, 0.3)])
@pytest.mark.parametrize("pool", ["pool", "other"])
def test_equal_machines_do_not_change_places(machine: Machine, pool: str) -> None:
    leads = {f"node-{number}": number % 3 for number in range(9)}

    def order(name: str) -> tuple[int, str]:
        digest = hashlib.blake2s(f"{pool}/{name}".encode()).hexdigest()
        return leads[name], digest

    candidates = [daemon(name, machine, count) for name, count in leads.items()]
    assert rank_candidates(pool, candidates) == sorted(leads, key=order)


@pytest.mark.parametrize(
    "living, gone, expected",
    [
        ([daemon("me", WEAK)], [], False),
        ([daemon("me", WEAK), daemon("a", STRONG)], [], False),
        # The first daemon to register after an outage sees no other one.
        ([daemon("me", WEAK)], [daemon("a", STRONG), daemon("b", WEAK)], True),
        (
            [daemon("me", WEAK), daemon("a", STRONG)],
            [daemon("b", STRONG)],
            True,
        ),
        ([daemon("me", STRONG)], [daemon("a", WEAK)], False),
        # Machines that are not much stronger are not waited for.
        (
            [daemon("me", STRONG)],
            [daemon("a", STRONG), daemon("b", STRONG)],
            False,
        ),
        (
            [daemon("me", UNREPORTED)],
            [daemon("a", UNREPORTED), daemon("b", UNREPORTED)],
            False,
        ),
        ([daemon("me", Machine(1.5, 100.0))], [daemon("a", STRONG)], False),
    ],
)
def test_a_weak_machine_that_is_back_first_waits_for_strong_ones(
    living: list[Candidate], gone: list[Candidate], expected: bool
) -> None:
    assert should_wait_for_absent("me", living, gone) is expected


@pytest.mark.parametrize(
    "lead, others, expected",
    [
        (daemon("me", WEAK), [daemon("a", STRONG)], "a"),
        (daemon("me", STRONG), [daemon("a", WEAK)], None),
        (daemon("me", WEAK), [daemon("a", WEAK)], None),
        # Twice the resources are enough, slightly less are not.
        (daemon("me", Machine(1.0, 100.0)), [daemon("a", STRONG)], "a"),
        (daemon("me", Machine(1.1, 100.0)), [daemon("a", STRONG)], None),
        # Other leads reduce what is left on both machines.
        (daemon("me", Machine(1.0, 100.0)), [daemon("a", STRONG, 1)], None),
        (daemon("me", Machine(1.0, 100.0), 1), [daemon("a", STRONG, 1)], "a"),
        (
            daemon("me", WEAK),
            [daemon("a", STRONG, 1), daemon("b", STRONG)],
            "b",
        ),
        # One of several pools goes to a machine that leads none and is no weaker.
        (daemon("me", STRONG, 1), [daemon("a", STRONG)], "a"),
        (daemon("me", STRONG, 5), [daemon("a", STRONG)], "a"),
        (daemon("me", Machine(1.1, 100.0), 5), [daemon("a", STRONG)], "a"),
        (
            daemon("me", WEAK, 1),
            [daemon("a", WEAK, 1), daemon("b", WEAK)],
            "b",
        ),
        # No move: the only pool here, no machine without leads, or a weaker one.
        (daemon("me", STRONG), [daemon("a", STRONG)], None),
        (daemon("me", STRONG, 5), [daemon("a", STRONG, 1)], None),
        (daemon("me", Machine(1.1, 100.0), 5), [daemon("a", STRONG, 1)], None),
        (daemon("me", STRONG, 5), [daemon("a", Machine(1.9, 100.0))], None),
        (daemon("me", STRONG, 5), [daemon("a", WEAK)], None),
        # Daemons of earlier versions report no resources and are handed no pools.
        (daemon("me", WEAK), [daemon("a", UNREPORTED)], None),
        (daemon("me", UNREPORTED), [daemon("a", STRONG)], None),
        (daemon("me", UNREPORTED, 5), [daemon("a", UNREPORTED)], None),
        (daemon("me", STRONG, 5), [daemon("a", UNREPORTED)], None),
        (daemon("me", WEAK), [], None),
    ],
)
def test_a_pool_goes_only_to_a_machine_that_is_much_stronger_or_free(
    lead: Candidate, others: list[Candidate], expected: str | None
) -> None:
    result = successor("pool", "me", [lead, *others])
    assert (None if result is None else result.name) == expected


@pytest.mark.parametrize("seed", range(200))
def test_pools_come_to_rest_wherever_they_are(seed: int) -> None:
    # For any machines, successive moves end and no pool returns to a daemon.
    rng = random.Random(seed)
    kinds = [STRONG, WEAK, UNREPORTED, Machine(1.1, 100.0), Machine(1.0, 60.0)]
    machines = {f"d{i}": rng.choice(kinds) for i in range(rng.randint(1, 8))}
    lead_of = {f"p{i}": rng.choice(list(machines)) for i in range(rng.randint(1, 6))}
    former_leads: dict[str, set[str]] = {pool: {name} for pool, name in lead_of.items()}
    moved = True
    while moved:
        moved = False
        for pool in rng.sample(list(lead_of), len(lead_of)):
            candidates = [
                daemon(n, m, sum(lead_of[p] == n for p in lead_of if p != pool))
                for n, m in machines.items()
            ]
            result = successor(pool, lead_of[pool], candidates)
            if result is None:
                continue
            assert result.name not in former_leads[pool]
            former_leads[pool].add(result.name)
            lead_of[pool] = result.name
            moved = True
