"""Runs one cell of the matrix: a fault at a step, followed by every checker."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from savorylead.outcomes import Outcome
from savorylead_standins.cell import CellVariant
from savorylead_standins.checkers import Violation, check_all

from ._faults import FAULTS, Fault
from ._faulty_cell import FaultyCell, Location, Observation
from ._scenario import SERVICES_END_S, SHAPE, Scenario
from ._steps import STEPS, Step

#: Seconds from the start of the daemons to the first submission.
WARM_UP_S = 8
#: Seconds after the last fault and the last submission within which every accepted
#: task has its final answer: twice the time by which a worker's lease has certainly
#: expired.
SETTLE_BOUND_S = 90
#: Number of sampled pairs of faults, and the seed of the sample.
PAIRS = 60
PAIRS_SEED = 100_000
#: Interval in seconds at which a condition is polled.
POLL_INTERVAL_S = 5
#: Seconds for which the cell runs on after it has settled.
POST_SETTLE_S = 2


class FaultAt(NamedTuple):
    """A fault and the step at which it begins."""

    fault: type[Fault]
    step: Step

    def label(self) -> str:
        """Return a label with the names of both."""
        return f"{self.fault.name} at {self.step.name}"


class CellReport(NamedTuple):
    """The result of one run."""

    seed: int
    faults: tuple[FaultAt, ...]
    violations: tuple[Violation, ...]
    #: Names of the steps that were never reached.
    missed: tuple[str, ...]
    #: Number of requests with a final answer.
    answers: int

    def ok(self) -> bool:
        """Return whether there are no violations and no missed steps."""
        return not self.violations and not self.missed


class _Trigger:
    """Begins a fault when its step is first reached and ends it after its duration."""

    def __init__(self, cell: FaultyCell, placed: FaultAt) -> None:
        self._cell = cell
        self._fault = placed.fault()
        self._step = placed.step
        self.reached = False
        self.over = False
        cell.watchers.append(self._watch)

    def step_name(self) -> str:
        """Return the name of the step."""
        return self._step.name

    def _watch(self, observation: Observation) -> None:
        location = self._step.location(observation)
        if location is not None and not self.reached:
            self._begin(location)

    def _begin(self, location: Location) -> None:
        self.reached = True
        self._cell.watchers.remove(self._watch)
        self._fault.begin(self._cell, location)
        delay = timedelta(seconds=self._fault.duration_s)
        self._cell.clock.call_later(delay, self._end)

    def _end(self) -> None:
        self._fault.end(self._cell)
        self.over = True


class MatrixRun:
    """One run of the scenario with any number of faults."""

    def __init__(
        self,
        seed: int,
        faults: Sequence[FaultAt],
        variant: CellVariant | None = None,
    ) -> None:
        self._seed = seed
        self._faults = tuple(faults)
        self.cell = FaultyCell(seed, SHAPE, variant or CellVariant())
        self.scenario = Scenario(self.cell)
        self._found: list[Violation] = []

    def run(self) -> CellReport:
        """Run the scenario to its end and check the history."""
        cell = self.cell
        cell.begin()
        cell.run(WARM_UP_S)
        triggers = [_Trigger(cell, placed) for placed in self._faults]
        self.scenario.begin()
        cell.run(SERVICES_END_S)
        longest = max((f.fault.duration_s for f in self._faults), default=0)
        self._run_until(lambda: all(t.over for t in triggers), longest)
        settled = self._run_until(self._is_settled, SETTLE_BOUND_S)
        if not settled:
            self._note_unsettled()
        self._fetch_all_again()
        cell.run(POST_SETTLE_S)
        history = cell.finish(settled)
        missed = [t for t in triggers if not t.reached]
        return CellReport(
            seed=self._seed,
            faults=self._faults,
            violations=tuple(self._found + self._errors() + check_all(history)),
            missed=tuple(t.step_name() for t in missed),
            answers=len(self.scenario.callers.final_answers),
        )

    def _run_until(self, is_done: Callable[[], bool], bound_s: float) -> bool:
        """Advance time until a condition holds; returns False on timeout."""
        passed_s = 0.0
        while not is_done() and passed_s < bound_s:
            self.cell.run(POLL_INTERVAL_S)
            passed_s += POLL_INTERVAL_S
        return is_done()

    def _is_settled(self) -> bool:
        led = all(len(names) == 1 for names in self.cell.leads().values())
        return led and not self.scenario.callers.open

    def _note_unsettled(self) -> None:
        for shard, names in self.cell.leads().items():
            if len(names) != 1:
                self._found.append(Violation("settle", f"{shard} is led by {names}"))
        for task in sorted(self.scenario.callers.open):
            self._found.append(Violation("settle", f"{task} has no answer"))

    def _fetch_all_again(self) -> None:
        answers: dict[object, Outcome] = self.scenario.callers.final_answers
        for task in sorted(answers):
            self.scenario.callers.fetch_again(self.scenario.requests[task])

    def _errors(self) -> list[Violation]:
        return [Violation("error", repr(f.value)) for f in self.cell.errors]


def single_faults() -> list[FaultAt]:
    """Return the pairs of every fault with every step, in the order of the table."""
    return [FaultAt(fault, step) for fault in FAULTS for step in STEPS]


def seed_of(placed: FaultAt) -> int:
    """Return the fixed seed of a cell of the table."""
    return 1000 * (1 + FAULTS.index(placed.fault)) + STEPS.index(placed.step)


def sampled_pairs() -> list[list[FaultAt]]:
    """Return the fixed sample of pairs of different faults."""
    rng = random.Random(PAIRS_SEED)
    singles = single_faults()
    pairs: list[list[FaultAt]] = []
    while len(pairs) < PAIRS:
        pair = rng.sample(singles, 2)
        if pair[0].fault is not pair[1].fault:
            pairs.append(pair)
    return pairs


def pair_seed(index: int) -> int:
    """Return the fixed seed of a sampled pair."""
    return PAIRS_SEED + index
