"""Ranking of daemons as leads of a pool by their machines' resources; no I/O.

Load pattern: a lead used 1.4 cores and 6 Mbit/s in each direction. After its lease
ended, daemons with half a core and 5 Mbit/s succeeded it, as a hash of their names
came first.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import NamedTuple

#: A machine with this many times the resources is much stronger. A change of the lead
#: loads all records again, which a slightly stronger machine is not worth.
MUCH_STRONGER_FACTOR = 2.0


class Machine(NamedTuple):
    """The resources of a daemon's machine for the daemon; 0 if not reported."""

    #: Processor time per second, in core seconds.
    cores: float = 0.0
    #: Bandwidth of its link in megabits per second, in each direction.
    link_mbps: float = 0.0
    #: Memory in megabytes; reported, but not used in the ranking.
    memory_mb: int = 0


class Candidate(NamedTuple):
    """A daemon that may lead a pool."""

    name: str
    machine: Machine
    #: How many other pools it leads.
    leads: int = 0


def strengths(candidates: Sequence[Candidate]) -> dict[str, float]:
    """Return the strength of each daemon's machine, at most 1.0, by the daemon's name.

    It is the smaller of processor and link, each as a fraction of the best one. Values
    that are not reported count as the best, so that machines that report nothing are
    equal.
    """
    best_cores = max((c.machine.cores for c in candidates), default=0.0)
    best_link = max((c.machine.link_mbps for c in candidates), default=0.0)
    return {
        c.name: min(
            _fraction_of_best(c.machine.cores, best_cores),
            _fraction_of_best(c.machine.link_mbps, best_link),
        )
        for c in candidates
    }


def rank_candidates(pool: str, candidates: Sequence[Candidate]) -> list[str]:
    """Return the candidates' names, in the order in which they should lead the pool.

    A machine that leads one, two, ... pools has half, a third, ... of its strength left
    for another one. The order of equal ones differs by pool, which spreads the leads.
    """
    strength = strengths(candidates)

    def order(candidate: Candidate) -> tuple[float, str]:
        digest = hashlib.blake2s(f"{pool}/{candidate.name}".encode()).hexdigest()
        return -_strength_left(strength, candidate), digest

    return [candidate.name for candidate in sorted(candidates, key=order)]


def _strength_left(strength: dict[str, float], candidate: Candidate) -> float:
    return strength[candidate.name] / (1 + candidate.leads)


def _fraction_of_best(value: float, best: float) -> float:
    return value / best if value else 1.0


def should_wait_for_absent(
    name: str, living: Sequence[Candidate], gone: Sequence[Candidate]
) -> bool:
    """Return whether a daemon should wait for a much stronger one to come back.

    Load pattern: an outage of the store ends all registrations. The first daemon that
    registers again sees no other one, and would take every pool even if its machine is
    weak.
    """
    strength = strengths([*living, *gone])
    return any(strength[c.name] >= MUCH_STRONGER_FACTOR * strength[name] for c in gone)


class Successor(NamedTuple):
    """The daemon to which a lead should hand a pool over."""

    name: str
    #: Strength that the lead's and the successor's machine have left for the pool.
    strength_left_here: float
    strength_left_there: float


def successor(
    pool: str, lead: str, candidates: Sequence[Candidate]
) -> Successor | None:
    """Return the daemon that should take a pool over, None if its lead should keep it.

    A pool moves to a machine that is much stronger in itself, not only less busy. A
    machine that leads several pools also hands one over to a machine that leads none
    and is no weaker. Load pattern: the first of many small machines to start takes all
    pools, and is too weak to serve any of them.

    Moves can't cycle: none makes the leading machines weaker, and if they stay equally
    strong, more of them lead. If one of the two reports no resources, the pool stays.
    """
    by_name = {candidate.name: candidate for candidate in candidates}
    current, best = by_name[lead], by_name[rank_candidates(pool, candidates)[0]]
    if not _is_reported(current.machine) or not _is_reported(best.machine):
        return None
    strength = strengths(candidates)
    result = Successor(
        best.name, _strength_left(strength, current), _strength_left(strength, best)
    )
    is_much_stronger = strength[best.name] >= MUCH_STRONGER_FACTOR * strength[lead]
    is_no_weaker = strength[best.name] >= strength[lead]
    spreads = current.leads > 0 and best.leads == 0 and is_no_weaker
    has_much_more_left = (
        result.strength_left_there >= MUCH_STRONGER_FACTOR * result.strength_left_here
    )
    return result if has_much_more_left and (is_much_stronger or spreads) else None


def _is_reported(machine: Machine) -> bool:
    return machine.cores > 0 and machine.link_mbps > 0
