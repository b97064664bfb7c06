"""Complete daemons, workers and the store in one process, on a simulated clock."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead.admission import WorkClass
from savorylead.clock import TwistedClock, to_millis
from savorylead.config import CONFIG_KEY, ConfigEditor, hash_key
from savorylead.contracts import EscrowedLimits, GrantHolder, TeamLimits
from savorylead.domains import Member
from savorylead.journal import JournalSettings
from savorylead.placement import IndexedPlanner, Planner
from savorylead.workers import VmEntry
from savorylead_daemon.daemon import Daemon, DaemonParts, DaemonTimes
from savorylead_daemon.lead import LeadObserver
from savorylead_daemon.peers import PeerServer
from savorylead_standins.checkers import RevisionSample, RunHistory
from savorylead_standins.store import FaultPlan, MemoryStore
from savorylead_standins.time import SteppedTime
from savorylead_standins.workers import MemoryWorker

from ._documents import (
    OPERATOR_KEY,
    REGIONS,
    SETTINGS_KEY,
    CellShape,
    document_of,
    domain_names,
    region_of,
    workers_of,
)
from ._links import (
    LaggingVmList,
    NetworkPeerTransport,
    NetworkWorkerContract,
    ProcessStore,
)
from ._network import Network, NetworkPlan
from ._process import Process

#: Simulated time at which every run begins.
BEGINNING = datetime(2026, 1, 1, tzinfo=UTC)
#: Maximum number of waiting jobs of one class in a shard.
WAITING_BOUND = 1000
#: Interval at which the configuration in force is sampled.
SAMPLE_INTERVAL = timedelta(milliseconds=500)
#: A journal so small that a short run writes snapshots and wraps around the ring.
SMALL_JOURNAL = JournalSettings(ring_slots=256, snapshot_log_bytes=12_000)
#: Longest time for which a planned stop waits for open calls.
DRAIN_BOUND = timedelta(seconds=20)
#: Interval at which the open calls are polled.
DRAIN_CHECK = timedelta(milliseconds=50)


class CellVariant:
    """Builds parts of daemons; deliberately broken variants override methods."""

    def open_planner(self) -> Planner:
        """Return a planner for one lead."""
        return IndexedPlanner()

    def open_limits(
        self,
        cell: FakeCell,
        process: Process,
        shard: str,
        epoch: int,
        holder: GrantHolder,
    ) -> TeamLimits:
        """Return the team limits that one lead applies."""
        store = ProcessStore(cell.store.client(process.name), process)
        rng = random.Random(cell.rng.getrandbits(64))
        return EscrowedLimits(store, process.clock, rng, holder, shard, epoch)

    def times(self) -> DaemonTimes:
        """Return the time settings that all daemons use."""
        return DaemonTimes(journal=SMALL_JOURNAL)


class RunningDaemon:
    """A process and the daemon that runs in it."""

    def __init__(self, process: Process, daemon: Daemon) -> None:
        self.process = process
        self.daemon = daemon
        #: Method names of the calls from callers that are open on this daemon.
        self.open_calls: list[str] = []
        #: Whether the load balancer still routes calls to this daemon.
        self.ready = True


class FakeCell:
    """A cell under test, whose time advances only in ``run``."""

    def __init__(
        self,
        seed: int,
        shape: CellShape = CellShape(),  # noqa: B008
        variant: CellVariant | None = None,
    ) -> None:
        self.shape = shape
        self.time = SteppedTime()
        self.clock = TwistedClock(self.time, BEGINNING)
        self.rng = random.Random(seed)
        self.store_faults = FaultPlan()
        self.store = MemoryStore(self.clock, self.rng, self.store_faults)
        self.network_plan = NetworkPlan()
        self.network = Network(self.clock, self.rng, self.network_plan)
        self.variant = variant or CellVariant()
        self.workers = {
            worker.name: MemoryWorker(worker, self.clock, self.rng)
            for worker in workers_of(shape)
        }
        self.vm_lag = timedelta(seconds=2)
        self.daemons: dict[str, RunningDaemon] = {}
        #: Unexpected errors; a run with any of them has failed.
        self.errors: list[Failure] = []
        self.history = RunHistory(
            {name: w.worker.capacity for name, w in self.workers.items()}
        )
        #: All processes ever started.
        self._processes: list[Process] = []
        self._servers: dict[str, tuple[Process, PeerServer]] = {}
        self._vm_changes: list[tuple[datetime, str, str]] = []
        self._starts = 0

    def begin(self) -> None:
        """Write the initial configuration and start all daemons."""
        store = self.store.client("setup")
        editor = ConfigEditor(store, self.clock, self.rng, lambda revision: None)
        self.do(editor.apply(document_of(self.shape), 0))
        self.run(1)
        for number in range(1, self.shape.daemons + 1):
            self.start_daemon(f"d{number}")
        self._sample()

    def start_daemon(self, name: str) -> RunningDaemon:
        """Start a daemon in a new process."""
        self._starts += 1
        process = Process(name, self.clock)
        self._processes.append(process)
        domains = domain_names(self.shape)
        number = int(name.removeprefix("d")) - 1
        domain = domains[number % len(domains)]
        member = Member(
            name=name,
            region=region_of(self.shape, domain),
            domain=domain,
            endpoint=f"{name}#{self._starts}",
            incarnation=f"{name}#{self._starts}",
        )
        daemon = Daemon(self._parts(process, member))
        self._servers[member.endpoint] = (process, daemon.peer_server)
        running = RunningDaemon(process, daemon)
        self.daemons[name] = running
        daemon.start()
        return running

    def kill(self, name: str) -> None:
        """End a daemon as SIGKILL does."""
        running = self.daemons.pop(name)
        running.process.kill()

    def pause(self, name: str) -> None:
        """Stop a daemon as SIGSTOP does."""
        self.daemons[name].process.pause()

    def resume(self, name: str) -> None:
        """Resume a paused daemon."""
        self.daemons[name].process.resume()

    def shut_down(self, name: str) -> None:
        """Stop a daemon as SIGTERM does."""

        async def stop(running: RunningDaemon) -> None:
            clock = running.process.clock
            running.ready = False
            running.daemon.callers.drain()
            await running.daemon.hand_over()
            deadline = clock.now() + DRAIN_BOUND
            while running.open_calls and clock.now() < deadline:
                await clock.sleep(DRAIN_CHECK)
            self.history.calls_cut_off += running.open_calls
            await running.daemon.leave()
            running.process.kill()
            if self.daemons.get(name) is running:
                del self.daemons[name]

        self.do(stop(self.daemons[name]))

    def kill_worker(self, name: str) -> None:
        """Crash a VM."""
        self.workers[name].crash()
        self.network_plan.dead.add(name)

    def revive_worker(self, name: str) -> None:
        """Restart a crashed VM, without its tasks."""
        self.network_plan.dead.discard(name)

    def leave_worker(self, name: str) -> None:
        """Start the departure of a VM; the list of VMs shows it after ``vm_lag``."""
        self._vm_changes.append((self.clock.now(), name, "leaving"))

    def ends_in(self, region: str) -> set[str]:
        """Return the names of the daemons and workers of a region."""
        daemons = {
            name
            for name, running in self.daemons.items()
            if running.daemon.membership.member.region == region
        }
        workers = {
            name
            for name, worker in self.workers.items()
            if region_of(self.shape, worker.worker.domain) == region
        }
        return daemons | workers

    def cut_regions(self, without_store: str) -> None:
        """Partition the regions and cut one of them off from the store."""
        ends = [self.ends_in(region) for region in REGIONS]
        self.network_plan.cut |= {frozenset((a, b)) for a in ends[0] for b in ends[1]}
        self.store_faults.cut |= self.ends_in(without_store)

    def join_regions(self) -> None:
        """Heal all partitions."""
        self.network_plan.cut.clear()
        self.store_faults.cut.clear()

    def vm_entries(self) -> list[VmEntry]:
        """Return the list of VMs as it was ``vm_lag`` ago."""
        leaving = {
            name for at, name, _ in self._vm_changes if at + self.vm_lag <= self.now()
        }
        return [
            VmEntry(worker.worker, name in leaving)
            for name, worker in sorted(self.workers.items())
        ]

    def now(self) -> datetime:
        """Return the simulated time."""
        return self.clock.now()

    def now_ms(self) -> int:
        """Return the simulated time in Unix milliseconds."""
        return to_millis(self.clock.now())

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.time.advance(seconds)

    def do(
        self,
        coroutine: Coroutine[Any, Any, Any],
        on_result: Callable[[Any], None] = lambda result: None,
    ) -> None:
        """Run a coroutine concurrently; its errors fail the run."""
        done = Deferred.fromCoroutine(coroutine)
        done.addCallback(on_result)
        done.addErrback(self.errors.append)

    def leads(self) -> dict[str, list[str]]:
        """Return, by shard, the daemons that consider themselves its lead."""
        leads: dict[str, list[str]] = {name: [] for name in domain_names(self.shape)}
        for name, running in sorted(self.daemons.items()):
            for shard in running.daemon.supervisor.leads:
                leads[shard].append(name)
        return leads

    def finish(self, settled: bool = True) -> RunHistory:
        """Complete the history of the run and return it."""
        history = self.history
        history.ended_at_ms = self.now_ms()
        history.settled = settled
        for name, worker in self.workers.items():
            history.executions += worker.executions + worker.running()
            history.over_capacity_refusals[name] = worker.over_capacity_refusals
        return history

    def config_revision(self) -> int:
        """Return the configuration revision in the store."""
        return self.store.get(CONFIG_KEY).revision

    def _sample(self) -> None:
        """Record the revision in force on every running daemon, periodically."""
        for running in self.daemons.values():
            process, revision = running.process, running.daemon.config.revision
            if not process.paused and revision:
                incarnation = running.daemon.membership.member.incarnation
                confirmed = running.daemon.config.is_fresh()
                sample = RevisionSample(incarnation, self.now_ms(), revision, confirmed)
                self.history.samples.append(sample)
        self.clock.call_later(SAMPLE_INTERVAL, self._sample)

    def _parts(self, process: Process, member: Member) -> DaemonParts:
        def open_limits(shard: str, epoch: int, holder: GrantHolder) -> TeamLimits:
            return self.variant.open_limits(self, process, shard, epoch, holder)

        return DaemonParts(
            member=member,
            clock=process.clock,
            rng=random.Random(self.rng.getrandbits(64)),
            store=ProcessStore(self.store.client(process.name), process),
            contract=NetworkWorkerContract(process, self.network, self.workers),
            vm_list=LaggingVmList(process, self.vm_entries),
            transport=NetworkPeerTransport(process, self.network, self._servers),
            open_planner=self.variant.open_planner,
            open_limits=open_limits,
            observer=LeadObserver(),
            bootstrap_sha256=frozenset(map(hash_key, (OPERATOR_KEY, SETTINGS_KEY))),
            times=self.variant.times(),
            waiting_bounds=dict.fromkeys(WorkClass, WAITING_BOUND),
            on_superseded=process.kill,
        )
