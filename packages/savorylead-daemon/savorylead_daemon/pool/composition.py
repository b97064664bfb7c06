"""Composition root of a daemon whose shards are pools of a platform."""

from __future__ import annotations

import gc
import random
import signal
import time
from datetime import timedelta
from pathlib import Path

import msgspec
from twisted.internet import reactor
from twisted.internet.interfaces import IListeningPort

from savorylead.links import LinkSettings
from savorylead_daemon._bundle import FOLDER, describe_interpreter, load_module
from savorylead_daemon._standard_streams import STDOUT
from savorylead_daemon.concurrency import spawn, supervised
from savorylead_daemon.http import (
    HttpLinks,
    JsonRequest,
    JsonResource,
    JsonResponse,
    JsonSite,
    listen,
)
from savorylead_daemon.observability import (
    EventLog,
    LogStream,
    Readiness,
    configure_logging,
    log_readiness,
    set_log_level,
)
from savorylead_daemon.settings import LogLevel

from ._adapter import AdapterParts, PlatformAddresses
from ._boot_clock import BootClock
from ._candidates import Machine
from ._cell_view import MemberRecord
from ._metrics import PoolMetrics
from ._peers import PeerClient
from ._settings_watch import SettingsWatch
from .node import NodeSettings, PoolNode
from .settings import PoolSettings

#: Size of the random identifier of a process start, in bits.
INCARNATION_BITS = 64
#: Interval between checks whether the daemon may serve callers.
READINESS_INTERVAL = timedelta(milliseconds=200)
#: How long a stopping daemon still accepts new connections: the load balancer probes
#: once a second and removes a daemon after two failures.
LINGER = timedelta(milliseconds=2_600)
#: Timeout for pending answers after that.
DRAIN_TIMEOUT = timedelta(milliseconds=1_500)
#: Effectively disables probes of idle links, since every call has its own deadline.
NO_HEARTBEAT = timedelta(hours=1)
#: Readiness reason of a daemon that the store does not answer. It cannot accept jobs,
#: but another daemon may be able to.
STORE_SILENT = "store_silent"
#: Length of the queue of connections that a daemon has not accepted yet.
LISTEN_BACKLOG = 200
#: Size limit of a message between daemons.
MAX_PEER_MESSAGE_BYTES = 2_000_000
#: Thresholds for gc.set_threshold: new objects before a collection of the youngest
#: generation, then collections of each younger generation before one of the next.
GC_THRESHOLDS = (20_000, 20, 50)

_LINK_DEFAULTS = LinkSettings(
    connect_timeout=timedelta(milliseconds=400),
    attempt_timeout=timedelta(milliseconds=400),
    max_connections=4,
    heartbeat_interval=NO_HEARTBEAT,
    backoff_cap=timedelta(milliseconds=300),
)
#: Connection limits and timeouts by kind of link.
_LINKS = {
    "store": _LINK_DEFAULTS._replace(max_connections=6),
    "watch": _LINK_DEFAULTS._replace(max_connections=8),
    "worker": _LINK_DEFAULTS._replace(max_connections=3),
    "worker_hold": _LINK_DEFAULTS._replace(max_connections=1),
    "adviser": _LINK_DEFAULTS._replace(max_connections=2),
    "peer": _LINK_DEFAULTS._replace(attempt_timeout=timedelta(milliseconds=200)),
    "peer_advice": _LINK_DEFAULTS._replace(
        max_connections=16, attempt_timeout=timedelta(seconds=5)
    ),
}


