"""Writes, delay and processor time of the ring journal.

Store and clock are simulated: an answer takes 1.5 to 4.5 ms. Processor time includes
that of the simulated store.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Awaitable, Iterator
from datetime import UTC, datetime, timedelta
from typing import Any

from twisted.internet import task
from twisted.internet.defer import Deferred

from bench._report import percentile, report
from savorylead.clock import TwistedClock
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.journal import (
    Accepted,
    CancelRequested,
    Ended,
    Event,
    Forgotten,
    JournalSettings,
    Placed,
    RingJournal,
    ShardState,
    replay_shard,
)
from savorylead.outcomes import Done
from savorylead.resources import Resources
from savorylead_standins.store import MemoryStore

BENCH = "journal"
#: A lead's part of 7,500 running tasks, and a long queue.
RUNNING = 1_100
QUEUED = 10_000
#: Simulated seconds of each load.
LOAD_S = 10
#: Starts a second at one lead: 59 over seven leads; all 59; 2,000 over three.
RATES = (8, 59, 670)
#: Simulated seconds that a task runs at most, and that its answer is kept.
RUN_S = 2
KEEP_S = 4
#: Milliseconds between writes, and for which ends wait for others to go along with.
GATHERS = ((0, 0), (20, 0), (20, 150), (20, 300), (20, 500), (150, 150))
#: Entries between two snapshots of the compared rules.
FIXED_PERIODS = (100, 1_000, 10_000)


class SimulatedCell:
    """A store and a clock that only goes on when asked to."""

    def __init__(self) -> None:
        self.provider = task.Clock()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryStore(self.clock, random.Random(1))

    def journal(self, settings: JournalSettings) -> RingJournal:
        store = self.store.client("lead")
        return RingJournal(store, "s1", self.clock, random.Random(2), settings)

    def step(self) -> None:
        """Go on to the next scheduled call."""
        due = min(call.getTime() for call in self.provider.getDelayedCalls())
        self.provider.advance(max(0.0, due - self.provider.seconds()))

    def run(self, awaitable: Awaitable[Any]) -> Any:
        results: list[Any] = []
        Deferred.fromCoroutine(_awaited(awaitable)).addBoth(results.append)
        while not results:
            self.step()
        return results[0]

    def run_until(self, second: float) -> None:
        """Go on to a time that has not come yet."""
        while (calls := self.provider.getDelayedCalls()) and (
            min(call.getTime() for call in calls) <= second
        ):
            self.step()
        self.provider.advance(max(0.0, second - self.provider.seconds()))


async def _awaited(awaitable: Awaitable[Any]) -> Any:
    return await awaitable


def spec(number: int) -> TaskSpec:
    return TaskSpec(
        TaskId("planning", "routes", f"request-{number:08d}"),
        TaskKind.BATCH,
        Resources(2000, 4096, 0, 1),
        "nightly",
        run_time_ms=600_000,
        payload="x" * 64,
    )


def start_events(number: int, now_ms: int = 0) -> list[Event]:
    task_spec = spec(number)
    return [
        Accepted(task_spec, now_ms),
        Placed(task_spec.id, 1, f"worker-{number % 93}", "incarnation-1", now_ms),
    ]


def measure_replay() -> None:
    """Time a takeover of a lead with a long queue and a log of full length."""
    cell = SimulatedCell()
    journal = cell.journal(JournalSettings())
    cell.run(journal.open("old"))
    for first in range(0, RUNNING + QUEUED, 100):
        events: list[Event] = []
        for number in range(first, first + 100):
            events += start_events(number)[: 2 if number < RUNNING else 1]
        cell.run(journal.append(events))
    began = time.process_time()
    found = cell.run(replay_shard(cell.store.client("reader"), "s1"))
    took_s = time.process_time() - began
    assert len(found.state.records) == RUNNING + QUEUED
    report(BENCH, "replay_cpu_11100_tasks", took_s, "s", 1.0)
    values = cell.store.peek("journal/")
    report(BENCH, "state_in_store", sum(map(len, values.values())) / 1e6, "MB")
    successor = RingJournal(
        cell.store.client("new"), "s1", cell.clock, random.Random(3)
    )
    began = time.process_time()
    calls_before = cell.store.calls.total()
    simulated = cell.provider.seconds()
    cell.run(successor.open("new"))
    report(BENCH, "takeover_cpu", time.process_time() - began, "s", 1.0)
    simulated = cell.provider.seconds() - simulated
    report(BENCH, "takeover_store_time", simulated * 1000, "ms")
    report(BENCH, "takeover_store_calls", cell.store.calls.total() - calls_before, "1")


def measure_memory() -> None:
    """Weigh a lead's records, and the second state that the journal keeps."""
    tracemalloc.start()
    state = ShardState()
    for number in range(RUNNING + QUEUED):
        state.apply_all(start_events(number))
    records_bytes, _ = tracemalloc.get_traced_memory()
    report(BENCH, "state_memory_11100_tasks", records_bytes / 1e6, "MB")
    copy = state.copy()
    for record in list(copy.records.values()):
        copy.apply(CancelRequested(record.spec.id, 0))
    both_bytes, _ = tracemalloc.get_traced_memory()
    second = (both_bytes - records_bytes) / 1e6
    report(BENCH, "second_state_memory_11100_tasks", second, "MB", records_bytes / 1e6)
    tracemalloc.stop()


