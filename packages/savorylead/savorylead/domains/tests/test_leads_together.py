"""Several daemons that take over, lead and hand over shards on one store."""

import random
from datetime import timedelta

import pytest

from savorylead.contracts import TaskId
from savorylead.journal import Forgotten
from savorylead_standins.nodes import (
    READS_PER_S,
    SHARDS,
    WRITES_PER_S,
    CoordinatedCell,
    CoordinatedDaemon,
)


def started(count):
    cell = CoordinatedCell(count)
    assert cell.run(10, cell.all_led_once) < 5
    cell.run(60)
    assert cell.all_led_once()
    return cell


def test_shards_spread_evenly_over_the_daemons():
    cell = started(6)
    assert sorted(len(daemon.leads()) for daemon in cell.daemons) == [1, 1, 1, 1, 1, 2]


@pytest.mark.parametrize("killed", [1, 3, 5])
def test_every_shard_is_led_again_within_five_seconds_of_a_kill(killed):
    cell = started(6)
    for daemon in cell.daemons[:killed]:
        cell.kill(daemon)
    assert cell.run(10, cell.all_led_once) < 5
    cell.run(60)
    assert cell.all_led_once()
    assert cell.refused == 0


def test_a_daemon_that_hands_over_leaves_no_gap_of_a_lease():
    cell = started(6)
    leaving = max(cell.daemons, key=lambda daemon: len(daemon.leads()))
    leaving.membership.announce_shutdown()

    def handed_over():
        return not leaving.journals and cell.all_led_once()

    assert cell.run(10, handed_over) < 1


def test_a_daemon_that_keeps_pausing_does_not_pull_shards_to_and_fro():
    cell = started(6)
    flapping = max(cell.daemons, key=lambda daemon: len(daemon.leads()))
    opened_before = sum(sum(d.opened.values()) for d in cell.daemons)
    for _ in range(10):
        flapping.pause.begin()
        cell.run(6)
        flapping.pause.end()
        cell.run(20)
    opened = sum(sum(d.opened.values()) for d in cell.daemons) - opened_before
    assert not flapping.leads()
    assert cell.all_led_once()
    # Its two shards moved away once, and at most two others moved to even the load.
    assert opened <= 4


def test_a_takeover_storm_stays_within_the_rates_of_the_store():
    """For two minutes, daemons are killed and replaced every few seconds."""
    cell = started(6)
    rng = random.Random(3)
    for number in range(30):
        victim = rng.choice(cell.daemons)
        cell.kill(victim)
        cell.run(rng.uniform(0.5, 4.0))
        cell.daemons.append(CoordinatedDaemon(cell, f"again{number}"))
        cell.run(rng.uniform(0.0, 2.0))
    assert cell.run(10, cell.all_led_once) < 5
    assert cell.refused == 0
    assert cell.peak("writes") < WRITES_PER_S / 2
    assert cell.peak("reads") < READS_PER_S / 2


@pytest.mark.parametrize("jump_ms", [-500, 500])
def test_a_clock_that_jumps_within_the_drift_bound_moves_no_shard(jump_ms):
    cell = started(6)
    leads_before = [daemon.leads() for daemon in cell.daemons]
    for number, daemon in enumerate(cell.daemons):
        daemon.clock.skew = timedelta(milliseconds=jump_ms * (number % 2))
        cell.run(5)
    assert [daemon.leads() for daemon in cell.daemons] == leads_before
    cell.kill(cell.daemons[0])
    assert cell.run(10, cell.all_led_once) < 5


def append_often(cell, daemon):
    """Make each lead append every 50 ms; failed appends are ignored."""
    event = Forgotten((TaskId("team", "workspace", "request"),))

    def tick():
        if not daemon.running:
            return
        for journal in list(daemon.journals.values()):
            journal.append([event]).addErrback(lambda failure: None)
        daemon.clock.call_later(timedelta(milliseconds=50), tick)

    tick()


