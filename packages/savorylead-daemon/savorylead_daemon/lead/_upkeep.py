"""Periodic maintenance of a lead."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead.clock import to_millis
from savorylead.contracts import TaskId
from savorylead.journal import DeposedError, Forgotten, Phase, TaskRecord
from savorylead.workers import VmListError

from ._fleet import ShardFleet
from ._ledger import ShardLedger
from ._offers import OfferError
from ._parts import LeadParts
from ._periodic import Periodic
from ._run_follower import RunFollower

if TYPE_CHECKING:
    from collections.abc import Callable

#: Maximum number of records that one journal entry removes.
MAX_FORGOTTEN_PER_ENTRY = 1000
#: Maximum number of moved jobs in one query to another shard.
MAX_JOBS_PER_QUERY = 500


class EpochProof:
    """Tracks when it was last proved that this lead's epoch is current.

    A successful write to the journal proves it, since only writes of the current lead
    succeed.
    """

    def __init__(
        self, parts: LeadParts, ledger: ShardLedger, on_deposed: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._ledger = ledger
        self._on_deposed = on_deposed
        self._proved_at = parts.clock.now()
        self._in_flight = False

    def may_renew(self) -> bool:
        """Return whether this lead may renew its workers' leases."""
        proved_for = self._parts.clock.now() - self._proved_at
        if proved_for <= self._parts.times.epoch_grace:
            return True
        return self._parts.bridges_outage()

    def renew(self) -> None:
        """Write an entry that changes nothing, unless one is in flight."""
        if self._in_flight:
            return
        self._in_flight = True
        sent_at = self._parts.clock.now()
        done = self._ledger.commit([Forgotten(())])
        done.addCallbacks(self._on_durable, self._on_failed, callbackArgs=(sent_at,))

    def _on_durable(self, _: None, sent_at: datetime) -> None:
        self._in_flight = False
        self._proved_at = max(self._proved_at, sent_at)

    def _on_failed(self, failure: Failure) -> None:
        failure.trap(DeposedError)
        self._on_deposed()


class VmListPoller:
    """Polls the platform's list of VMs and moves work off VMs that are leaving."""

    def __init__(self, parts: LeadParts, fleet: ShardFleet, runs: RunFollower) -> None:
        self._parts = parts
        self._fleet = fleet
        self._runs = runs
        self._reading = False
        self._closed = False

    def close(self) -> None:
        """Ignore the result of a read in flight."""
        self._closed = True

    def read(self) -> None:
        """Read the list, unless a read is in flight."""
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
        for session in self._fleet.apply_vm_list(entries):
            self._runs.checkpoint_all(session)
        for session in self._fleet:
            self._fleet.drop_if_gone(session)


class RetentionSweep:
    """Removes records of ended tasks after the retention time.

    The record of a moved task is removed only once the target shard has removed its
    own: without a record here, a repeated request would run a second time.
    """

    def __init__(self, parts: LeadParts, ledger: ShardLedger) -> None:
        self._parts = parts
        self._ledger = ledger
        self._querying = False

    def run(self) -> None:
        """Scan for records older than the retention time and remove them."""
        old = self._old_records()
        self._forget([t for t, record in old if record.phase is not Phase.MOVED])
        moved: dict[str, list[TaskId]] = {}
        for task, record in old:
            if record.phase is Phase.MOVED:
                moved.setdefault(record.target, []).append(task)
        if moved and not self._querying:
            self._querying = True
            asking = Deferred.fromCoroutine(self._forget_moved(moved))
            asking.addBoth(self._after_query)

    def _old_records(self) -> list[tuple[TaskId, TaskRecord]]:
        now_ms = to_millis(self._parts.clock.now())
        retention_ms = int(self._parts.times.retention.total_seconds() * 1000)
        return [
            (task, record)
            for task, record in self._ledger.state.records.items()
            if record.ended_at_ms and record.ended_at_ms < now_ms - retention_ms
        ]

    async def _forget_moved(self, moved: dict[str, list[TaskId]]) -> None:
        for target, tasks in sorted(moved.items()):
            jobs = list(dict.fromkeys(task.job() for task in tasks))
            for start in range(0, len(jobs), MAX_JOBS_PER_QUERY):
                part = jobs[start : start + MAX_JOBS_PER_QUERY]
                try:
                    gone = set(await self._parts.router.forgotten(target, part))
                except OfferError:
                    # The next sweep repeats the query.
                    break
                self._forget([task for task in tasks if task.job() in gone])

    def _after_query(self, result: object) -> object:
        self._querying = False
        return result

    def _forget(self, tasks: list[TaskId]) -> None:
        for start in range(0, len(tasks), MAX_FORGOTTEN_PER_ENTRY):
            chunk = tuple(tasks[start : start + MAX_FORGOTTEN_PER_ENTRY])
            done = self._ledger.commit([Forgotten(chunk)])
            done.addErrback(lambda failure: failure.trap(DeposedError) and None)


class Upkeep:
    """Runs the periodic work of one lead."""

    def __init__(
        self,
        parts: LeadParts,
        proof: EpochProof,
        vm_list: VmListPoller,
        retention: RetentionSweep,
        plan: Callable[[], None],
    ) -> None:
        clock, times = parts.clock, parts.times
        self._vm_list = vm_list
        self._periodic_calls = [
            Periodic(clock, times.plan_interval, plan),
            Periodic(clock, times.vm_list_interval, vm_list.read),
            Periodic(clock, times.epoch_proof_interval, proof.renew),
            Periodic(clock, times.retention / 60, retention.run),
        ]

    def close(self) -> None:
        """Stop all periodic calls."""
        self._vm_list.close()
        for series in self._periodic_calls:
            series.close()