class Load:
    """Starts, ends and forgets tasks at a steady rate at one lead."""

    def __init__(self, cell: SimulatedCell, journal: RingJournal, rate: int) -> None:
        self.cell = cell
        self.journal = journal
        self.rate = rate
        self.appends = 0
        self.events = 0
        self.start_delays_ms: list[float] = []
        self.other_delays_ms: list[float] = []

    def run(self) -> None:
        """Make every append at its time."""
        for second, events in sorted(self.schedule(), key=lambda item: item[0]):
            if second > LOAD_S:
                return
            self.cell.run_until(second)
            self.append(events)

    def schedule(self) -> Iterator[tuple[float, list[Event]]]:
        rng = random.Random(4)
        done = Done("ok", "0123456789abcdef", 1)
        for number in range(self.rate * LOAD_S):
            started = rng.random() * LOAD_S
            ended = started + rng.random() * RUN_S
            name = spec(number).id
            yield started, start_events(number)
            yield ended, [Ended(name, done, 0)]
            yield ended + KEEP_S, [Forgotten((name,))]

    def append(self, events: list[Event]) -> None:
        self.appends += 1
        self.events += len(events)
        delays = self.other_delays_ms
        if isinstance(events[0], Accepted):
            delays = self.start_delays_ms
        asked_at = self.cell.provider.seconds()
        self.journal.append(events).addCallback(self.durable, asked_at, delays)

    def durable(self, _: object, asked_at: float, delays: list[float]) -> None:
        delays.append((self.cell.provider.seconds() - asked_at) * 1000)


def measure_load(rate: int, gather_ms: int, ends_ms: int) -> None:
    """Count writes and delays at one rate of starts."""
    cell = SimulatedCell()
    settings = JournalSettings(
        min_write_interval=timedelta(milliseconds=gather_ms),
        max_end_delay=timedelta(milliseconds=ends_ms),
    )
    journal = cell.journal(settings)
    cell.run(journal.open("lead"))
    load = Load(cell, journal, rate)
    swaps_before = cell.store.calls["swap"]
    began = time.process_time()
    load.run()
    took_s = time.process_time() - began
    name = f"{rate}_starts_gather_{gather_ms}_ends_{ends_ms}_ms"
    writes = (cell.store.calls["swap"] - swaps_before) / LOAD_S
    naive = load.appends / LOAD_S
    report(BENCH, f"store_writes_{name}", writes, "1/s", naive)
    per_event = writes * LOAD_S / load.events
    report(BENCH, f"writes_per_event_{name}", per_event, "1", 1.0)
    for part in (0.5, 0.99):
        delay = percentile(load.start_delays_ms, part)
        report(BENCH, f"start_p{round(part * 100)}_{name}", delay, "ms")
    delay = percentile(load.other_delays_ms, 0.5)
    report(BENCH, f"end_p50_{name}", delay, "ms")
    report(BENCH, f"cpu_per_event_{name}", took_s / load.events * 1e6, "us")


def write_steadily(entries: int) -> Iterator[Event]:
    """Keep as many tasks as a lead with a long queue has: one in, one out."""
    for number in range(entries):
        yield from start_events(RUNNING + QUEUED + number)
        yield Forgotten((spec(number).id,))


def measure_amplification() -> None:
    """Compare the bytes written with those of the events, at a steady length."""
    cell = SimulatedCell()
    journal = cell.journal(JournalSettings())
    cell.run(journal.open("lead"))
    for first in range(0, RUNNING + QUEUED, 100):
        numbers = range(first, first + 100)
        cell.run(journal.append([e for n in numbers for e in start_events(n)]))
    log_before = journal.log_bytes_written
    snapshots_before = journal.snapshot_bytes_written
    entries_before = journal.entries_written
    events: list[Event] = []
    for event in write_steadily(40_000):
        events.append(event)
        if len(events) == 30:
            cell.run(journal.append(events))
            events = []
    log = journal.log_bytes_written - log_before
    snapshots = journal.snapshot_bytes_written - snapshots_before
    entries = journal.entries_written - entries_before
    report(BENCH, "write_amplification", (log + snapshots) / log, "1", 1.0)
    snapshot = sum(map(len, cell.store.peek("journal/snapshots/").values()))
    for period in FIXED_PERIODS:
        amplification = 1 + snapshot / (period * log / entries)
        name = f"write_amplification_snapshot_every_{period}_entries"
        report(BENCH, name, amplification, "1", 1.0)


def main() -> None:
    """Print every figure; takes less than a minute."""
    measure_replay()
    measure_memory()
    measure_amplification()
    for rate in RATES:
        for gather_ms, ends_ms in GATHERS:
            measure_load(rate, gather_ms, ends_ms)


if __name__ == "__main__":
    main()