def test_the_end_of_an_outage_brings_no_herd():
    cell = started(6)
    for daemon in cell.daemons:
        append_often(cell, daemon)
    cell.run(5)
    leads_before = [daemon.leads() for daemon in cell.daemons]
    usual_reads = cell.peak("reads", since=int(cell.provider.seconds()) - 4)
    cell.store.faults.down = True
    cell.run(30)
    assert all(d.membership.current().stale for d in cell.daemons)
    cell.store.faults.down = False
    recovered_at_s = int(cell.provider.seconds())
    cell.run(10)
    assert cell.all_led_once()
    assert [daemon.leads() for daemon in cell.daemons] == leads_before
    assert cell.refused == 0
    assert cell.peak("writes", since=recovered_at_s) < WRITES_PER_S
    assert cell.peak("reads", since=recovered_at_s) < 4 * usual_reads + 50


def test_a_lead_that_died_during_an_outage_is_replaced_after_it():
    cell = started(6)
    cell.store.faults.down = True
    cell.run(10)
    cell.kill(cell.daemons[0])
    cell.run(20)
    cell.store.faults.down = False
    assert cell.run(20, cell.all_led_once) < 7


def test_a_cell_whose_daemons_all_died_is_led_again_by_new_ones():
    cell = started(6)
    for daemon in list(cell.daemons):
        cell.kill(daemon)
    cell.run(10)
    cell.daemons = [CoordinatedDaemon(cell, f"new{number}") for number in range(6)]
    assert cell.run(20, cell.all_led_once) < 5


def test_daemons_restarted_under_their_names_lead_again():
    cell = started(6)
    names = [daemon.name for daemon in cell.daemons]
    for daemon in list(cell.daemons):
        cell.kill(daemon)
    cell.daemons = [CoordinatedDaemon(cell, name) for name in names]
    assert cell.run(20, cell.all_led_once) < 5


@pytest.mark.parametrize("latency_s", [0.6, 3.0])
def test_a_slow_store_moves_no_shard_and_ends_cleanly(latency_s):
    """Premise: a call that takes longer than its deadline still takes effect."""
    cell = started(6)
    for daemon in cell.daemons:
        append_often(cell, daemon)
    cell.run(2)
    leads_before = [daemon.leads() for daemon in cell.daemons]
    cell.store.faults.latency = timedelta(seconds=latency_s)
    cell.run(60)
    cell.store.faults.latency = timedelta(milliseconds=3)
    cell.run(15)
    assert [daemon.leads() for daemon in cell.daemons] == leads_before
    assert cell.all_led_once()


def test_after_a_store_that_failed_most_calls_shards_are_led_and_spread_again():
    """Two of three calls exceed their deadline, so daemons lapse at random."""
    cell = started(6)
    cell.store.faults.latency = timedelta(milliseconds=1200)
    cell.run(60)
    assert sum(daemon.membership.lapses for daemon in cell.daemons) > 2
    cell.store.faults.latency = timedelta(milliseconds=3)
    assert cell.run(15, cell.all_led_once) < 10
    cell.run(650)
    assert cell.all_led_once()
    assert sorted(len(daemon.leads()) for daemon in cell.daemons) == [1, 1, 1, 1, 1, 2]


@pytest.mark.parametrize("cut", [1, 3])
def test_daemons_cut_off_from_the_store_lose_their_shards_and_rejoin(cut):
    cell = started(6)
    names = [daemon.name for daemon in cell.daemons[:cut]]
    for daemon in cell.daemons:
        append_often(cell, daemon)
    cell.store.faults.cut.update(names)
    cell.run(7)
    reachable = [s for d in cell.daemons[cut:] for s in d.leads()]
    assert sorted(reachable) == sorted(shard.name for shard in SHARDS)
    cell.store.faults.cut.clear()
    cell.run(10)
    assert cell.all_led_once()
    assert not any(daemon.leads() for daemon in cell.daemons[:cut])
    cell.run(120)
    assert cell.all_led_once()
    assert all(daemon.leads() for daemon in cell.daemons)
