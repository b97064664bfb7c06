"""A whole cell whose calls are seen, so that faults begin at exact steps."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from savorylead_standins.cell import (
    CellShape,
    CellVariant,
    FakeCell,
    NetworkCall,
    RunningDaemon,
)
from savorylead_standins.store import CallFate, StoreCall


class Spot(NamedTuple):
    """Where a step was reached; empty names are not known."""

    daemon: str = ""
    worker: str = ""


@dataclass(frozen=True)
class RequestSight:
    """A call set out over the network."""

    call: NetworkCall


@dataclass(frozen=True)
class ResultSight:
    """The target of a call has a result; the reply has not travelled yet."""

    call: NetworkCall
    result: Any


@dataclass(frozen=True)
class CallerSight:
    """A caller or an operator did or saw something at a daemon."""

    event: str
    daemon: str


#: Everything from which a step can be told, all of it seen from outside.
Sight = StoreCall | RequestSight | ResultSight | CallerSight

StoreFate = Callable[[StoreCall], CallFate]
NetworkFate = Callable[[NetworkCall], CallFate]


class FaultyCell(FakeCell):
    """A cell whose calls pass by watchers and then by the faults in force."""

    def __init__(self, seed: int, shape: CellShape, variant: CellVariant) -> None:
        super().__init__(seed, shape, variant)
        #: Called with everything that is seen.
        self.watchers: list[Callable[[Sight], None]] = []
        #: What the faults in force do to calls of the store; the first that does
        #: anything decides.
        self.store_fates: list[StoreFate] = []
        #: The same for calls over the network.
        self.network_fates: list[NetworkFate] = []
        #: Cancels everything that callers have open; the workload sets it.
        self.cancel_all: Callable[[], None] = lambda: None
        #: Lets several operators change the configuration at once.
        self.race_operators: Callable[[], None] = lambda: None
        self.store_faults.fate = self._store_fate
        self.network_plan.fate = self._network_fate
        self.network_plan.on_call = lambda call: self.see(RequestSight(call))
        self.network_plan.on_result = lambda call, result: self.see(
            ResultSight(call, result)
        )

    def see(self, sight: Sight) -> None:
        """Tell the watchers of something."""
        for watcher in list(self.watchers):
            watcher(sight)

    def pick_daemon(self, spot: Spot) -> str:
        """Return the spot's daemon, or else one that runs, or "" if none does."""
        if spot.daemon in self.daemons:
            return spot.daemon
        names = sorted(self.daemons)
        return self.rng.choice(names) if names else ""

    def pick_worker(self, spot: Spot) -> str:
        """Return the spot's worker, or else a busy one."""
        if spot.worker in self.workers:
            return spot.worker
        busy = [name for name, w in sorted(self.workers.items()) if w.running()]
        return self.rng.choice(busy or sorted(self.workers))

    def ready_daemons(self) -> list[RunningDaemon]:
        """Return the daemons to which the balancer sends callers."""
        running = [self.daemons[name] for name in sorted(self.daemons)]
        return [r for r in running if r.ready and not r.process.paused]

    def _store_fate(self, call: StoreCall) -> CallFate:
        self.see(call)
        return _first_fate(self.store_fates, call)

    def _network_fate(self, call: NetworkCall) -> CallFate:
        return _first_fate(self.network_fates, call)


def _first_fate(fates: list[Callable[[Any], CallFate]], call: object) -> CallFate:
    for fate in fates:
        chosen = fate(call)
        if chosen is not CallFate.ANSWERED:
            return chosen
    return CallFate.ANSWERED
