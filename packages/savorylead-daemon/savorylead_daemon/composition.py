"""The composition root: builds one daemon with its sockets and runs it."""

from __future__ import annotations

import gc
import random
import signal
import time
from collections import Counter
from datetime import timedelta

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort

from savorylead.admission import WorkClass
from savorylead.clock import TwistedClock
from savorylead.config import InForceSettings
from savorylead.contracts import EscrowedLimits, GrantHolder
from savorylead.domains import Member, MembershipSettings, RegistrationSettings
from savorylead.journal import JournalSettings
from savorylead.links import LinkCount, LinkSettings
from savorylead.placement import IndexedPlanner
from savorylead.store import WatchSettings
from savorylead_daemon._bundle import FOLDER, describe_interpreter
from savorylead_daemon.cell import DigestTimes, ObservedStore
from savorylead_daemon.daemon import (
    Daemon,
    DaemonParts,
    DaemonTimes,
    MetricsFeed,
    PlannedStop,
    StoppingDaemon,
)
from savorylead_daemon.entrance import build_http_site
from savorylead_daemon.gateway import GatewayTimes
from savorylead_daemon.http import (
    HttpLinks,
    HttpStore,
    HttpVmList,
    HttpWorkerContract,
    JsonSite,
    Traffic,
    listen,
)
from savorylead_daemon.http.peer_transport import HttpPeerTransport, peer_resource
from savorylead_daemon.lead import LeadTimes, Periodic
from savorylead_daemon.observability import (
    EventLog,
    Metrics,
    Readiness,
    configure_logging,
    log_readiness,
)
from savorylead_daemon.observability.lead_reporter import LeadReporter
from savorylead_daemon.settings import Endpoint, LogLevel, Settings

#: Bits of the random id of one start of the process.
INCARNATION_BITS = 64
#: Interval of copying counters into the metrics.
METRICS_INTERVAL = timedelta(seconds=5)
#: Interval of checking whether the daemon can serve callers.
READINESS_INTERVAL = timedelta(milliseconds=200)
#: Divisors of the limit of waiting tasks in a shard, by class of work.
URGENT_DIVISOR = 4
SERVICE_DIVISOR = 2
#: A long poll occupies its connection, so many are needed.
LONG_POLL_LINK = LinkSettings(max_connections=64, max_waiting=1024)
PEER_LINK = LinkSettings(attempt_timeout=timedelta(seconds=2), max_connections=8)
#: Largest message between daemons, such as an array of tasks, in bytes.
MAX_PEER_MESSAGE_BYTES = 8_000_000
#: Events that tolerate a short delay are batched, because the store supports only a
#: low rate of writes.
JOURNAL = JournalSettings(
    min_write_interval=timedelta(milliseconds=60), flush_event_count=24
)
#: Thresholds of the garbage collector: new objects, then collections of the younger
#: generation, between two collections. Records are trees without reference cycles, so
#: full collections rarely free memory.
GC_THRESHOLDS = (50_000, 20, 100)
#: Readiness reason of a daemon without a fresh configuration.
CONFIG_NOT_FRESH = "config_not_fresh"


def daemon_times(settings: Settings) -> DaemonTimes:
    """Return the durations for the daemon's components from the settings."""
    leases, polls, limits = settings.leases, settings.polls, settings.limits
    return DaemonTimes(
        lead=LeadTimes(
            worker_lease=leases.worker,
            renew_interval=leases.worker_renew_every,
            drift=leases.drift_bound,
            epoch_grace=leases.epoch_grace,
            vm_list_interval=polls.vm_list,
        ),
        gateway=GatewayTimes(answer=limits.submit),
        digests=DigestTimes(every=polls.digests),
        membership=MembershipSettings(
            registration=RegistrationSettings(
                ttl=leases.member, renewal=leases.member_renew_every
            ),
            watch=WatchSettings(poll=polls.members),
        ),
        config=InForceSettings(watch=WatchSettings(poll=polls.config)),
        journal=JOURNAL,
    )


