"""What a lead does every so often, whether or not anybody calls."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead.clock import to_millis
from savorylead.journal import DeposedError, Forgotten
from savorylead.workers import VmListError

from ._fleet import ShardFleet
from ._ledger import ShardLedger
from ._parts import LeadParts
from ._periodic import Periodic
from ._run_follower import RunFollower

if TYPE_CHECKING:
    from collections.abc import Callable

#: Most records that one journal entry forgets.
MAX_FORGOTTEN_PER_ENTRY = 1000


class EpochProof:
    """Knows since when it is proved that this lead's epoch still stands.

    A write to the journal proves it, since only the true lead's writes succeed.
    """

    def __init__(
        self, parts: LeadParts, ledger: ShardLedger, on_deposed: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._ledger = ledger
        self._on_deposed = on_deposed
        self._proved_at = parts.clock.now()
        self._under_way = False

    def may_renew(self) -> bool:
        """Return whether this lead may still renew its workers' leases."""
        proved_for = self._parts.clock.now() - self._proved_at
        if proved_for <= self._parts.times.epoch_grace:
            return True
        return self._parts.bridges_outage()

    def renew(self) -> None:
        """Write an entry that changes nothing, unless one is still under way."""
        if self._under_way:
            return
        self._under_way = True
        sent_at = self._parts.clock.now()
        done = self._ledger.commit([Forgotten(())])
        done.addCallbacks(self._on_durable, self._on_failed, callbackArgs=(sent_at,))

    def _on_durable(self, _: None, sent_at: datetime) -> None:
        self._under_way = False
        self._proved_at = max(self._proved_at, sent_at)

    def _on_failed(self, failure: Failure) -> None:
        failure.trap(DeposedError)
        self._on_deposed()


class VmListFollower:
    """Reads the platform's list of VMs and moves work off those that leave."""

    def __init__(self, parts: LeadParts, fleet: ShardFleet, runs: RunFollower) -> None:
        self._parts = parts
        self._fleet = fleet
        self._runs = runs
        self._reading = False
        self._closed = False

    def close(self) -> None:
        """Ignore a reading that is under way."""
        self._closed = True

    def read(self) -> None:
        """Read the list, unless a reading is under way."""
        if not self._reading:
            self._reading = True
            Deferred.fromCoroutine(self._read())

    async def _read(self) -> None:
        try:
            entries = await self._parts.vm_list.read()
        except VmListError:
            return
        finally:
            self._reading = False
        if self._closed:
            return
        for session in self._fleet.take_list(entries):
            self._runs.checkpoint_all(session)
        for session in self._fleet:
            self._fleet.drop_if_gone(session)


class RetentionSweep:
    """Forgets ended tasks once repeats of them are no longer answered."""

    def __init__(self, parts: LeadParts, ledger: ShardLedger) -> None:
        self._parts = parts
        self._ledger = ledger

    def run(self) -> None:
        """Forget what ended before the retention time, by one scan."""
        now_ms = to_millis(self._parts.clock.now())
        retention_ms = int(self._parts.times.retention.total_seconds() * 1000)
        old = [
            task
            for task, record in self._ledger.state.records.items()
            if record.ended_at_ms and record.ended_at_ms < now_ms - retention_ms
        ]
        for start in range(0, len(old), MAX_FORGOTTEN_PER_ENTRY):
            chunk = tuple(old[start : start + MAX_FORGOTTEN_PER_ENTRY])
            done = self._ledger.commit([Forgotten(chunk)])
            done.addErrback(lambda failure: failure.trap(DeposedError) and None)


class Upkeep:
    """Runs everything periodic of one lead."""

    def __init__(
        self,
        parts: LeadParts,
        proof: EpochProof,
        vm_list: VmListFollower,
        retention: RetentionSweep,
        plan: Callable[[], None],
    ) -> None:
        clock, times = parts.clock, parts.times
        self._vm_list = vm_list
        self._series = [
            Periodic(clock, times.plan_interval, plan),
            Periodic(clock, times.vm_list_interval, vm_list.read),
            Periodic(clock, times.epoch_proof_interval, proof.renew),
            Periodic(clock, times.retention / 60, retention.run),
        ]

    def close(self) -> None:
        """End every series."""
        self._vm_list.close()
        for series in self._series:
            series.close()
