"""A cell whose calls are observed, so that faults can begin at exact steps."""

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


class Location(NamedTuple):
    """Where a step was reached; an empty name is unknown."""

    daemon: str = ""
    worker: str = ""


@dataclass(frozen=True)
class RequestObservation:
    """A call was sent over the network."""

    call: NetworkCall


@dataclass(frozen=True)
class ResultObservation:
    """The target of a call has produced a result but not yet replied."""

    call: NetworkCall
    result: Any


@dataclass(frozen=True)
class CallerObservation:
    """An event of a caller or an operator at a daemon."""

    event: str
    daemon: str


#: Observations that identify a step, all made outside the daemons.
Observation = StoreCall | RequestObservation | ResultObservation | CallerObservation

StoreFate = Callable[[StoreCall], CallFate]
NetworkFate = Callable[[NetworkCall], CallFate]


class FaultyCell(FakeCell):
    """A cell that reports calls to watchers, then applies the active faults."""

    def __init__(self, seed: int, shape: CellShape, variant: CellVariant) -> None:
        super().__init__(seed, shape, variant)
        #: Called with every observation.
        self.watchers: list[Callable[[Observation], None]] = []
        #: Functions of the active faults that choose the fate of a store call; the
        #: first fate other than ANSWERED applies.
        self.store_fates: list[StoreFate] = []
        #: The same for network calls.
        self.network_fates: list[NetworkFate] = []
        #: Cancels all open requests of the callers; set by the scenario.
        self.cancel_all: Callable[[], None] = lambda: None
        #: Starts concurrent configuration changes; set by the scenario.
        self.race_operators: Callable[[], None] = lambda: None
        self.store_faults.fate = self._store_fate
        self.network_plan.fate = self._network_fate
        self.network_plan.on_call = lambda call: self.notify_watchers(
            RequestObservation(call)
        )
        self.network_plan.on_result = lambda call, result: self.notify_watchers(
            ResultObservation(call, result)
        )

    def notify_watchers(self, observation: Observation) -> None:
        """Report an observation to the watchers."""
        for watcher in list(self.watchers):
            watcher(observation)

    def pick_daemon(self, location: Location) -> str:
        """Return the given daemon if it runs, else a random running one, else ""."""
        if location.daemon in self.daemons:
            return location.daemon
        names = sorted(self.daemons)
        return self.rng.choice(names) if names else ""

    def pick_worker(self, location: Location) -> str:
        """Return the given worker if it exists, else a random one, preferably busy."""
        if location.worker in self.workers:
            return location.worker
        busy = [name for name, w in sorted(self.workers.items()) if w.running()]
        return self.rng.choice(busy or sorted(self.workers))

    def ready_daemons(self) -> list[RunningDaemon]:
        """Return the daemons to which the load balancer routes calls."""
        running = [self.daemons[name] for name in sorted(self.daemons)]
        return [r for r in running if r.ready and not r.process.paused]

    def _store_fate(self, call: StoreCall) -> CallFate:
        self.notify_watchers(call)
        return _first_fate(self.store_fates, call)

    def _network_fate(self, call: NetworkCall) -> CallFate:
        return _first_fate(self.network_fates, call)


def _first_fate(fates: list[Callable[[Any], CallFate]], call: object) -> CallFate:
    for fate in fates:
        chosen = fate(call)
        if chosen is not CallFate.ANSWERED:
            return chosen
    return CallFate.ANSWERED
