"""Escrowed limits under interleavings that hypothesis chooses."""

import random

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from savorylead.contracts import EscrowedLimits, TeamLimits, limit_from_amounts
from savorylead.contracts._limit_record import decode_limit_record
from savorylead.resources import ZERO, Resources
from savorylead_standins.limits import LimitCell, UnansweredWriteIgnored, UnclaimedLimit
from savorylead_standins.store import CallFate

TEAM = "imaging"
SHARDS = 3
#: Outcomes of a store call; late writes do the most harm, so they are more frequent.
FATES = (
    CallFate.REPLY_LOST,
    CallFate.LANDS_LATE,
    CallFate.LANDS_LATE,
    CallFate.LANDS_LATE,
    CallFate.LOST,
    CallFate.REFUSED,
)
LIMITS = st.sampled_from([0, 4, 8, 16, 40])
SHARD = st.integers(0, SHARDS - 1)
SIZES = st.integers(1, 5)


def cores(amount):
    return Resources(cores_milli=amount * 1000, memory_mb=amount, slots=1)


def limits(amount):
    return {TEAM: limit_from_amounts({"cores": amount, "accelerators": 0})}


class UnescrowedLimits(TeamLimits):
    """Deliberately broken: each lead checks the whole limit on its own."""

    def __init__(self, store, clock, rng, holder, shard, epoch):
        self._holder = holder

    def set_limits(self, config_revision, limits):
        for team, limit in limits.items():
            self._holder.grant_changed(team, limit)

    def set_demand(self, team, wanted):
        return

    def grant(self, team):
        return self._holder.grants[team]

    def excess(self, team):
        return ZERO

    async def step(self):
        return

    def close(self):
        return


