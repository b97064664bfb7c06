"""Simplified shards, leads and workers for tests of upper limits."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeProvider

from savorylead.clock import Clock, TwistedClock
from savorylead.contracts import (
    UNLIMITED_RESOURCES,
    EscrowedLimits,
    GrantHolder,
    TeamLimits,
)
from savorylead.resources import ZERO, Resources
from savorylead.store import Store
from savorylead_standins.store import FaultPlan, MemoryStore

#: Creates the limits of one lead from store, clock, rng, holder, shard, epoch.
LimitsFactory = Callable[
    [Store, Clock, random.Random, GrantHolder, str, int], TeamLimits
]


class RunningTask(NamedTuple):
    """One task on a worker."""

    number: int
    team: str
    resources: Resources


class LimitedShard:
    """The journal and the workers of a shard, which outlive its leads."""

    def __init__(self, name: str) -> None:
        self.name = name
        #: Epoch of the newest lead; starts of earlier ones are not durable.
        self.epoch = 0
        #: Tasks that run on workers, by number.
        self.running: dict[int, RunningTask] = {}
        #: Tasks placed according to the journal, including those whose end is not yet
        #: written.
        self.journaled: dict[int, RunningTask] = {}


class LimitedLead(GrantHolder):
    """One lead of a shard, which may have been deposed without noticing."""

    def __init__(self, cell: LimitCell, shard: LimitedShard, name: str) -> None:
        shard.epoch += 1
        self.shard = shard
        self.epoch = shard.epoch
        self.name = name
        self.grants: dict[str, Resources] = {}
        self.wanted: dict[str, Resources] = {}
        #: Free capacity of its workers; tests replace it.
        self.free = UNLIMITED_RESOURCES
        #: Tasks that the lead considers placed, by number.
        self.placed = dict(shard.journaled)
        self._held: dict[str, Resources] = {}
        for task in self.placed.values():
            self._held[task.team] = self.held(task.team).plus(task.resources)
        #: Tasks that it has placed but not yet written to the journal.
        self.unwritten: list[RunningTask] = []
        self.store = cell.store.client(name)
        self.limits = cell.make_limits(
            self.store, cell.clock, cell.rng, self, shard.name, self.epoch
        )
        self.limits.set_limits(cell.config_revision, cell.limits)
        self._step: Deferred[None] | None = None

    @property
    def current(self) -> bool:
        """Whether no later lead has opened the journal."""
        return self.epoch == self.shard.epoch

    def held(self, team: str) -> Resources:
        """Return the resources of the team's tasks that the lead considers placed."""
        return self._held.get(team, ZERO)

    def free_capacity(self) -> Resources:
        """Return the free capacity of the shard's workers."""
        return self.free

    def grant_changed(self, team: str, grant: Resources) -> None:
        """Store the new grant."""
        self.grants[team] = grant

    def want(self, team: str, wanted: Resources) -> None:
        """Set the demand of the waiting tasks."""
        self.wanted[team] = wanted
        self.limits.set_demand(team, wanted)

    def place(self, task: RunningTask) -> bool:
        """Place a task if the grant allows it; returns whether it did."""
        after = self.held(task.team).plus(task.resources)
        if not after.fits(self.grants.get(task.team, ZERO)):
            return False
        self.placed[task.number] = task
        self._held[task.team] = after
        self.unwritten.append(task)
        return True

    def write_journal(self) -> None:
        """Make placements durable and start them, unless the lead is deposed."""
        if self.current:
            for task in self.unwritten:
                self.shard.journaled[task.number] = task
                self.shard.running[task.number] = task
        self.unwritten = []

    def hear_end(self, number: int) -> None:
        """Process the report that a task has ended on its worker."""
        task = self.placed.pop(number, None)
        if task is not None:
            self._held[task.team] = self.held(task.team).minus(task.resources)

    def write_end(self, number: int) -> None:
        """Make a task's end durable, unless the lead is deposed."""
        if self.current:
            self.shard.journaled.pop(number, None)

    def begin_step(self) -> None:
        """Start a step of the limits unless the previous one is still running."""
        if self._step is not None and not self._step.called:
            return
        self._step = Deferred.fromCoroutine(self.limits.step())


class LimitCell:
    """Several shards and their leads on one store and one fake clock."""

    def __init__(
        self,
        shards: int,
        limits: Mapping[str, Resources],
        seed: int = 1,
        make_limits: LimitsFactory = EscrowedLimits,
    ) -> None:
        self.provider = FakeProvider()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.rng = random.Random(seed)
        self.faults = FaultPlan()
        self.store = MemoryStore(self.clock, self.rng, self.faults)
        self.make_limits = make_limits
        self.limits = dict(limits)
        self.config_revision = 1
        self.shards = [LimitedShard(f"s{number}") for number in range(shards)]
        #: All leads that have not been ended, including deposed ones.
        self.leads: list[LimitedLead] = []
        self._numbers = 0
        for shard in self.shards:
            self.take_over(shard)

    def take_over(self, shard: LimitedShard) -> LimitedLead:
        """Start a new lead on the shard's journal; the previous one keeps running."""
        lead = LimitedLead(self, shard, f"{shard.name}-e{shard.epoch + 1}")
        self.leads.append(lead)
        return lead

    def lead_of(self, shard: int) -> LimitedLead:
        """Return the newest lead of the shard with this index."""
        name = self.shards[shard].name
        return [lead for lead in self.leads if lead.shard.name == name][-1]

    def end_lead(self, lead: LimitedLead) -> None:
        """End a lead, as when it detects that it is deposed or its process dies."""
        lead.limits.close()
        self.leads.remove(lead)

    def set_limits(self, limits: Mapping[str, Resources]) -> None:
        """Change the configuration on all leads at once."""
        self.config_revision += 1
        self.limits = dict(limits)
        for lead in self.leads:
            lead.limits.set_limits(self.config_revision, self.limits)

    def new_task(self, team: str, resources: Resources) -> RunningTask:
        """Return a task with a unique number."""
        self._numbers += 1
        return RunningTask(self._numbers, team, resources)

    def start(self, shard: int, team: str, resources: Resources) -> RunningTask | None:
        """Start a task in a shard, or return None if its lead has no grant."""
        lead = self.lead_of(shard)
        task = self.new_task(team, resources)
        if not lead.place(task):
            return None
        lead.write_journal()
        return task

    def end(self, shard: int, number: int) -> None:
        """End a task on its worker and in the journal."""
        self.shards[shard].running.pop(number, None)
        for lead in self.leads:
            if lead.shard is self.shards[shard]:
                lead.hear_end(number)
                lead.write_end(number)

    def running(self, team: str) -> Resources:
        """Return the resources of the team's running tasks in all shards."""
        total = ZERO
        for shard in self.shards:
            for task in shard.running.values():
                if task.team == team:
                    total = total.plus(task.resources)
        return total

    def advance(self, seconds: float, step_s: float = 0.01) -> None:
        """Advance the clock; each lead begins a step every second."""
        end_s = self.provider.seconds() + seconds
        while self.provider.seconds() < end_s:
            before_s = self.provider.seconds()
            self.provider.advance(min(step_s, end_s - before_s))
            if int(self.provider.seconds()) != int(before_s):
                for lead in list(self.leads):
                    lead.begin_step()

    def let(self, delay: timedelta) -> None:
        """Advance the clock without steps of the limits."""
        self.provider.advance(delay.total_seconds())
