"""Upper limits: store calls against a central counter, and how fast grants move."""

from __future__ import annotations

import random
import statistics

from bench._report import percentile, report
from savorylead.contracts import limit_from_amounts
from savorylead.resources import ZERO, Resources
from savorylead_standins.limits import LimitCell

SHARDS = 7
TEAMS = 46
STARTS_PER_S = 59
MEAN_RUN_S = 127
WARM_UP_S = 300
MEASURED_S = 60
TICK_S = 0.1
ONE = Resources(cores_milli=1000, memory_mb=2000, slots=1)
#: Limits of the teams in turn, as multiples of their usual use.
FACTORS = (0.9, 1.5, 4.0)


class _Load:
    """Tasks of 46 teams of unlike size that arrive at seven shards and end."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.teams = [f"team-{number:02}" for number in range(TEAMS)]
        self.weights = [1 / (1 + number) for number in range(TEAMS)]
        running = STARTS_PER_S * MEAN_RUN_S
        total = sum(self.weights)
        limits = {}
        for number, team in enumerate(self.teams):
            usual = running * self.weights[number] / total
            factor = FACTORS[number % len(FACTORS)]
            limits[team] = limit_from_amounts({"cores": max(4, int(usual * factor))})
        self.cell = LimitCell(SHARDS, limits, seed)
        self.waiting: dict[tuple[int, str], int] = {}
        self.ends: list[tuple[float, int, int]] = []
        self.starts = 0
        self.ended = 0

    def run(self, seconds: float) -> None:
        end_s = self.cell.provider.seconds() + seconds
        while self.cell.provider.seconds() < end_s:
            self._arrive()
            self._place()
            self._end()
            self.cell.advance(TICK_S, step_s=0.02)

    def _arrive(self) -> None:
        for _ in range(round(STARTS_PER_S * TICK_S + self.rng.uniform(-0.5, 0.5))):
            team = self.rng.choices(self.teams, self.weights)[0]
            key = (self.rng.randrange(SHARDS), team)
            self.waiting[key] = self.waiting.get(key, 0) + 1

    def _place(self) -> None:
        for (shard, team), count in list(self.waiting.items()):
            while count and (task := self.cell.start(shard, team, ONE)):
                count -= 1
                self.starts += 1
                end_s = self.rng.expovariate(1 / MEAN_RUN_S)
                self.ends.append(
                    (self.cell.provider.seconds() + end_s, shard, task.number)
                )
            self.cell.lead_of(shard).want(team, ONE.times(count))
            self.waiting[shard, team] = count
            if not count:
                del self.waiting[shard, team]

    def _end(self) -> None:
        now_s = self.cell.provider.seconds()
        for _, shard, number in [end for end in self.ends if end[0] <= now_s]:
            self.cell.end(shard, number)
            self.ended += 1
        self.ends = [end for end in self.ends if end[0] > now_s]


def _measure_calls() -> None:
    load = _Load(seed=7)
    load.run(WARM_UP_S)
    load.cell.store.calls.clear()
    load.starts = load.ended = 0
    load.run(MEASURED_S)
    calls = load.cell.store.calls
    # A counter in the store is written at each start and each end.
    counter_writes = load.starts + load.ended
    report(
        "limits",
        "store_writes_per_1000_starts",
        calls["swap"] / load.starts * 1000,
        "writes",
        counter_writes / load.starts * 1000,
    )
    for method in ("swap", "list", "get"):
        rate = calls[method] / MEASURED_S
        report("limits", f"fleet_{method}_calls_per_s", rate, "calls/s")
    sizes = [len(v) for v in load.cell.store.peek("limits/").values()]
    report("limits", "record_bytes_mean", statistics.fmean(sizes), "bytes")
    wants = load.cell.store.peek("limit-wants/")
    report("limits", "wants_bytes", sum(map(len, wants.values())), "bytes")
    used = sum(load.cell.running(team).cores_milli for team in load.teams[::3])
    bound = sum(load.cell.limits[team].cores_milli for team in load.teams[::3])
    report("limits", "use_of_binding_limits", used / bound, "part", 1.0)


def _time_to_move(silent: bool, seed: int) -> float:
    """Return seconds until a busy shard starts all that an idle one could hold."""
    cell = LimitCell(SHARDS, {"team": limit_from_amounts({"cores": 40})}, seed)
    cell.faults.silent = lambda client: silent
    cell.advance(random.Random(seed).random())
    cell.lead_of(0).want("team", ONE.times(40))
    cell.advance(3)
    cell.lead_of(0).want("team", ZERO)
    cell.advance(3 + random.Random(seed).random())
    cell.lead_of(1).want("team", ONE.times(40))
    began_s = cell.provider.seconds()
    while len(cell.shards[1].running) < 40:
        cell.advance(0.02)
        while cell.start(1, "team", ONE):
            continue
        left = 40 - len(cell.shards[1].running)
        cell.lead_of(1).want("team", ONE.times(left))
    return cell.provider.seconds() - began_s


def main() -> None:
    _measure_calls()
    for name, silent in (("watched", False), ("watches_silent", True)):
        times = [_time_to_move(silent, seed) for seed in range(20)]
        report("limits", f"idle_grant_moves_{name}_p50", percentile(times, 0.5), "s")
        report("limits", f"idle_grant_moves_{name}_max", max(times), "s")


if __name__ == "__main__":
    main()