def waiting_bounds(per_shard: int) -> dict[WorkClass, int]:
    """Return the limit of waiting tasks of each class of work.

    Urgent work has a lower limit, so that it does not wait behind a long queue.
    """
    return {
        WorkClass.URGENT: max(1, per_shard // URGENT_DIVISOR),
        WorkClass.SERVICE: max(1, per_shard // SERVICE_DIVISOR),
        WorkClass.BATCH: per_shard,
    }


class DaemonProcess(StoppingDaemon):
    """A daemon and its sockets, from its start to its planned stop."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = TwistedClock.starting_now(reactor)
        self._rng = random.Random(random.SystemRandom().getrandbits(128))
        self._log = EventLog(self._clock, settings.log.lines_per_event_per_s)
        self._metrics = Metrics(time.process_time)
        self._readiness = Readiness(log_readiness(self._log, time.process_time))
        self._links = {
            name: self._open_links(link)
            for name, link in {
                "store": LinkSettings(),
                "watch": LONG_POLL_LINK,
                "worker": LinkSettings(),
                "vm_list": LinkSettings(),
                "peer": PEER_LINK,
                "peer_waiting": LONG_POLL_LINK,
            }.items()
        }
        self._store = self._open_store()
        self._daemon = Daemon(self._parts())
        self._http_site = build_http_site(
            self._daemon.callers,
            self._daemon.operators,
            self._metrics,
            self._readiness,
            settings.limits,
            self._rng,
        )
        self._peer_site = JsonSite(
            peer_resource(self._daemon.peer_server), MAX_PEER_MESSAGE_BYTES
        )
        self._feed = MetricsFeed(
            self._metrics,
            self._daemon,
            self._store,
            self._link_counts(),
            self._traffic(),
        )
        self._ports: list[IListeningPort] = []
        self._periodic_jobs: list[Periodic] = []
        self._stopping = False

    def start(self) -> None:
        """Listen and join the cell."""
        listen = self._settings.listen
        self._listen(listen.peers, self._peer_site)
        self._listen(listen.callers, self._http_site)
        self._daemon.start()
        self._periodic_jobs = [
            Periodic(self._clock, METRICS_INTERVAL, self._feed.copy),
            Periodic(self._clock, READINESS_INTERVAL, self._update_readiness),
        ]
        self._log.log_event(
            LogLevel.INFO,
            "daemon_started",
            callers=str(listen.callers),
            interpreter=describe_interpreter(),
            packages=FOLDER,
        )

    def stop(self) -> None:
        """Start the planned stop; the reactor stops once it is complete."""
        if self._stopping:
            return
        self._stopping = True
        self._readiness.block(Readiness.STOPPING)
        self._metrics.set_ready(False)
        self._log.log_event(LogLevel.INFO, "daemon_stopping")
        stop = PlannedStop(
            self,
            [self._http_site, self._peer_site],
            self._clock,
            self._log,
            self._settings.limits.drain,
        )
        stopping = Deferred.fromCoroutine(stop.run())
        stopping.addErrback(self._log_failure)
        stopping.addBoth(lambda _: reactor.stop())

    def drain(self) -> None:
        """Answer waiting calls early, with the current state."""
        self._daemon.callers.drain()

    async def hand_over(self) -> None:
        """Resign the lead of every shard; callers are still served."""
        await self._daemon.hand_over()

    async def stop_listening(self) -> None:
        """Stop accepting connections."""
        for port in self._ports:
            await port.stopListening()

    async def leave(self) -> None:
        """Leave the cell."""
        for series in self._periodic_jobs:
            series.close()
        await self._daemon.leave()

    def _log_failure(self, failure: object) -> None:
        self._log.log_event(LogLevel.ERROR, "stop_failed", detail=str(failure))

    def _update_readiness(self) -> None:
        if self._daemon.config.is_fresh():
            self._readiness.clear(Readiness.STARTING)
            self._readiness.clear(CONFIG_NOT_FRESH)
        else:
            self._readiness.block(CONFIG_NOT_FRESH)
        self._metrics.set_ready(self._readiness.is_ready())

    def _listen(self, endpoint: Endpoint, site: JsonSite) -> None:
        self._ports.append(listen(reactor, endpoint.host, endpoint.port, site))

    def _open_links(self, link: LinkSettings) -> HttpLinks:
        headers = {"x-client": self._settings.name}
        return HttpLinks(reactor, self._clock, self._rng, headers, link)

    def _link_counts(self) -> dict[str, Counter[LinkCount]]:
        return {name: links.counts for name, links in self._links.items()}

    def _traffic(self) -> dict[str, Traffic]:
        """Return the traffic by link; "callers" is that of the callers' endpoint."""
        traffic = {name: links.traffic for name, links in self._links.items()}
        served = {
            "callers": self._http_site.traffic,
            "peer_served": self._peer_site.traffic,
        }
        return traffic | served

    def _open_store(self) -> ObservedStore:
        endpoint = str(self._settings.platform.store)
        calls = self._links["store"].open(endpoint)
        watches = self._links["watch"].open(endpoint)
        return ObservedStore(HttpStore(self._clock, self._rng, calls, watches))

    def _open_limits(
        self, shard: str, epoch: int, holder: GrantHolder
    ) -> EscrowedLimits:
        return EscrowedLimits(self._store, self._clock, self._rng, holder, shard, epoch)

    def _parts(self) -> DaemonParts:
        settings = self._settings
        vm_link = self._links["vm_list"].open(str(settings.platform.vm_list))
        return DaemonParts(
            member=Member(
                name=settings.name,
                region=settings.region,
                domain=settings.domain,
                endpoint=str(settings.listen.advertised_peers),
                incarnation=f"{self._rng.getrandbits(INCARNATION_BITS):016x}",
            ),
            clock=self._clock,
            rng=self._rng,
            store=self._store,
            contract=HttpWorkerContract(self._links["worker"].open),
            vm_list=HttpVmList(vm_link),
            transport=HttpPeerTransport(
                self._links["peer"].open, self._links["peer_waiting"].open
            ),
            open_planner=IndexedPlanner,
            open_limits=self._open_limits,
            observer=LeadReporter(self._metrics, self._log),
            bootstrap_sha256=settings.operator_key_sha256,
            times=daemon_times(settings),
            waiting_bounds=waiting_bounds(settings.limits.waiting_per_shard),
            on_superseded=self._on_superseded,
        )

    def _on_superseded(self) -> None:
        self._log.log_event(LogLevel.ERROR, "name_taken_by_another_process")
        self.stop()


def tune_garbage_collector() -> None:
    """Avoid long pauses of the garbage collector.

    A full collection traverses every record, and no call is answered meanwhile.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def compose(settings: Settings) -> int:
    """Run a daemon until SIGTERM or SIGINT; return the exit code."""
    configure_logging(settings.name, settings.log.level)
    process = DaemonProcess(settings)
    process.start()
    tune_garbage_collector()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(process.stop))
    reactor.run(installSignalHandlers=False)
    return 0
