"""The faults of the matrix, each with a begin and an end."""

from __future__ import annotations

from abc import ABC, abstractmethod
from datetime import timedelta

from savorylead_standins.cell import NetworkCall
from savorylead_standins.store import CallFate, StoreCall

from ._faulty_cell import FaultyCell, Location

#: Offset of each clock from the true time. Two clocks then differ by twice as much,
#: which is within the drift that leads tolerate.
CLOCK_JUMP = timedelta(milliseconds=400)
#: Latency of a slow store; shorter than the deadline of a call.
SLOW_LATENCY = timedelta(milliseconds=600)
#: Age of a stale list of VMs.
STALE_VM_LAG = timedelta(seconds=40)


class Fault(ABC):
    """One fault. An instance is used for one run only, so it may hold state."""

    #: Name in the table of results.
    name: str
    #: Duration in seconds.
    duration_s: float = 15

    @abstractmethod
    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Inject the fault, at the given location if the fault depends on one."""

    @abstractmethod
    def end(self, cell: FaultyCell) -> None:
        """Remove the fault."""


class DaemonKilled(Fault):
    """A daemon is killed and restarted later."""

    name = "daemon killed"

    def __init__(self) -> None:
        self._daemon = ""

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Kill a daemon."""
        self._daemon = cell.pick_daemon(location)
        if self._daemon:
            cell.kill(self._daemon)

    def end(self, cell: FaultyCell) -> None:
        """Restart it."""
        if self._daemon and self._daemon not in cell.daemons:
            cell.start_daemon(self._daemon)


class DaemonPaused(Fault):
    """A daemon is paused until all its leases have expired, then resumed."""

    name = "daemon paused"
    duration_s = 25

    def __init__(self) -> None:
        self._running = None

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Pause a daemon."""
        name = cell.pick_daemon(location)
        if name:
            self._running = cell.daemons[name]
            self._running.process.pause()

    def end(self, cell: FaultyCell) -> None:
        """Resume the daemon unless it has died in the meantime."""
        if self._running is not None and not self._running.process.dead:
            self._running.process.resume()


class WorkerDead(Fault):
    """A VM crashes and restarts without its tasks."""

    name = "worker dead"

    def __init__(self) -> None:
        self._worker = ""

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Crash a VM."""
        self._worker = cell.pick_worker(location)
        cell.kill_worker(self._worker)

    def end(self, cell: FaultyCell) -> None:
        """Restart it."""
        cell.revive_worker(self._worker)


class WorkerCutOff(Fault):
    """A VM keeps running but is unreachable."""

    name = "worker cut off"
    duration_s = 40

    def __init__(self) -> None:
        self._fate = None

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Drop all calls to the VM."""
        worker = cell.pick_worker(location)

        def lose(call: NetworkCall) -> CallFate:
            return CallFate.LOST if call.target == worker else CallFate.ANSWERED

        self._fate = lose
        cell.network_fates.append(lose)

    def end(self, cell: FaultyCell) -> None:
        """Restore the VM's network."""
        cell.network_fates.remove(self._fate)


class WorkerFailing(Fault):
    """A worker on which every task fails."""

    name = "worker failing"

    def __init__(self) -> None:
        self._worker = ""

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Make every task on the worker fail."""
        self._worker = cell.pick_worker(location)
        cell.workers[self._worker].broken = True

    def end(self, cell: FaultyCell) -> None:
        """Let tasks on the worker succeed again."""
        cell.workers[self._worker].broken = False


class StoreDown(Fault):
    """The store refuses every call."""

    name = "store down"
    duration_s = 12

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Stop the store."""
        cell.store_faults.down = True

    def end(self, cell: FaultyCell) -> None:
        """Restart the store."""
        cell.store_faults.down = False


class StoreDownLong(StoreDown):
    """The store refuses every call for 5 minutes."""

    name = "store down 5 min"
    duration_s = 300


class StoreSlow(Fault):
    """The store replies slowly, but before the deadline."""

    name = "store slow"

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Increase the latency of the store."""
        self._latency = cell.store_faults.latency
        cell.store_faults.latency = SLOW_LATENCY

    def end(self, cell: FaultyCell) -> None:
        """Restore the previous latency."""
        cell.store_faults.latency = self._latency


class _StoreFault(Fault):
    """Affects a fraction of the writes to the store."""

    #: Fraction of the writes that are affected; the first write always is.
    share = 0.4

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Affect the next write, and later ones at random."""
        self._hit_before = False

        def decide(call: StoreCall) -> CallFate:
            if call.method != "swap":
                return CallFate.ANSWERED
            hit = not self._hit_before or cell.rng.random() < self.share
            self._hit_before = True
            return self.fate() if hit else CallFate.ANSWERED

        self._decide = decide
        cell.store_fates.append(decide)

    def end(self, cell: FaultyCell) -> None:
        """Stop affecting writes."""
        cell.store_fates.remove(self._decide)

    @abstractmethod
    def fate(self) -> CallFate:
        """Return the fate of an affected write."""


