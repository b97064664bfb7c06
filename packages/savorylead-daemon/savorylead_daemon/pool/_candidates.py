"""Which daemons should lead a pool, by what their machines have; no I/O.

Load pattern: a lead used 1.4 cores and 6 Mbit/s each way. Its lease ended, and daemons
with half a core and 5 Mbit/s followed it because a hash of their names came first.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import NamedTuple

#: A machine is much stronger that has this many times as much: a change of the lead
#: costs a load of all records, so one that is somewhat better is not worth it.
MUCH_STRONGER = 2.0


class Machine(NamedTuple):
    """What a daemon's machine has for it; 0 where that is not told."""

    #: Processor time in a second, in seconds of a core.
    cores: float = 0.0
    #: Rate of its link in megabits a second, each way.
    link_mbps: float = 0.0
    #: Memory in megabytes; it is told, and decides nothing.
    memory_mb: int = 0


class Candidate(NamedTuple):
    """A daemon that may lead a pool."""

    name: str
    machine: Machine
    #: Other pools that it leads.
    leads: int = 0


def strengths(candidates: Sequence[Candidate]) -> dict[str, float]:
    """Return how strong each daemon's machine is, 1.0 at the most, by name.

    The scarcer of processor and link counts, each as a part of the best one. What is
    not told counts as the best, so that machines are equal where none tells anything.
    """
    best_cores = max((c.machine.cores for c in candidates), default=0.0)
    best_link = max((c.machine.link_mbps for c in candidates), default=0.0)
    return {
        c.name: min(
            _part(c.machine.cores, best_cores), _part(c.machine.link_mbps, best_link)
        )
        for c in candidates
    }


def line(pool: str, candidates: Sequence[Candidate]) -> list[str]:
    """Return the names of candidates, the one that should lead the pool first.

    A machine that leads pools already has half, a third, ... left for one more. Equal
    ones are in an order of their own for each pool, so that leads spread.
    """
    strength = strengths(candidates)

    def order(candidate: Candidate) -> tuple[float, str]:
        digest = hashlib.blake2s(f"{pool}/{candidate.name}".encode()).hexdigest()
        return -_left(strength, candidate), digest

    return [candidate.name for candidate in sorted(candidates, key=order)]


def _left(strength: dict[str, float], candidate: Candidate) -> float:
    return strength[candidate.name] / (1 + candidate.leads)


def _part(has: float, best: float) -> float:
    return has / best if has else 1.0


def stronger_is_gone(
    name: str, living: Sequence[Candidate], gone: Sequence[Candidate]
) -> bool:
    """Return whether a daemon should wait for one that may come back.

    Load pattern: an outage of the store ends all registrations. The first daemon that
    is back sees no other one, and would take every pool whatever its machine has.
    """
    strength = strengths([*living, *gone])
    return any(strength[c.name] >= MUCH_STRONGER * strength[name] for c in gone)


class Successor(NamedTuple):
    """The daemon to which a lead should give a pool up."""

    name: str
    #: What the machines of the lead and of the successor have left for the pool.
    left_here: float
    left_there: float


def successor(
    pool: str, lead: str, candidates: Sequence[Candidate]
) -> Successor | None:
    """Return to whom the lead of a pool should give it up, None if it should stay.

    It goes to a machine that is much stronger by itself, not only less busy. A machine
    that leads other pools too also gives one up to a machine that leads none and is no
    weaker. Load pattern: the first of many thin machines that is up takes all pools,
    and carries none of them.

    Neither goes round: no move makes the machines that lead weaker, and where they stay
    equal, more of them lead. Where one of the two tells nothing, the pool stays.
    """
    by_name = {candidate.name: candidate for candidate in candidates}
    here, there = by_name[lead], by_name[line(pool, candidates)[0]]
    if not _tells(here.machine) or not _tells(there.machine):
        return None
    strength = strengths(candidates)
    found = Successor(there.name, _left(strength, here), _left(strength, there))
    is_much_stronger = strength[there.name] >= MUCH_STRONGER * strength[lead]
    is_no_weaker = strength[there.name] >= strength[lead]
    spreads = here.leads > 0 and there.leads == 0 and is_no_weaker
    has_much_more_left = found.left_there >= MUCH_STRONGER * found.left_here
    return found if has_much_more_left and (is_much_stronger or spreads) else None


def _tells(machine: Machine) -> bool:
    return machine.cores > 0 and machine.link_mbps > 0
