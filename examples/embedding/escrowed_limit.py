"""An upper limit that two processes share: each holds a part of it in escrow."""

import random
from datetime import timedelta

from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import Clock, TwistedClock
from savorylead.contracts import EscrowedLimits, GrantHolder, limit_from_amounts
from savorylead.resources import ZERO, Resources
from savorylead_standins.store import MemoryStore

ONE_SECOND = timedelta(seconds=1)
LIMITS = {"imaging": limit_from_amounts({"accelerators": 8})}


class Restorer(GrantHolder):
    """Runs work of its own; in this example it holds nothing yet."""

    def held(self, team: str) -> Resources:
        return ZERO

    def grant_changed(self, team: str, grant: Resources) -> None:
        """Start no more than ``grant`` from now on."""


async def share_limit(store: MemoryStore, clock: Clock) -> list[int]:
    shares = []
    for shard, wanted in (("north", 6), ("south", 6)):
        limits = EscrowedLimits(
            store.client(shard), clock, random.Random(1), Restorer(), shard, epoch=1
        )
        limits.set_limits(config_revision=1, limits=LIMITS)
        limits.set_demand("imaging", Resources(accelerators=wanted))
        await limits.step()
        await clock.sleep(ONE_SECOND)
        shares.append(limits.grant("imaging").accelerators)
        limits.close()
    return shares


def main(reactor: object) -> Deferred[None]:
    clock = TwistedClock.starting_now(reactor)
    store = MemoryStore(clock, random.Random(2))
    return Deferred.fromCoroutine(share_limit(store, clock)).addCallback(print)


if __name__ == "__main__":
    task.react(main)
