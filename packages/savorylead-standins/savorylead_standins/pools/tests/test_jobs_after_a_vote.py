"""A job accepted after a vote on a live lead is not started by that lead as well."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from savorylead.clock import to_millis
from savorylead.jobs import JobRecord, JobState
from savorylead.pools import (
    Changes,
    Committed,
    Conflict,
    Put,
    StorePage,
    WorkerCalls,
    WorkerEntry,
)
from savorylead.store import KeyValue, StoreTimeoutError
from savorylead.workers import WorkerTimeoutError
from savorylead_daemon.pool._keys import (
    CELL_PREFIX,
    GRANTS_KEY,
    ended_lease_key,
    job_key,
    lead_key,
    marker_key,
)
from savorylead_daemon.pool._peer_messages import JobAccepted
from savorylead_standins.pools import MemoryCellStore, PoolCell, StoreView, job_spec
from savorylead_standins.pools._pool_cell import WORKERS_PREFIX

JOB = "job"
CALL_TIMEOUT = timedelta(milliseconds=400)
#: Longer than the time for which a lead that was voted out goes on.
TASK_DURATION = timedelta(seconds=4)
LEASE_TTL = timedelta(seconds=2)


class PartlyHungStore(StoreView):
    """A store connection of which some watches and the renewals may hang."""

    def __init__(self, store: MemoryCellStore) -> None:
        super().__init__(store)
        #: Prefixes of which this daemon learns no more changes.
        self.hung_prefixes: tuple[str, ...] = ()
        self.renewals_hang = False

    async def _hang_if(self, hangs: bool) -> None:
        if hangs:
            await self._store.clock.sleep(timedelta(seconds=1))
            raise StoreTimeoutError("no answer")

    async def page(self, prefix: str, after: str = "") -> StorePage:
        """Read a page unless reads of the prefix hang."""
        await self._hang_if(prefix in self.hung_prefixes)
        return await super().page(prefix, after)

    async def changes(
        self, prefix: str, after_revision: int, wait: timedelta
    ) -> Changes:
        """Lose the changes if this began to hang meanwhile."""
        changes = await super().changes(prefix, after_revision, wait)
        await self._hang_if(prefix in self.hung_prefixes)
        return changes

    async def renew_lease(self, lease_id: str) -> None:
        """Renew the lease unless renewals hang."""
        await self._hang_if(self.renewals_hang)
        await super().renew_lease(lease_id)


class PartlyCutWorkers(WorkerCalls):
    """Calls of one daemon, which may be cut from some workers."""

    def __init__(self, cell: PoolCell) -> None:
        self._workers = cell.workers
        self._clock = cell.clock
        self.cut_off: set[str] = set()

    async def _reach(self, worker: WorkerEntry) -> None:
        if worker.id in self.cut_off:
            await self._clock.sleep(CALL_TIMEOUT)
            raise WorkerTimeoutError("no answer")

    async def start(self, worker: WorkerEntry, *args: Any) -> Any:
        await self._reach(worker)
        return await self._workers.start(worker, *args)

    async def stop(self, worker: WorkerEntry, *args: Any) -> None:
        await self._reach(worker)
        await self._workers.stop(worker, *args)

    async def hold(self, worker: WorkerEntry, *args: Any) -> Any:
        await self._reach(worker)
        return await self._workers.hold(worker, *args)

    async def pace(self, worker: WorkerEntry, *args: Any) -> None:
        await self._reach(worker)
        await self._workers.pace(worker, *args)


class DividedCell:
    """A lead is voted out right after a renewal, and only it reaches worker ``w0``."""

    def __init__(self) -> None:
        cell = self.cell = PoolCell(nodes=0, workers=1)
        self.calls: dict[str, PartlyCutWorkers] = {}
        self.views: dict[str, PartlyHungStore] = {}
        workers = cell.workers
        workers.duration_of = lambda _: TASK_DURATION
        for name in ("node-0", "node-1", "node-2", "node-3"):
            cell.views[name] = self.views[name] = PartlyHungStore(cell.store)
            cell.workers = self.calls[name] = PartlyCutWorkers(cell)
            cell.start_node(name)
            cell.workers = workers
        cell.run(4.0)
        self.former = cell.lead_of()

    def others(self) -> list[str]:
        """Return the nodes other than the former lead."""
        return [name for name in self.cell.nodes if name != self.former]

    def run_until(self, condition: Callable[[], bool], seconds: float = 3.0) -> None:
        """Advance the time in steps of 1 ms until a condition holds."""
        for _ in range(int(seconds * 1000)):
            if condition():
                return
            self.cell.run(0.001)
        raise AssertionError("the condition does not hold in time")

    def end_lease(self, outdated: str) -> None:
        """End the former lead's lease as a vote does, unseen by it and ``outdated``.

        Worker ``w1`` joins. Returns once the next lead is elected.
        """
        cell = self.cell
        lease_id = cell.nodes[self.former].view.lead("pool").member.lease_id
        self.run_until(
            lambda: (
                cell.store.leases[lease_id].ends_at - cell.clock.now()
                > LEASE_TTL - timedelta(milliseconds=4)
            )
        )
        # The answer to the renewal is on its way.
        cell.run(0.005)
        for name in (self.former, outdated):
            self.views[name].hung_prefixes = (CELL_PREFIX, WORKERS_PREFIX)
        self.views[self.former].renewals_hang = True
        for name in self.others():
            self.calls[name].cut_off.add("w0")
        known = cell.workers.machines["w0"].entry
        cell.workers.add(known._replace(id="w1", address="w1"))
        cell.list_worker(known._replace(id="w1", address="w1"))
        cell.store.end_lease(lease_id)
        self.run_until(lambda: any(cell.nodes[n].leads for n in self.others()))
        assert cell.nodes[self.former].leads["pool"].may_act()

    def next_lead(self) -> str:
        """Return the node that leads now."""
        return next(n for n in self.others() if "pool" in self.cell.nodes[n].leads)

    def cut_former_from_store(self) -> None:
        """Let the former lead learn nothing by its own reads."""
        self.views[self.former].is_cut = True

    def is_stored(self) -> bool:
        """Return whether the job is stored."""
        return job_key("pool", JOB) in self.cell.store.items

    def assert_job_runs_once(self) -> None:
        """Assert it after the job has had time to end."""
        cell = self.cell
        assert self.is_stored()
        stored = cell.store.items[job_key("pool", JOB)].revision
        assert stored > cell.store.items[lead_key("pool")].revision
        cell.run(12.0)
        assert cell.workers.breaches == []
        assert [r.worker for r in cell.workers.records if r.task.job == JOB] == ["w1"]
        assert cell.state(JOB, self.next_lead()) is JobState.COMPLETED


def gateway_is_outdated(divided: DividedCell, outdated: str) -> None:
    divided.cut_former_from_store()
    divided.cell.submit(JOB, job_spec(), outdated)


def peer_that_stores_it_is_outdated(divided: DividedCell, outdated: str) -> None:
    divided.cut_former_from_store()
    cell = divided.cell
    now_ms = to_millis(cell.clock.now())
    record = JobRecord(JOB, "pool", "q-pool", "team", now_ms, job_spec())
    Deferred.fromCoroutine(cell.nodes[outdated].gateway.store_for_peer(record))


def request_is_repeated_at_outdated(divided: DividedCell, outdated: str) -> None:
    divided.cut_former_from_store()
    divided.cell.submit(JOB, job_spec(), divided.next_lead())
    divided.run_until(divided.is_stored)
    divided.cell.submit(JOB, job_spec(), outdated)


def former_lead_is_gateway(divided: DividedCell, outdated: str) -> None:
    divided.cell.submit(JOB, job_spec(), divided.former)


def former_lead_polls(divided: DividedCell, outdated: str) -> None:
    divided.cell.submit(JOB, job_spec(), divided.next_lead())


def former_lead_rereads(divided: DividedCell, outdated: str) -> None:
    divided.cell.store.forget_history()
    divided.cell.submit(JOB, job_spec(), divided.next_lead())


@pytest.mark.parametrize(
    "find",
    [
        gateway_is_outdated,
        peer_that_stores_it_is_outdated,
        request_is_repeated_at_outdated,
        former_lead_is_gateway,
        former_lead_polls,
        former_lead_rereads,
    ],
    ids=lambda find: find.__name__,
)
def test_a_lead_that_was_voted_out_does_not_start_a_job_accepted_since(
    find: Callable[[DividedCell, str], None],
) -> None:
    # Regression: it got the job, and started it beside the next lead (TWICE).
    divided = DividedCell()
    outdated = divided.others()[0]
    divided.end_lease(outdated)
    find(divided, outdated)
    divided.run_until(divided.is_stored)
    divided.assert_job_runs_once()


def test_the_present_lead_is_told_at_once_by_a_daemon_with_an_outdated_view() -> None:
    # Guards against a job that waits for the lead's next poll.
    divided = DividedCell()
    outdated = divided.others()[0]
    divided.end_lease(outdated)
    divided.cell.run(1.0)
    for number in range(5):
        divided.cell.submit(f"job{number}", job_spec(), outdated)
        divided.cell.run(0.05)
        assert len(divided.cell.workers.records) == number + 1
    assert [r.worker for r in divided.cell.workers.records] == ["w1"] * 5


def test_a_job_is_stored_while_there_is_no_lead_and_runs_once_there_is() -> None:
    # Guards against a write that expects a lead for ever.
    divided = DividedCell()
    cell, outdated = divided.cell, divided.others()[0]
    for name in divided.others():
        divided.views[name].hung_prefixes = (CELL_PREFIX,)
    cell.kill(divided.former)
    divided.run_until(lambda: lead_key("pool") not in cell.store.items)
    cell.submit(JOB, job_spec(), outdated)
    cell.run(0.1)
    assert divided.is_stored()
    assert lead_key("pool") not in cell.store.items
    for name in divided.others():
        divided.views[name].hung_prefixes = ()
    cell.run(20.0)
    assert cell.state(JOB, outdated) is JobState.COMPLETED
    assert cell.workers.breaches == []
    assert len(cell.workers.records) == 1


def test_a_job_of_an_unnamed_pool_fits_a_transaction_beside_many_pools() -> None:
    # Guards against more than 32 entries in a transaction, which the store refuses.
    cell = PoolCell(nodes=1, pools=tuple(f"pool{number}" for number in range(40)))
    cell.run(4.0)
    now_ms = to_millis(cell.clock.now())
    record = JobRecord(JOB, "unnamed", "q", "team", now_ms, job_spec())
    Deferred.fromCoroutine(cell.nodes["node-0"].gateway.store_for_peer(record))
    cell.run(0.1)
    assert job_key("unnamed", JOB) in cell.store.items


class CountingStore(StoreView):
    """A store connection that notes its calls other than those of leases and views."""

    def __init__(self, store: MemoryCellStore) -> None:
        super().__init__(store)
        self.commits: list[list[str]] = []
        self.gets: list[str] = []

    async def get(self, key: str) -> KeyValue | None:
        """Note the read."""
        self.gets.append(key)
        return await super().get(key)

    async def commit(
        self,
        expected: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        """Note the transaction."""
        self.commits.append([put.key for put in puts])
        return await super().commit(expected, puts, deletes)


def test_a_job_usually_costs_one_call_to_the_store_until_it_starts() -> None:
    # Guards against a further call for each job.
    cell = PoolCell(nodes=0)
    for name in ("node-0", "node-1", "node-2"):
        cell.views[name] = CountingStore(cell.store)
        cell.start_node(name)
    cell.run(4.0)
    for view in cell.views.values():
        view.commits.clear()
        view.gets.clear()
    via = next(name for name in cell.nodes if name != cell.lead_of())
    for number in range(20):
        cell.submit(f"job{number}", job_spec(), via)
        cell.run(0.05)
    assert len(cell.workers.records) == 20
    assert len(cell.views[via].commits) == 20
    # The lead reads the teams' grants from time to time.
    read = [key for view in cell.views.values() for key in view.gets]
    assert set(read) <= {GRANTS_KEY}


@pytest.mark.parametrize("leaves", [False, True])
@pytest.mark.parametrize("is_marked", [False, True])
def test_a_job_that_an_earlier_version_announces_is_not_started_by_both_leads(
    is_marked: bool, leaves: bool
) -> None:
    # Daemons of the earlier version announce a job to any lead, and may end its lease
    # without a mark. One may be gone when the next lead plans.
    divided = DividedCell()
    cell = divided.cell
    earlier = divided.others()[0]
    cell.store.delete(marker_key(earlier))
    cell.store.wake()
    cell.run(0.5)
    gateway = cell.nodes[earlier].gateway

    async def announce(record: JobRecord, revision: int, _proof: object) -> Any:
        message = JobAccepted(record, revision)
        return await gateway._finder.send_with_retries(record.pool, message)

    gateway._announcer.announce = announce
    if is_marked:
        lead = cell.nodes[divided.former].view.lead("pool")
        cell.store.put(ended_lease_key(lead.member.lease_id), b"1")
    divided.end_lease(earlier)
    divided.next_lead()
    divided.cut_former_from_store()
    cell.submit(JOB, job_spec(), earlier)
    divided.run_until(divided.is_stored)
    cell.run(0.3)
    if leaves:
        Deferred.fromCoroutine(cell.nodes[earlier].resign())
    cell.run(12.0)
    assert cell.workers.breaches == []
    assert len(cell.workers.records) >= 1
