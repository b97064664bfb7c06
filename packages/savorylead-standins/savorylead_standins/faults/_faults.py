"""Every fault of the brief, each as an object that begins and ends."""

from __future__ import annotations

from abc import ABC, abstractmethod
from datetime import timedelta

from savorylead_standins.cell import NetworkCall
from savorylead_standins.store import CallFate, StoreCall

from ._faulty_cell import FaultyCell, Spot

#: By how much clocks are moved apart; two of them then differ by twice as much,
#: which is within the drift that leads allow for.
CLOCK_JUMP = timedelta(milliseconds=400)
#: Latency of a store that is slow but answers before the deadline.
SLOW_LATENCY = timedelta(milliseconds=600)
#: Age of a list of VMs that is stale.
STALE_VM_LAG = timedelta(seconds=40)


class Fault(ABC):
    """One failure. An object is used for one run, so it may keep state."""

    #: How the table names it.
    name: str
    #: How long it lasts, in seconds.
    duration_s: float = 15

    @abstractmethod
    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Let it happen, at the spot if it has a place."""

    @abstractmethod
    def end(self, cell: FaultyCell) -> None:
        """Let it be over."""


class DaemonKilled(Fault):
    """A daemon dies, and is started again later."""

    name = "daemon killed"

    def __init__(self) -> None:
        self._daemon = ""

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Kill the daemon."""
        self._daemon = cell.pick_daemon(spot)
        if self._daemon:
            cell.kill(self._daemon)

    def end(self, cell: FaultyCell) -> None:
        """Start it again."""
        if self._daemon and self._daemon not in cell.daemons:
            cell.start_daemon(self._daemon)


class DaemonPaused(Fault):
    """A daemon stands still past all its leases, then goes on."""

    name = "daemon paused"
    duration_s = 25

    def __init__(self) -> None:
        self._running = None

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Pause the daemon."""
        name = cell.pick_daemon(spot)
        if name:
            self._running = cell.daemons[name]
            self._running.process.pause()

    def end(self, cell: FaultyCell) -> None:
        """Resume it, unless it died meanwhile."""
        if self._running is not None and not self._running.process.dead:
            self._running.process.resume()


class WorkerDead(Fault):
    """A VM dies, and starts again empty."""

    name = "worker dead"

    def __init__(self) -> None:
        self._worker = ""

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Kill the VM."""
        self._worker = cell.pick_worker(spot)
        cell.kill_worker(self._worker)

    def end(self, cell: FaultyCell) -> None:
        """Start it again."""
        cell.revive_worker(self._worker)


class WorkerCutOff(Fault):
    """A VM runs on, but nothing reaches it."""

    name = "worker cut off"
    duration_s = 40

    def __init__(self) -> None:
        self._fate = None

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Cut its network."""
        worker = cell.pick_worker(spot)

        def lose(call: NetworkCall) -> CallFate:
            return CallFate.LOST if call.target == worker else CallFate.ANSWERED

        self._fate = lose
        cell.network_fates.append(lose)

    def end(self, cell: FaultyCell) -> None:
        """Mend its network."""
        cell.network_fates.remove(self._fate)


class WorkerFailing(Fault):
    """A worker fails everything that it starts."""

    name = "worker failing"

    def __init__(self) -> None:
        self._worker = ""

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Break the worker."""
        self._worker = cell.pick_worker(spot)
        cell.workers[self._worker].broken = True

    def end(self, cell: FaultyCell) -> None:
        """Mend it."""
        cell.workers[self._worker].broken = False


class StoreDown(Fault):
    """The store refuses every call."""

    name = "store down"
    duration_s = 12

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Stop the store."""
        cell.store_faults.down = True

    def end(self, cell: FaultyCell) -> None:
        """Start it."""
        cell.store_faults.down = False


class StoreDownLong(StoreDown):
    """The store refuses every call for minutes."""

    name = "store down 5 min"
    duration_s = 300


class StoreSlow(Fault):
    """The store answers late."""

    name = "store slow"

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Slow the store down."""
        self._latency = cell.store_faults.latency
        cell.store_faults.latency = SLOW_LATENCY

    def end(self, cell: FaultyCell) -> None:
        """Let it be as before."""
        cell.store_faults.latency = self._latency


