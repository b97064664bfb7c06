"""Several leads on one journal, compared with a simple list of committed entries.

Leads are paused, resumed, deposed and closed while the store loses replies, applies
writes late, loses calls and refuses them.
"""

import random
from collections import deque
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.journal import (
    Accepted,
    AppendTooLargeError,
    DeposedError,
    EpochBegan,
    JournalBusyError,
    JournalError,
    JournalSettings,
    RingJournal,
    ShardState,
    _codec,
    _slot_writer,
    _takeover,
    replay_shard,
)
from savorylead.resources import Resources
from savorylead.store import StoreError, SwapConflict
from savorylead_standins.nodes import PausableClock, PausableStore, Pause
from savorylead_standins.store import CallFate, MemoryStore

LOG_PREFIX = "journal/log/s1/"
SETTINGS = JournalSettings(
    ring_slots=16, entry_bytes=700, chunk_bytes=500, snapshot_log_bytes=900
)


def accepted(name, payload):
    spec = TaskSpec(
        TaskId("t", "w", name),
        TaskKind.BATCH,
        Resources(1000, 64, 0, 1),
        "q",
        payload=payload,
    )
    return Accepted(spec, 10)


class CommittedLog:
    """Reference model: all log entries that the store accepted, in order."""

    def __init__(self):
        #: The state after each entry, starting with that of an empty log.
        self.states = [ShardState()]
        self.names = []
        self.epoch = 0
        self.parts = []

    def apply_entry(self, key, value):
        entry = _codec.decode_entry(key, value)
        index = len(self.states)
        assert entry.index == index, f"entry {entry.index} written as {index}"
        assert entry.epoch >= self.epoch, "an older epoch wrote an entry"
        if entry.epoch > self.epoch:
            self.parts = []
        self.epoch = entry.epoch
        self.parts += _codec.decode_events(key, entry)
        state = self.states[-1]
        if not entry.more:
            state = state.copy()
            state.apply_all(self.parts)
            self.names += [e.spec.id.request for e in self.parts if is_accepted(e)]
            self.parts = []
        self.states.append(state)

    def state_at_epoch(self, epoch):
        """Return the state immediately after the first entry of the epoch."""
        found = [state for state in self.states if state.epoch == epoch]
        assert found, f"epoch {epoch} never began"
        return found[0]


def is_accepted(event):
    return isinstance(event, Accepted)


class RecordingStore(MemoryStore):
    """Records every log write that takes effect in the reference model."""

    def __init__(self, *args):
        super().__init__(*args)
        self.log = CommittedLog()

    def swap(self, key, value, expected_revision, lease_id):
        result = super().swap(key, value, expected_revision, lease_id)
        if not isinstance(result, SwapConflict) and key.startswith(LOG_PREFIX):
            self.log.apply_entry(key, value)
        return result


class Append:
    """One append of a lead and its result."""

    def __init__(self, lead, names, deferred):
        self.lead = lead
        self.names = names
        self.acknowledged = False
        self.settled_failure = False
        deferred.addCallbacks(self._done, self._failed)
        deferred.addErrback(lead.cell.errors.append)

    def _done(self, _):
        self.acknowledged = True
        self.lead.cell.check_acknowledged(self.lead, self)

    def _failed(self, failure):
        if failure.check(AppendTooLargeError):
            self.settled_failure = True
            return
        failure.trap(DeposedError)
        self.settled_failure = failure.value.settled


class Lead:
    """A process that leads the shard, or that does not know it was deposed."""

    def __init__(self, cell, name):
        self.cell = cell
        self.name = name
        self.pause = Pause()
        self.appends = []
        self.state = None
        self.journal = RingJournal(
            PausableStore(cell.store.client(name), self.pause),
            "s1",
            PausableClock(cell.clock, self.pause),
            random.Random(name),
            SETTINGS,
        )
        opening = Deferred.fromCoroutine(self.journal.open(name))
        opening.addCallbacks(self._opened, self._not_opened)
        opening.addErrback(cell.errors.append)

    def _opened(self, state):
        self.state = state
        if self.cell.fenced:
            expected = self.cell.store.log.state_at_epoch(self.journal.epoch)
            assert list(state.records.items()) == list(expected.records.items())
        assert (state.epoch, state.lead) == (self.journal.epoch, self.name)
        for lead in self.cell.all_leads:
            for append in lead.appends:
                if append.acknowledged:
                    self.cell.check_acknowledged(lead, append)

    def _not_opened(self, failure):
        failure.trap(StoreError, DeposedError)

    def append(self, names, payload):
        events = [accepted(name, payload) for name in names]
        self.appends.append(Append(self, names, self.journal.append(events)))