class PoolDaemon:
    """A daemon process with its sockets, from start to graceful shutdown."""

    def __init__(self, settings: PoolSettings, path: Path) -> None:
        self._settings = settings
        self._clock = BootClock(reactor)
        self._rng = random.Random(random.SystemRandom().getrandbits(128))
        self._log = EventLog(self._clock, settings.log.lines_per_event_per_s)
        self._links: dict[str, HttpLinks] = {}
        self._readiness = Readiness(log_readiness(self._log, time.process_time))
        self._ports: list[IListeningPort] = []
        self._stopping = False
        self._member = MemberRecord(
            settings.name,
            f"{self._rng.getrandbits(INCARNATION_BITS):016x}",
            settings.listen.peers,
        )
        self._adapter = self._open_adapter()
        bounds = settings.bounds
        machine = settings.machine
        self._node = PoolNode(
            NodeSettings(
                member=self._member,
                key_withdrawn=timedelta(milliseconds=bounds.key_withdrawn_ms),
                status_for=timedelta(seconds=bounds.status_for_s),
                max_worker_lease=timedelta(milliseconds=bounds.worker_lease_ms),
                policy=settings.scheduling.policy(),
                machine=Machine(
                    machine.cpu_share * machine.cores,
                    machine.link_mbps,
                    machine.memory_mb,
                ),
            ),
            self._adapter,
            PeerClient(self._open_links("peer"), self._open_links("peer_advice")),
            self._clock,
            self._rng,
            self._log,
        )
        self._settings_watch = SettingsWatch(
            path, settings, self._clock, self._log, self._apply_settings
        )
        self._metrics = PoolMetrics(time.process_time)
        self._sites: list[JsonSite] = []

    def start(self) -> None:
        """Open the listening sockets and join the cell."""
        listen = self._settings.listen
        handle_peer = self._node.peer_server.handle
        self._listen(listen.peers, handle_peer, MAX_PEER_MESSAGE_BYTES)
        self._listen(listen.readiness, self._answer_probe)
        self._listen(listen.metrics, self._answer_metrics)
        self._listen(listen.callers, self._node.gateway.handle)
        self._node.start()
        self._settings_watch.start()
        spawn("readiness", supervised("readiness", self._clock, self._update_readiness))
        self._log.log_event(
            LogLevel.INFO,
            "daemon_started",
            incarnation=self._member.incarnation,
            callers=listen.callers,
            interpreter=describe_interpreter(),
            packages=FOLDER,
        )

    def read_settings(self) -> None:
        """Reread the settings file now."""
        self._settings_watch.reload()

    def _apply_settings(self, settings: PoolSettings) -> None:
        self._log.set_rate(settings.log.lines_per_event_per_s)
        set_log_level(settings.log.level)
        self._node.set_key_withdrawn(
            timedelta(milliseconds=settings.bounds.key_withdrawn_ms)
        )

    def stop(self) -> None:
        """Start a graceful shutdown, which stops the reactor at its end."""
        if self._stopping:
            return
        self._stopping = True
        self._readiness.block(Readiness.STOPPING)
        self._log.log_event(LogLevel.INFO, "daemon_stopping")
        spawn("planned stop", self._stop()).addBoth(lambda _: reactor.stop())

    async def _stop(self) -> None:
        await self._node.resign()
        await self._clock.sleep(LINGER)
        for port in self._ports:
            port.stopListening()
        for site in self._sites:
            site.end_connections()
        deadline = self._clock.now() + DRAIN_TIMEOUT
        while self._clock.now() < deadline and any(
            s.pending_results for s in self._sites
        ):
            await self._clock.sleep(timedelta(milliseconds=20))
        self._log.log_event(LogLevel.INFO, "daemon_stopped")

    # -- wiring --

    def _open_links(self, kind: str) -> HttpLinks:
        links = self._links.get(kind)
        if links is None:
            links = HttpLinks(reactor, self._clock, self._rng, {}, _LINKS[kind])
            self._links[kind] = links
        return links

    def _open_adapter(self) -> AdapterParts:
        platform = self._settings.platform
        module = load_module(platform.adapter)
        addresses = PlatformAddresses(
            platform.store, platform.adviser or None, platform.machines or None
        )
        return module.open_adapter(addresses, self._open_links)

    def _listen(
        self, endpoint: str, handler: object, max_body_bytes: int = 1_000_000
    ) -> None:
        host, _, port = endpoint.rpartition(":")
        site = JsonSite(JsonResource(handler), max_body_bytes)
        self._sites.append(site)
        self._ports.append(listen(reactor, host, int(port), site, LISTEN_BACKLOG))

    # -- probes --

    async def _update_readiness(self) -> None:
        while True:
            if self._node.config.store_answers():
                self._readiness.clear(Readiness.STARTING)
                self._readiness.clear(STORE_SILENT)
            else:
                self._readiness.block(STORE_SILENT)
            await self._clock.sleep(READINESS_INTERVAL)

    async def _answer_probe(self, request: JsonRequest) -> JsonResponse:
        if request.path != self._adapter.callers.ready_path:
            return JsonResponse(404)
        content = {"reasons": self._readiness.reasons()}
        status = 200 if self._readiness.is_ready() else 503
        return JsonResponse(status, msgspec.json.encode(content))

    async def _answer_metrics(self, request: JsonRequest) -> JsonResponse:
        body, content_type = self._metrics.render(
            self._node.gateway.counts,
            {kind: links.counts for kind, links in self._links.items()},
            self._node.terms(),
            self._node.hand_overs(),
            self._node.ended_terms(),
            self._node.ended_leases(),
            self._node.crash_counts,
            self._node.copy_counts,
            self._node.unanswered_starts,
            self._node.evacuated_since(),
            self._readiness.is_ready(),
        )
        return JsonResponse(200, body, {"content-type": content_type})


def compose_pools(settings: PoolSettings, path: Path) -> int:
    """Run a daemon until SIGTERM or SIGINT; return the exit code.

    The settings file at ``path`` is reread when it changes.
    """
    stream = LogStream(STDOUT)
    configure_logging(settings.name, settings.log.level, stream)
    daemon = PoolDaemon(settings, path)
    daemon.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(daemon.stop))
    signal.signal(
        signal.SIGHUP, lambda *_: reactor.callFromThread(daemon.read_settings)
    )
    reactor.run(installSignalHandlers=False)
    return 0
