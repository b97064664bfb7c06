"""A shard's journal on its own: events survive the process that wrote them."""

import random

from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import Clock, TwistedClock
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.journal import Accepted, Placed, RingJournal, replay_shard
from savorylead.resources import Resources
from savorylead.store import Store
from savorylead_standins.store import MemoryStore

SPEC = TaskSpec(
    TaskId("intake", "photographs", "sign-17"),
    TaskKind.BATCH,
    Resources(cores_milli=2000, memory_mb=4096, slots=1),
    queue="nightly",
)


async def write_and_read(store: Store, clock: Clock) -> list[str]:
    journal = RingJournal(store, "north", clock, random.Random(1))
    await journal.open("process-1")
    # The task may be told to its caller, and to a worker, once this returned.
    await journal.append([Accepted(SPEC, 0), Placed(SPEC.id, 1, "w3", "boot-9", 0)])
    await journal.resign()
    found = await replay_shard(store, "north")
    return [f"{name}: {record.phase}" for name, record in found.state.records.items()]


def main(reactor: object) -> Deferred[None]:
    clock = TwistedClock.starting_now(reactor)
    store = MemoryStore(clock, random.Random(2)).client("process-1")
    return Deferred.fromCoroutine(write_and_read(store, clock)).addCallback(print)


if __name__ == "__main__":
    task.react(main)
