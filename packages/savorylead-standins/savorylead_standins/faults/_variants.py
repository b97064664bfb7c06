"""Deliberately broken variants, each of which a checker must catch."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager, ExitStack
from datetime import timedelta
from typing import Any, NamedTuple
from unittest import mock

from savorylead.contracts import GrantHolder, TaskId, TeamLimits
from savorylead.outcomes import NotRun, Refusal
from savorylead.store import ABSENT, SwapConflict, Swapped
from savorylead.workers import Inventory, StaleEpoch, WorkerState, WrongIncarnation
from savorylead_daemon.gateway import CallerGateway
from savorylead_daemon.lead import _fleet, _reconciler
from savorylead_standins.cell import CellVariant, FakeCell, Process, UnsharedTeamLimits
from savorylead_standins.store import MemoryStore
from savorylead_standins.workers import MemoryWorker

from ._faults import DaemonPaused, Fault, StoreDown, VmListStale, WorkerFailing
from ._matrix import FaultAt, MatrixRun, seed_of
from ._steps import STEPS

#: Maximum number of seeds tried for a variant, and the distance between them.
MAX_SEEDS = 8
SEED_STRIDE = 7

Patch = Callable[[], AbstractContextManager[Any]]


class UnsharedLimitsVariant(CellVariant):
    """Grants every shard the full upper limit of a team."""

    def open_limits(
        self,
        cell: FakeCell,
        process: Process,
        shard: str,
        epoch: int,
        holder: GrantHolder,
    ) -> TeamLimits:
        """Return team limits without escrow."""
        return UnsharedTeamLimits(holder)


class BrokenVariant(NamedTuple):
    """A defect, the fault and step that expose it, and the checker to catch it."""

    name: str
    #: Name of the checker that must catch it.
    checker: str
    fault: type[Fault]
    step: str
    patches: tuple[Patch, ...] = ()
    variant: CellVariant = CellVariant()

    def caught_by(self) -> list[str]:
        """Run the cell and return the checkers that found something.

        Whether the defect causes a violation depends on timing, so further seeds are
        tried until the variant's own checker reports one.
        """
        caught: set[str] = set()
        with ExitStack() as stack:
            for patch in self.patches:
                stack.enter_context(patch())
            for number in range(MAX_SEEDS):
                caught |= self._run(number)
                if self.checker in caught:
                    break
        return sorted(caught)

    def _run(self, number: int) -> set[str]:
        step = next(step for step in STEPS if step.name == self.step)
        placed = FaultAt(self.fault, step)
        run = MatrixRun(seed_of(placed) + SEED_STRIDE * number, [placed], self.variant)
        return {violation.invariant for violation in run.run().violations}


_swap = MemoryStore.swap
_renew = MemoryWorker.renew


def _swap_unfenced(
    store: MemoryStore,
    key: str,
    value: bytes | None,
    expected_revision: int,
    lease_id: str | None,
) -> Swapped | SwapConflict:
    """Write a journal key regardless of its revision."""
    if key.startswith("journal/"):
        current = store.get(key)
        expected_revision = current.revision if current else ABSENT
    return _swap(store, key, value, expected_revision, lease_id)


def _decline_unfenced(
    worker: MemoryWorker, epoch: int, incarnation: str
) -> WrongIncarnation | None:
    """Accept commands of any epoch."""
    current = worker.inventory().incarnation
    return None if incarnation == current else WrongIncarnation(current)


def _renew_unfenced(
    worker: MemoryWorker, epoch: int, lease: timedelta
) -> Inventory | StaleEpoch:
    """Accept renewals of any epoch."""
    worker._epoch = 0
    return _renew(worker, epoch, lease)


async def _claim_not_run(
    gateway: CallerGateway, shard: str, tasks: Sequence[TaskId]
) -> dict[TaskId, NotRun]:
    """Reply "not run" without writing a tombstone."""
    return dict.fromkeys(tasks, NotRun(Refusal.NO_LEAD))


#: Every broken variant.
VARIANTS: tuple[BrokenVariant, ...] = (
    BrokenVariant(
        "no fencing",
        "at_most_once",
        DaemonPaused,
        "accept journaled",
        (
            lambda: mock.patch.object(MemoryStore, "swap", _swap_unfenced),
            lambda: mock.patch.object(MemoryWorker, "_decline", _decline_unfenced),
            lambda: mock.patch.object(MemoryWorker, "renew", _renew_unfenced),
        ),
    ),
    BrokenVariant(
        "no tombstone",
        "not_run",
        StoreDown,
        "accept journaled",
        (lambda: mock.patch.object(CallerGateway, "_prove_not_run", _claim_not_run),),
    ),
    BrokenVariant(
        "no escrow",
        "limits",
        VmListStale,
        "checkpointed",
        variant=UnsharedLimitsVariant(),
    ),
    BrokenVariant(
        "retry of non-repeatable work",
        "at_most_once",
        WorkerFailing,
        "started",
        (lambda: mock.patch.object(_reconciler, "_is_repeatable", lambda _: True),),
    ),
    BrokenVariant(
        "drain ignored",
        "departures",
        VmListStale,
        "checkpointed",
        (
            lambda: mock.patch.object(
                _fleet.ShardFleet, "_judge", lambda *_: WorkerState.READY
            ),
        ),
    ),
)
