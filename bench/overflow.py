"""Which shard a task should go to when its home is full."""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from random import Random

from bench._report import report
from savorylead.domains import rendezvous_order

SHARDS = [f"shard{number}" for number in range(7)]
#: Running tasks that a shard can hold.
SLOTS_A_SHARD = 1_100
STARTS_A_SECOND = 59
MEAN_RUN_S = 124.0
DIGEST_S = 5.0
#: Most shards that are asked for one task.
TRIES = 3
SECONDS = 600
WORKSPACES = 276


class Targets(ABC):
    """Orders the shards to ask after the home."""

    def __init__(self) -> None:
        #: Free slots as the last digest told them.
        self.digest: dict[str, int] = dict.fromkeys(SHARDS, SLOTS_A_SHARD)
        self.random = Random(17)

    @abstractmethod
    def order(self, key: str, home: str) -> list[str]:
        """Return shards to ask one after the other."""


class TopWinners(Targets):
    """The next winners of the hash that chose the home, in their order."""

    def order(self, key: str, home: str) -> list[str]:
        return [name for name in rendezvous_order(key, SHARDS) if name != home]


class MostRoom(Targets):
    """The shards with the most room in the last digest."""

    def order(self, key: str, home: str) -> list[str]:
        others = [name for name in SHARDS if name != home]
        return sorted(others, key=lambda name: -self.digest[name])


class WeightedRoom(Targets):
    """Random shards, each as likely as its room in the last digest is large."""

    def order(self, key: str, home: str) -> list[str]:
        others = [name for name in SHARDS if name != home]
        return sorted(
            others,
            key=lambda name: (
                -(self.random.random() ** (1 / max(self.digest[name], 1e-3)))
            ),
        )


def replay(name: str, targets: Targets) -> None:
    random = Random(19)
    free = dict.fromkeys(SHARDS, SLOTS_A_SHARD)
    ends: list[tuple[float, str]] = []
    offers = overflowed = refused = 0
    now, digest_at = 0.0, 0.0
    while now < SECONDS:
        now += random.expovariate(STARTS_A_SECOND)
        while ends and ends[0][0] <= now:
            free[heapq.heappop(ends)[1]] += 1
        if now >= digest_at:
            targets.digest = dict(free)
            digest_at = now + DIGEST_S
        workspace = int(random.paretovariate(0.7)) % WORKSPACES
        home = rendezvous_order(f"space{workspace}", SHARDS)[0]
        chosen = home if free[home] else None
        if chosen is None:
            overflowed += 1
            for other in targets.order(f"space{workspace}", home)[:TRIES]:
                offers += 1
                if free[other]:
                    chosen = other
                    break
        if chosen is None:
            refused += 1
            continue
        free[chosen] -= 1
        heapq.heappush(ends, (now + random.expovariate(1 / MEAN_RUN_S), chosen))
    report("overflow", f"{name}_offers_a_task", offers / overflowed, "offers")
    report("overflow", f"{name}_not_placed", refused / overflowed, "part of overflowed")


def main() -> None:
    replay("top_winners", TopWinners())
    replay("most_room", MostRoom())
    replay("room_weighted", WeightedRoom())


if __name__ == "__main__":
    main()
