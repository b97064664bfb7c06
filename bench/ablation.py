"""Switches one mechanism off in a copy of the repository, to see what it is worth.

``python -m bench.ablation NAME DIR`` changes the copy in DIR (a clone, never this
repository); without arguments the names are listed. The days are then played from the
copy, and from one without a change, on the same seeds.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import NamedTuple

_PLANNING = "packages/savorylead/savorylead/pools"
_DAEMON = "packages/savorylead-daemon/savorylead_daemon/pool"


class Switch(NamedTuple):
    """How one mechanism is switched off."""

    name: str
    #: Relative to the repository.
    path: str
    #: Stands there once.
    text: str
    #: Stands there instead.
    without: str


class SwitchError(Exception):
    """The text that a switch replaces does not stand there once."""


SWITCHES = (
    Switch(
        "head-room",
        f"{_PLANNING}/_headroom.py",
        "        urgent = {q.name for",
        "        return 0\n        urgent = {q.name for",
    ),
    Switch(
        "preemption",
        f"{_PLANNING}/_preemption.py",
        "MAX_VICTIMS = 12",
        "MAX_VICTIMS = 0",
    ),
    Switch(
        "reservation",
        f"{_PLANNING}/_reservation.py",
        "    if queue.priority > RESERVING_PRIORITY",
        "    return False\n    if queue.priority > RESERVING_PRIORITY",
    ),
    Switch(
        "idle-jobs",
        f"{_PLANNING}/_idle_jobs.py",
        "        since_ms = self.since_ms(step)",
        "        return False\n        since_ms = self.since_ms(step)",
    ),
    Switch(
        "turns",
        f"{_PLANNING}/_turns.py",
        "MAX_TURNS = 2",
        "MAX_TURNS = 0",
    ),
    Switch(
        "learned-lengths",
        f"{_PLANNING}/_durations.py",
        "        averages = self._queues.get(queue)",
        "        return declared\n        averages = self._queues.get(queue)",
    ),
    Switch(
        "surplus-last",
        f"{_DAEMON}/_job_registry.py",
        "        surplus = level < 1.0",
        "        surplus = False",
    ),
    Switch(
        "advice-bound",
        f"{_DAEMON}/_advice_queue.py",
        "        for_short = _reserved_for_short(len(names))\n",
        "        return AdviceSlots(10_000, 10_000)\n"
        "        for_short = _reserved_for_short(len(names))\n",
    ),
    Switch(
        "advice-kept-for-short",
        f"{_DAEMON}/_advice_queue.py",
        "    return max(1, daemons // DAEMONS_PER_RESERVED)",
        "    return 0",
    ),
    Switch(
        "health",
        f"{_PLANNING}/_pool_worker.py",
        "            self.failures.avoided_until_ms(),\n"
        "            self._slow_until_ms,\n",
        "",
    ),
    Switch(
        "early-hand-over",
        f"{_DAEMON}/_cell_lease.py",
        "END_THROUGH_PEER_AFTER = timedelta(milliseconds=300)",
        "END_THROUGH_PEER_AFTER = timedelta(days=1)",
    ),
    Switch(
        "gathered-ends",
        f"{_DAEMON}/_progress_log.py",
        "BATCH_DELAY = timedelta(milliseconds=40)",
        "BATCH_DELAY = timedelta(0)",
    ),
    Switch(
        "jobs-through-peers",
        f"{_DAEMON}/_job_writer.py",
        "MAX_STORE_PEERS = 3",
        "MAX_STORE_PEERS = 0",
    ),
    Switch(
        "lead-named-by-peers",
        f"{_DAEMON}/_lead_finder.py",
        "MAX_PEERS_QUERIED = 2",
        "MAX_PEERS_QUERIED = 0",
    ),
    Switch(
        "overdue-writes",
        "packages/savorylead/savorylead/links/_answer_times.py",
        "    min_timeout: timedelta = timedelta(milliseconds=80)",
        "    min_timeout: timedelta = timedelta(milliseconds=600)",
    ),
    Switch(
        "overdue-looks",
        f"{_DAEMON}/_worker_answers.py",
        "    min_timeout=timedelta(milliseconds=150),",
        "    min_timeout=timedelta(milliseconds=700),",
    ),
    Switch(
        "shorter-looks",
        f"{_DAEMON}/_worker_answers.py",
        "LOSSY_FOR = timedelta(seconds=2)",
        "LOSSY_FOR = timedelta(0)",
    ),
)


def switch_off(name: str, root: Path) -> None:
    """Change the copy in ``root``; raises SwitchError and KeyError."""
    switch = {each.name: each for each in SWITCHES}[name]
    path = root / switch.path
    source = path.read_text()
    if source.count(switch.text) != 1:
        raise SwitchError(f"{name}: {switch.path} has changed")
    path.write_text(source.replace(switch.text, switch.without))


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.ablation")
    parser.add_argument("name", nargs="?", choices=[s.name for s in SWITCHES])
    parser.add_argument("copy", nargs="?", type=Path)
    args = parser.parse_args()
    if args.copy is None:
        sys.stdout.write("\n".join(s.name for s in SWITCHES) + "\n")
        return
    if (args.copy / "bench/ablation.py").samefile(__file__):
        parser.error("the copy is this repository itself")
    switch_off(args.name, args.copy)


if __name__ == "__main__":
    main()