class LimitMachine(RuleBasedStateMachine):
    """Leads start and end work while the store and the other leads interfere."""

    make_limits = EscrowedLimits

    @initialize(seed=st.integers(0, 2**16), limit=LIMITS)
    def begin(self, seed, limit):
        self.cell = LimitCell(SHARDS, limits(limit), seed, self.make_limits)
        self.rng = random.Random(seed)
        self.trouble = 0.0
        self.limit = limit
        #: Highest limit so far; running tasks may still use it.
        self.bound = limit
        self.cell.faults.late_by = self.cell.faults.deadline * 2
        self.cell.faults.fate = self._fate

    def _fate(self, call):
        trouble = self.trouble if call.method == "swap" else self.trouble / 4
        if self.rng.random() < trouble:
            return self.rng.choice(FATES)
        return CallFate.ANSWERED

    @rule(trouble=st.sampled_from([0.0, 0.4, 0.8]))
    def change_trouble(self, trouble):
        self.trouble = trouble

    @rule(shard=SHARD, size=SIZES, count=st.integers(0, 8))
    def want(self, shard, size, count):
        self.cell.lead_of(shard).want(TEAM, cores(size).times(count))

    @rule(which=st.integers(0, 9), size=SIZES, count=st.integers(1, 8))
    def place(self, which, size, count):
        lead = self.cell.leads[which % len(self.cell.leads)]
        for _ in range(count):
            lead.place(self.cell.new_task(TEAM, cores(size)))

    @rule(which=st.integers(0, 9))
    def write_journal(self, which):
        self.cell.leads[which % len(self.cell.leads)].write_journal()

    @rule(shard=SHARD, which=st.integers(0, 99), heard=st.integers(0, 3))
    def end_task(self, shard, which, heard):
        running = list(self.cell.shards[shard].running)
        if not running:
            return
        number = running[which % len(running)]
        del self.cell.shards[shard].running[number]
        for lead in self.cell.leads:
            if lead.shard is self.cell.shards[shard]:
                if heard > 0:
                    lead.hear_end(number)
                if heard > 1:
                    lead.write_end(number)

    @rule(seconds=st.sampled_from([0.01, 0.03, 1.0, 3.0, 12.0]))
    def pass_time(self, seconds):
        self.cell.advance(seconds, step_s=0.01 if seconds < 1 else 0.1)

    @rule(shard=SHARD)
    def take_over(self, shard):
        if len(self.cell.leads) < 8:
            self.cell.take_over(self.cell.shards[shard])

    @rule(shard=SHARD, other=SHARD, size=SIZES)
    def shift_demand_and_take_over(self, shard, other, size):
        """Change the lead while a write that reduces its grant is in flight."""
        self.cell.lead_of(shard).want(TEAM, ZERO)
        self.cell.lead_of(other).want(TEAM, cores(size).times(8))
        self.cell.advance(2.0, step_s=0.1)
        if len(self.cell.leads) < 8:
            lead = self.cell.take_over(self.cell.shards[shard])
            lead.want(TEAM, cores(1).times(8))

    @rule(shard=SHARD, other=SHARD, size=SIZES)
    def shift_demand_and_back(self, shard, other, size):
        """Restore the demand while the write that reduces the grant is unanswered."""
        lead = self.cell.lead_of(shard)
        lead.want(TEAM, ZERO)
        self.cell.lead_of(other).want(TEAM, cores(size).times(8))
        self.cell.advance(2.2, step_s=0.1)
        lead.want(TEAM, cores(1).times(8))
        for _ in range(8):
            lead.place(self.cell.new_task(TEAM, cores(1)))
        lead.write_journal()

    @rule(which=st.integers(0, 9))
    def notice_deposed(self, which):
        deposed = [lead for lead in self.cell.leads if not lead.current]
        if deposed:
            self.cell.end_lead(deposed[which % len(deposed)])

    @rule(which=st.integers(0, 9))
    def cut(self, which):
        lead = self.cell.leads[which % len(self.cell.leads)]
        self.cell.faults.cut ^= {lead.name}

    @rule(limit=LIMITS)
    def change_limit(self, limit):
        self.cell.set_limits(limits(limit))
        self.limit = limit
        self.bound = max(self.bound, limit)

    @invariant()
    def running_is_within_the_limit(self):
        if not hasattr(self, "cell"):
            return
        running = self.cell.running(TEAM).cores_milli
        record = self._record()
        if record is not None and record.fully_in_force():
            granted_bound = record.limit.cores_milli
        else:
            granted_bound = self.bound * 1000
        assert running <= granted_bound
        assert running <= self.bound * 1000

    @invariant()
    def what_leads_count_on_is_within_the_grants(self):
        if not hasattr(self, "cell"):
            return
        record = self._record()
        for shard in self.cell.shards:
            lead = self.cell.lead_of(self.cell.shards.index(shard))
            counted = lead.grants.get(TEAM, ZERO).cores_milli
            running = sum(t.resources.cores_milli for t in shard.running.values())
            granted = 0 if record is None else record.granted(shard.name).cores_milli
            assert max(counted, running) <= granted

    def _record(self):
        value = self.cell.store.peek("limits/").get(f"limits/{TEAM}")
        return None if value is None else decode_limit_record(value)


class UnescrowedMachine(LimitMachine):
    """The same rules with leads that do not divide the limit."""

    make_limits = UnescrowedLimits

    @invariant()
    def what_leads_count_on_is_within_the_grants(self):
        return


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)


def test_limit_holds_under_all_interleavings_tried():
    run_state_machine_as_test(LimitMachine, settings=SETTINGS)


def test_leads_without_escrow_are_caught():
    unshrunk = settings(SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(UnescrowedMachine, settings=unshrunk)


@pytest.mark.parametrize("broken", [UnclaimedLimit, UnansweredWriteIgnored])
def test_broken_escrow_is_caught(broken, monkeypatch):
    monkeypatch.setattr("savorylead.contracts._escrowed_limits.EscrowedLimit", broken)
    unshrunk = settings(SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(LimitMachine, settings=unshrunk)