class _StoreFault(Fault):
    """Something befalls a part of the calls of the store."""

    #: Part of the calls that it befalls; the first write is always hit.
    share = 0.4

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Hit the next write, and others by chance."""
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
        """Let the store be as before."""
        cell.store_fates.remove(self._decide)

    @abstractmethod
    def fate(self) -> CallFate:
        """Return what happens to a call that is hit."""


class ReplyLost(_StoreFault):
    """A write takes effect, but its reply never comes."""

    name = "reply lost"

    def fate(self) -> CallFate:
        """Return a lost reply."""
        return CallFate.REPLY_LOST


class WriteLate(_StoreFault):
    """A write takes effect after its writer has seen a timeout."""

    name = "write late"

    def fate(self) -> CallFate:
        """Return a late write."""
        return CallFate.LANDS_LATE


class WatchSilent(Fault):
    """No watch of the store hears anything."""

    name = "watch silent"
    duration_s = 30

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Silence the watches."""
        cell.store_faults.silent = lambda client: True

    def end(self, cell: FaultyCell) -> None:
        """Let them hear again."""
        cell.store_faults.silent = lambda client: False


class ConnectionSilent(Fault):
    """Nothing passes between a daemon and a part of its peers and workers."""

    name = "connection silent"
    #: What becomes of calls on the silent connections.
    fate = CallFate.LOST

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Silence the connections of every second end."""
        daemon = cell.pick_daemon(spot)
        ends = sorted(set(cell.daemons) | set(cell.workers))[::2]
        silent = {frozenset((daemon, end)) for end in {*ends, spot.worker, "caller"}}

        def decide(call: NetworkCall) -> CallFate:
            pair = frozenset((call.source, call.target))
            return self.fate if pair in silent else CallFate.ANSWERED

        self._decide = decide
        cell.network_fates.append(decide)

    def end(self, cell: FaultyCell) -> None:
        """Let them carry again."""
        cell.network_fates.remove(self._decide)


class ConnectionHalfOpen(ConnectionSilent):
    """Requests arrive on some connections of a daemon, but no replies come back."""

    name = "half-open"
    fate = CallFate.REPLY_LOST


class VmListStale(Fault):
    """The platform's list of VMs is much older than usual."""

    name = "VM list stale"
    duration_s = 30

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Let the list fall behind."""
        self._lag = cell.vm_lag
        cell.vm_lag = STALE_VM_LAG

    def end(self, cell: FaultyCell) -> None:
        """Let it catch up."""
        cell.vm_lag = self._lag


class RegionCut(Fault):
    """A daemon and the workers of its domain are cut off from all else."""

    name = "region cut"
    duration_s = 40

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Cut the links."""
        daemon = cell.pick_daemon(spot)
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
        """Mend the links."""
        if self._daemon:
            cell.network_fates.remove(self._decide)
            cell.store_faults.cut.discard(self._daemon)


class OperatorsRacing(Fault):
    """Several operators change the configuration at once."""

    name = "operators racing"
    duration_s = 5

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Let them begin."""
        cell.race_operators()

    def end(self, cell: FaultyCell) -> None:
        """Do nothing; the operators end by themselves."""


class ClockJump(Fault):
    """The clocks of the daemons jump apart, within the drift bound."""

    name = "clock jump"

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Set one daemon's clock forward and the others' back."""
        first = cell.pick_daemon(spot)
        for name, running in sorted(cell.daemons.items()):
            offset = CLOCK_JUMP if name == first else -CLOCK_JUMP
            running.process.clock_offset = offset

    def end(self, cell: FaultyCell) -> None:
        """Set all clocks right."""
        for running in cell.daemons.values():
            running.process.clock_offset = timedelta(0)


class CancelWave(Fault):
    """Callers cancel everything that they have open."""

    name = "cancel wave"
    duration_s = 1

    def begin(self, cell: FaultyCell, spot: Spot) -> None:
        """Cancel."""
        cell.cancel_all()

    def end(self, cell: FaultyCell) -> None:
        """Cancel what came meanwhile."""
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