class SeveralLeads(RuleBasedStateMachine):
    """Drives up to four processes that take the shard from each other."""

    #: Whether each lead begins by an entry of its own.
    fenced = True

    def __init__(self):
        super().__init__()
        self.provider = task.Clock()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.store = RecordingStore(self.clock, random.Random(1))
        self.store.faults.fate = self._fate
        self.fates = deque()
        self.leads = []
        self.all_leads = []
        self.count = 0
        self.errors = []

    def _fate(self, call):
        if call.client == "checker" or not self.fates:
            return CallFate.ANSWERED
        return self.fates.popleft()

    def check_acknowledged(self, lead, append):
        """Every later lead that was open by then knows what was acknowledged."""
        for later in self.all_leads:
            if later.state is not None and later.journal.epoch > lead.journal.epoch:
                held = {task_id.request for task_id in later.state.records}
                missing = set(append.names) - held
                assert not missing, f"epoch {later.journal.epoch} misses {missing}"

    @initialize()
    def first_lead(self):
        self.open_lead()
        self.advance(1.0)

    @rule()
    def open_lead(self):
        if len(self.leads) == 4:
            self.leads.pop(0).journal.close()
        self.count += 1
        lead = Lead(self, f"lead{self.count}")
        self.leads.append(lead)
        self.all_leads.append(lead)

    @rule(which=st.integers(0, 3), count=st.integers(1, 4), size=st.integers(0, 500))
    def append(self, which, count, size):
        lead = self.leads[which % len(self.leads)]
        names = []
        for _ in range(count):
            self.count += 1
            names.append(f"r{self.count}")
        lead.append(names, "x" * size)

    @rule(
        which=st.integers(0, 3),
        seconds=st.sampled_from([0.001, 0.002, 0.01, 0.3, 1.0, 5.0]),
    )
    def append_and_advance(self, which, seconds):
        self.append(which, 1, 100)
        self.advance(seconds)

    @rule(seconds=st.sampled_from([0.001, 0.002, 0.01, 0.3, 1.0, 5.0]))
    def advance(self, seconds):
        end = self.provider.seconds() + seconds
        while (calls := self.provider.getDelayedCalls()) and (
            (due := min(call.getTime() for call in calls)) <= end
        ):
            self.provider.advance(max(0.0, due - self.provider.seconds()))
        self.provider.advance(max(0.0, end - self.provider.seconds()))

    @rule(
        fates=st.lists(
            st.sampled_from(list(CallFate) + [CallFate.ANSWERED] * 4), max_size=8
        )
    )
    def fail_calls(self, fates):
        self.fates.extend(fates)

    @rule(latency=st.sampled_from([0.003, 0.003, 0.6, 2.0]))
    def change_speed(self, latency):
        """A store slower than its callers' deadline takes calls, but too late."""
        self.store.faults.latency = timedelta(seconds=latency)

    @rule(down=st.booleans())
    def change_outage(self, down):
        self.store.faults.down = down

    @rule(which=st.integers(0, 3))
    def pause(self, which):
        self.leads[which % len(self.leads)].pause.begin()

    @rule(which=st.integers(0, 3))
    def resume(self, which):
        self.leads[which % len(self.leads)].pause.end()

    @rule(which=st.integers(0, 3))
    def resign(self, which):
        lead = self.leads[which % len(self.leads)]
        resigning = Deferred.fromCoroutine(lead.journal.resign())
        resigning.addErrback(lambda failure: failure.trap(DeposedError))
        resigning.addErrback(self.errors.append)

    @rule(which=st.integers(0, 3))
    def close(self, which):
        self.leads[which % len(self.leads)].journal.close()

    @rule()
    def replay(self):
        """A reader sees a state that the log had while it read."""
        self._mend_store()
        before = len(self.store.log.states) - 1
        found = self._replayed()
        if found is None or isinstance(found, JournalBusyError):
            return
        assert found.index >= before
        assert found.state.records == self.store.log.states[found.index].records

    @invariant()
    def nothing_else_failed(self):
        for failure in self.errors:
            failure.raiseException()

    @invariant()
    def no_event_is_written_twice(self):
        names = self.store.log.names
        assert len(names) == len(set(names))

    @invariant()
    def acknowledged_events_are_in_the_log(self):
        names = set(self.store.log.names)
        for lead in self.all_leads:
            for append in lead.appends:
                if append.acknowledged:
                    assert names.issuperset(append.names)

    def teardown(self):
        self.fates.clear()
        self._mend_store()
        for lead in self.all_leads:
            lead.pause.end()
        self.advance(30.0)
        self.open_lead()
        self.advance(10.0)
        self.nothing_else_failed()
        self._check_fate_of_appends()
        found = self._replayed()
        assert [t.request for t in found.state.records] == self.store.log.names

    def _mend_store(self):
        self.store.faults.latency = timedelta(milliseconds=3)
        self.store.faults.down = False

    def _check_fate_of_appends(self):
        names = self.store.log.names
        position = {name: index for index, name in enumerate(names)}
        for lead in self.all_leads:
            places = []
            for append in lead.appends:
                found = [name for name in append.names if name in position]
                assert found in ([], append.names), "half an append is durable"
                assert not (append.settled_failure and found)
                places += [position[name] for name in found]
            assert places == sorted(places)

    def _replayed(self):
        results = []
        store = self.store.client("checker")
        reading = Deferred.fromCoroutine(replay_shard(store, "s1"))
        reading.addErrback(lambda failure: failure.trap(JournalError) and failure.value)
        reading.addBoth(results.append)
        while not results:
            self.advance(0.001)
        return results[0]