class ReplyLost(_StoreFault):
    """A write takes effect, but its reply is lost."""

    name = "reply lost"

    def fate(self) -> CallFate:
        """Return a lost reply."""
        return CallFate.REPLY_LOST


class WriteLate(_StoreFault):
    """A write takes effect after its client has timed out."""

    name = "write late"

    def fate(self) -> CallFate:
        """Return a late write."""
        return CallFate.LANDS_LATE


class WatchSilent(Fault):
    """The store delivers no watch notifications."""

    name = "watch silent"
    duration_s = 30

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Suppress watch notifications."""
        cell.store_faults.silent = lambda client: True

    def end(self, cell: FaultyCell) -> None:
        """Resume watch notifications."""
        cell.store_faults.silent = lambda client: False


class ConnectionSilent(Fault):
    """All calls between a daemon and some of its peers and workers are lost."""

    name = "connection silent"
    #: Fate of calls on the affected connections.
    fate = CallFate.LOST

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Affect the connections to every second endpoint, and to the callers."""
        daemon = cell.pick_daemon(location)
        ends = sorted(set(cell.daemons) | set(cell.workers))[::2]
        silent = {
            frozenset((daemon, end)) for end in {*ends, location.worker, "caller"}
        }

        def decide(call: NetworkCall) -> CallFate:
            pair = frozenset((call.source, call.target))
            return self.fate if pair in silent else CallFate.ANSWERED

        self._decide = decide
        cell.network_fates.append(decide)

    def end(self, cell: FaultyCell) -> None:
        """Restore the connections."""
        cell.network_fates.remove(self._decide)


class ConnectionHalfOpen(ConnectionSilent):
    """Requests on some connections of a daemon arrive, but the replies are lost."""

    name = "half-open"
    fate = CallFate.REPLY_LOST


class VmListStale(Fault):
    """The platform returns an outdated list of VMs."""

    name = "VM list stale"
    duration_s = 30

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Increase the lag of the list."""
        self._lag = cell.vm_lag
        cell.vm_lag = STALE_VM_LAG

    def end(self, cell: FaultyCell) -> None:
        """Restore the previous lag."""
        cell.vm_lag = self._lag


class RegionCut(Fault):
    """A daemon and the workers of its domain are partitioned from all others."""

    name = "region cut"
    duration_s = 40

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Partition the network and cut the daemon off from the store."""
        daemon = cell.pick_daemon(location)
        self._daemon = daemon
        if not daemon:
            return
        domain = cell.daemons[daemon].daemon.membership.member.domain
        inside = {daemon} | {
            name for name, w in cell.workers.items() if w.worker.domain == domain
        }
        self._decide = lambda call: (
            CallFate.LOST
            if (call.source in inside) != (call.target in inside)
            else CallFate.ANSWERED
        )
        cell.network_fates.append(self._decide)
        cell.store_faults.cut.add(daemon)

    def end(self, cell: FaultyCell) -> None:
        """Heal the partition."""
        if self._daemon:
            cell.network_fates.remove(self._decide)
            cell.store_faults.cut.discard(self._daemon)


class OperatorsRacing(Fault):
    """Several operators change the configuration concurrently."""

    name = "operators racing"
    duration_s = 5

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Start the concurrent changes."""
        cell.race_operators()

    def end(self, cell: FaultyCell) -> None:
        """Do nothing; the changes complete on their own."""


class ClockJump(Fault):
    """The clocks of the daemons jump apart, within the drift bound."""

    name = "clock jump"

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Set one daemon's clock forward and the others' back."""
        first = cell.pick_daemon(location)
        for name, running in sorted(cell.daemons.items()):
            offset = CLOCK_JUMP if name == first else -CLOCK_JUMP
            running.process.clock_offset = offset

    def end(self, cell: FaultyCell) -> None:
        """Reset all clocks."""
        for running in cell.daemons.values():
            running.process.clock_offset = timedelta(0)


class CancelWave(Fault):
    """Callers cancel all their open requests."""

    name = "cancel wave"
    duration_s = 1

    def begin(self, cell: FaultyCell, location: Location) -> None:
        """Cancel all open requests."""
        cell.cancel_all()

    def end(self, cell: FaultyCell) -> None:
        """Cancel the requests submitted since the fault began."""
        cell.cancel_all()


#: Every fault, in the order of the table.
FAULTS: tuple[type[Fault], ...] = (
    DaemonKilled,
    DaemonPaused,
    WorkerDead,
    WorkerCutOff,
    StoreDown,
    StoreDownLong,
    StoreSlow,
    ReplyLost,
    WriteLate,
    WatchSilent,
    ConnectionSilent,
    ConnectionHalfOpen,
    VmListStale,
    RegionCut,
    OperatorsRacing,
    ClockJump,
    CancelWave,
    WorkerFailing,
)
