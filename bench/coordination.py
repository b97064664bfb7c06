"""Takeovers, handovers and store calls of six daemons with seven shards.

Time is simulated, and an answer of the store takes 1.5 to 4.5 ms.
"""

from __future__ import annotations

import copy
import json
import random
from pathlib import Path

from twisted.internet.defer import Deferred

from bench._report import percentile, report
from savorylead.clock import TwistedClock
from savorylead.config import ConfigEditor, InForceConfig
from savorylead_standins.nodes import CoordinatedCell, CoordinatedDaemon
from savorylead_standins.store import MemoryStore

BENCH = "coordination"
#: Daemons of each user today.
DAEMONS = 6
#: Seconds between two polls of members and heads.
POLL_S = 1.0
#: Repetitions of a takeover or handover, and of a change.
ROUNDS = 20
CHANGES = 60
CELL = Path(__file__).parents[1] / "examples" / "monteverde.json"


def started_cell() -> CoordinatedCell:
    cell = CoordinatedCell(DAEMONS)
    cell.run(70)
    assert cell.all_led_once()
    return cell


def busiest(cell: CoordinatedCell) -> CoordinatedDaemon:
    return max(cell.daemons, key=lambda daemon: len(daemon.leads()))


def measure_idle() -> None:
    """Count the store's calls when nothing happens."""
    cell = started_cell()
    before = cell.store.calls.copy()
    cell.run(60)
    calls = cell.store.calls - before
    reads = calls["get"] + calls["list"]
    watches = cell.store.calls["watch"]
    writes = sum(calls.values()) - reads
    report(BENCH, "idle_store_reads", reads / 60, "1/s", 2000)
    report(BENCH, "idle_store_writes_and_renewals", writes / 60, "1/s", 300)
    report(BENCH, "waiting_watches", watches, "1")
    polled = cell.store.peek("members/") | cell.store.peek("journal/heads/")
    per_second = sum(map(len, polled.values())) / POLL_S
    report(BENCH, "polled_by_one_daemon", per_second / 1000, "kB/s", 6)


def measure_takeovers() -> None:
    """Time from the death of a daemon until all its shards are led again."""
    times = []
    for killed in range(ROUNDS):
        cell = started_cell()
        cell.run(killed * 0.17)
        cell.kill(busiest(cell))
        times.append(cell.run(30, cell.all_led_once))
    report(BENCH, "takeover_p50", percentile(times, 0.5), "s", 5)
    report(BENCH, "takeover_max", max(times), "s", 5)


def measure_handovers() -> None:
    """Time from the beginning of a shutdown until all its shards are led again."""
    times = []
    for _ in range(ROUNDS):
        cell = started_cell()
        leaving = busiest(cell)
        leaving.membership.announce_shutdown()
        times.append(cell.run(30, lambda c=cell, d=leaving: _handed_over(c, d)))
    report(BENCH, "handover_p50", percentile(times, 0.5) * 1000, "ms")
    report(BENCH, "handover_max", max(times) * 1000, "ms")


def _handed_over(cell: CoordinatedCell, leaving: CoordinatedDaemon) -> bool:
    return not leaving.journals and cell.all_led_once()


def measure_storm() -> None:
    """Peak of store calls while daemons die and come back for two minutes."""
    cell = started_cell()
    since = int(cell.provider.seconds())
    rng = random.Random(3)
    for number in range(30):
        cell.kill(rng.choice(cell.daemons))
        cell.run(rng.uniform(0.5, 4.0))
        cell.daemons.append(CoordinatedDaemon(cell, f"again{number}"))
        cell.run(rng.uniform(0.0, 2.0))
    report(BENCH, "storm_peak_writes", cell.peak("writes", since), "1/s", 300)
    report(BENCH, "storm_peak_reads", cell.peak("reads", since), "1/s", 2000)


def measure_recovery() -> None:
    """Peak of store calls in the ten seconds after an outage of half a minute."""
    cell = started_cell()
    cell.store.faults.down = True
    cell.run(30)
    cell.store.faults.down = False
    since = int(cell.provider.seconds())
    cell.run(10)
    assert cell.all_led_once()
    report(BENCH, "recovery_peak_writes", cell.peak("writes", since), "1/s", 300)
    report(BENCH, "recovery_peak_reads", cell.peak("reads", since), "1/s", 2000)


class Follower:
    """A daemon that follows the configuration."""

    def __init__(self, store: MemoryStore, clock: TwistedClock, number: int) -> None:
        rng = random.Random(number)
        client = store.client(f"daemon{number}")
        self.config = InForceConfig(client, clock, rng)
        self.config.start()


def measure_configuration(silent: bool) -> None:
    """Time from the acceptance of a change until all daemons have it in force."""
    cell = CoordinatedCell(0)
    cell.store.faults.silent = lambda client: silent
    followers = [Follower(cell.store, cell.clock, n) for n in range(2 * DAEMONS)]
    editor = ConfigEditor(
        cell.store.client("editor"), cell.clock, random.Random(99), lambda _: None
    )
    document = json.loads(CELL.read_text())["cell"]
    rng = random.Random(5)
    times = []
    revision = 0
    for number in range(CHANGES):
        document = copy.deepcopy(document)
        document["teams"]["dispatch"]["share"] = float(number + 1)
        results: list = []
        edit = Deferred.fromCoroutine(editor.apply(document, revision))
        edit.addBoth(results.append)
        cell.run(5, lambda r=results: bool(r))
        revision = results[0].revision
        times.append(
            cell.run(
                10, lambda r=revision: all(f.config.revision >= r for f in followers)
            )
        )
        cell.run(rng.random() * 3)
    name = "watch_silent" if silent else "watch"
    head = sum(map(len, cell.store.peek("config/").values()))
    report(BENCH, f"config_polled_by_one_daemon_{name}", head / 1500, "kB/s", 6)
    report(BENCH, f"in_force_p50_{name}", percentile(times, 0.5), "s", 4)
    report(BENCH, f"in_force_max_{name}", max(times), "s", 4)


def main() -> None:
    """Print every figure; takes less than a minute."""
    measure_idle()
    measure_takeovers()
    measure_handovers()
    measure_storm()
    measure_recovery()
    for silent in (False, True):
        measure_configuration(silent)


if __name__ == "__main__":
    main()