class LeadsWithoutFence(SeveralLeads):
    """The same, for a journal whose leads write no entry when they open."""

    fenced = False


def run_machine(machine, examples, steps):
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(HealthCheck),
            database=None,
            print_blob=False,
            phases=[Phase.generate],
        ),
    )


def test_several_leads_agree_with_the_naive_model():
    run_machine(SeveralLeads, 300, 50)


async def _take_over_without_fence(self, replay, lead):
    """Open at the end of the log without writing to the older lead's next slot."""
    replay.state.apply(EpochBegan(self._head.head.epoch, lead))
    return True


async def _overwrite_any_revision(self, key, value, batch, expected):
    """Write with the current revision of the slot."""
    current = await self._store.get(key)
    revision = current.revision if current else 0
    result = await self._store.swap(key, value, revision)
    if isinstance(result, SwapConflict):
        return await _overwrite_any_revision(self, key, value, batch, expected)
    return result.revision


async def _treat_timeout_as_success(self, key, batch, expected):
    """Treat a timed-out write as one that took effect."""
    return expected + 1


@pytest.mark.parametrize(
    ("machine", "owner", "method", "broken", "symptom"),
    [
        (
            LeadsWithoutFence,
            _takeover.Takeover,
            "_fence",
            _take_over_without_fence,
            "epoch . misses",
        ),
        (
            SeveralLeads,
            _slot_writer.SlotWriter,
            "_try_write",
            _overwrite_any_revision,
            "entry . written as .|an older epoch wrote",
        ),
        (
            SeveralLeads,
            _slot_writer.SlotWriter,
            "_read_back",
            _treat_timeout_as_success,
            # An acknowledged event or an epoch is missing, or a slot was overwritten.
            "epoch . misses|epoch . never began|written as",
        ),
    ],
)
def test_a_broken_journal_is_caught(
    monkeypatch, machine, owner, method, broken, symptom
):
    monkeypatch.setattr(owner, method, broken)
    with pytest.raises(AssertionError, match=symptom):
        run_machine(machine, 200, 40)
