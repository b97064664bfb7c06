"""A fenced lead on its own: of two processes that believe to lead, one can act."""

import random

from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import Clock, TwistedClock
from savorylead.contracts import TaskId
from savorylead.journal import DeposedError, Forgotten, RingJournal, read_heads
from savorylead_standins.store import MemoryStore


async def take_over(service: MemoryStore, clock: Clock) -> list[str]:
    leads = {
        name: RingJournal(service.client(name), "north", clock, random.Random(name))
        for name in ("first", "second")
    }
    await leads["first"].open("first")
    # The second takes the shard while the first is paused or cut off.
    await leads["second"].open("second")
    results = []
    for name, journal in leads.items():
        event = Forgotten((TaskId("intake", "photographs", name),))
        try:
            await journal.append([event])
            results.append(f"{name} acted at epoch {journal.epoch}")
        except DeposedError as exc:
            results.append(f"{name} must not act: {exc}")
    heads = await read_heads(service.client("reader"))
    return [*results, f"{heads['north'].lead} leads"]


def main(reactor: object) -> Deferred[None]:
    clock = TwistedClock.starting_now(reactor)
    service = MemoryStore(clock, random.Random(2))
    return Deferred.fromCoroutine(take_over(service, clock)).addCallback(print)


if __name__ == "__main__":
    task.react(main)
