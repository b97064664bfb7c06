"""The composition root of a daemon whose shards are pools of a platform."""

from __future__ import annotations

import gc
import importlib
import random
import signal
import time
from collections.abc import Sequence
from datetime import timedelta

import msgspec
from twisted.internet import reactor
from twisted.internet.interfaces import IListeningPort

from savorylead.links import LinkSettings
from savorylead.pools import Advice, AdviserError, CellDocument, Put, WorkerEntry
from savorylead.store import StoreError
from savorylead_daemon.concurrency import spawn
from savorylead_daemon.http import (
    HttpLinks,
    JsonRequest,
    JsonResource,
    JsonResponse,
    JsonSite,
)
from savorylead_daemon.observability import EventLog, Readiness, configure_logging
from savorylead_daemon.settings import LogLevel

from ._adapter import AdapterParts, PlatformAddresses
from ._advice_queue import AdviceQueue, AdviceRouter
from ._boot_clock import BootClock
from ._cell_lease import CellLease
from ._cell_view import CellView, MemberRecord, encode_record
from ._config_feed import ConfigFeed
from ._elections import Elections, Term
from ._job_gateway import JobGateway
from ._keys import member_key
from ._metrics import PoolMetrics
from ._peer_messages import (
    AdviceAsked,
    GrantsWritten,
    JobAccepted,
    JobCancelled,
    PendingAsked,
    StateAsked,
    Told,
)
from ._peers import (
    Message,
    PeerClient,
    PeerError,
    PeerServer,
    tell_accepted,
    tell_cancelled,
    tell_grants,
    tell_pending,
    tell_state,
)
from ._pool_lead import LeadParts, PoolLead
from ._workers_feed import WorkersFeed
from .settings import PoolSettings

#: Part of the time for a withdrawn key after which a configuration is not trusted.
FRESH_SHARE = 0.6
#: Bits of the random name of a process start.
INCARNATION_BITS = 64
#: Time between looks whether the daemon may serve callers.
READINESS_EVERY = timedelta(milliseconds=200)
#: Time for which a stopping daemon still takes new connections: the balancer probes
#: once a second and needs two misses.
LINGER = timedelta(milliseconds=2_600)
#: Longest wait for open answers after that.
DRAIN = timedelta(milliseconds=1_500)
#: No link is probed while idle: each has calls with deadlines of its own.
NO_HEARTBEAT = timedelta(hours=1)
#: The largest message between daemons.
MAX_PEER_MESSAGE_BYTES = 2_000_000
#: New objects, and collections of the younger generation, between two collections.
GC_THRESHOLDS = (20_000, 20, 50)

_QUICK = LinkSettings(
    connect_timeout=timedelta(milliseconds=400),
    attempt_timeout=timedelta(milliseconds=400),
    max_connections=4,
    heartbeat_interval=NO_HEARTBEAT,
    backoff_cap=timedelta(milliseconds=300),
)
#: Limits and rates by kind of link.
_LINKS = {
    "store": _QUICK._replace(max_connections=6),
    "watch": _QUICK._replace(max_connections=8),
    "worker": _QUICK._replace(max_connections=3),
    "worker_hold": _QUICK._replace(max_connections=1),
    "adviser": _QUICK._replace(max_connections=2),
    "peer": _QUICK._replace(attempt_timeout=timedelta(milliseconds=200)),
    "peer_advice": _QUICK._replace(
        max_connections=16, attempt_timeout=timedelta(seconds=5)
    ),
}


class PoolDaemon:
    """A daemon with its sockets, from its start to its planned stop."""

    def __init__(self, settings: PoolSettings) -> None:
        self._settings = settings
        self._clock = BootClock(reactor)
        self._rng = random.Random(random.SystemRandom().getrandbits(128))
        self._log = EventLog(self._clock, settings.log.lines_per_event_per_s)
        self._links: dict[str, HttpLinks] = {}
        self._readiness = Readiness()
        self._leads: dict[str, PoolLead] = {}
        self._ports: list[IListeningPort] = []
        self._stopping = False
        self._member = MemberRecord(
            settings.name,
            f"{self._rng.getrandbits(INCARNATION_BITS):016x}",
            settings.listen.peers,
        )
        self._adapter = self._open_adapter()
        store = self._adapter.store
        self._lease = CellLease(
            store, self._clock, self._log, self._lease_granted, self._lease_lost
        )
        self._view = CellView(store, self._clock, self._log)
        self._config = ConfigFeed(
            store,
            self._adapter.config,
            self._clock,
            self._log,
            timedelta(milliseconds=settings.bounds.key_withdrawn_ms) * FRESH_SHARE,
        )
        self._elections = Elections(
            store,
            self._clock,
            self._log,
            self._member,
            self._lease,
            self._view,
            self._elected,
            self._deposed,
        )
        self._workers = WorkersFeed(
            store,
            self._adapter.listing,
            self._clock,
            self._log,
            lambda: bool(self._leads),
            self._workers_listed,
        )
        self._advice: AdviceQueue | None = None
        if self._adapter.adviser is not None:
            self._advice = AdviceQueue(self._adapter.adviser, self._clock)
        self._router = AdviceRouter(self._ask_through)
        self._peers = PeerClient(
            self._open_links("peer"), self._open_links("peer_advice")
        )
        self._gateway = JobGateway(
            settings.name,
            self._adapter.callers,
            store,
            self._clock,
            self._rng,
            self._log,
            self._config,
            self._view,
            self._peers,
            self._tell_here,
        )
        self._metrics = PoolMetrics(time.process_time)
        self._sites: list[JsonSite] = []

    def start(self) -> None:
        """Listen and join the cell."""
        listen = self._settings.listen
        peer_server = PeerServer(self._leads.get, self._advice)
        self._listen(listen.peers, peer_server.handle, MAX_PEER_MESSAGE_BYTES)
        self._listen(listen.readiness, self._answer_probe)
        self._listen(listen.metrics, self._answer_metrics)
        self._listen(listen.callers, self._gateway.handle)
        self._view.subscribe(self._elections.review)
        self._config.subscribe(self._document_in_force)
        self._config.start()
        self._view.start()
        self._lease.start()
        self._workers.start()
        spawn("readiness", self._judge_readiness())
        self._log.log_event(
            LogLevel.INFO,
            "daemon_started",
            incarnation=self._member.incarnation,
            callers=listen.callers,
        )

    def stop(self) -> None:
        """Begin the planned stop; the reactor stops when it is through."""
        if self._stopping:
            return
        self._stopping = True
        self._readiness.block(Readiness.STOPPING)
        self._log.log_event(LogLevel.INFO, "daemon_stopping")
        spawn("planned stop", self._stop()).addBoth(lambda _: reactor.stop())

    async def _stop(self) -> None:
        self._elections.resign_all()
        await self._lease.end()
        await self._clock.sleep(LINGER)
        for port in self._ports:
            port.stopListening()
        for site in self._sites:
            site.end_connections()
        until = self._clock.now() + DRAIN
        while self._clock.now() < until and any(s.open_answers for s in self._sites):
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
        module = importlib.import_module(platform.adapter)
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
        self._ports.append(reactor.listenTCP(int(port), site, 200, host))

    # -- leading --

    def _document_in_force(self, document: CellDocument) -> None:
        self._elections.set_pools(frozenset(p.name for p in document.pools))
        for lead in self._leads.values():
            lead.set_document(document)

    def _lease_granted(self, lease_id: str) -> None:
        spawn("registration", self._register(lease_id))

    async def _register(self, lease_id: str) -> None:
        key = member_key(self._member.name)
        while self._lease.id == lease_id:
            try:
                await self._adapter.store.commit(
                    {}, [Put(key, encode_record(self._member), lease_id)]
                )
            except StoreError as exc:
                self._log.log_event(LogLevel.INFO, "unregistered", detail=str(exc))
                await self._clock.sleep(READINESS_EVERY)
            else:
                break
        self._elections.review()

    def _lease_lost(self) -> None:
        self._elections.lease_lost()

    def _elected(self, term: Term) -> None:
        document = self._config.document
        if document is None:
            return
        parts = LeadParts(
            store=self._adapter.store,
            clock=self._clock,
            log=self._log,
            calls=self._adapter.workers,
            ask_adviser=self._ask_adviser,
            lease=self._lease,
            on_grants_written=self._grants_written,
            status_for_ms=int(self._settings.bounds.status_for_s * 1000),
        )
        lead = PoolLead(parts, term, document, self._superseded)
        self._leads[term.pool] = lead
        lead.start()

    def _deposed(self, pool: str) -> None:
        lead = self._leads.pop(pool, None)
        if lead is not None:
            lead.close()

    def _superseded(self, pool: str) -> None:
        self._elections.depose(pool, "superseded")

    def _workers_listed(self, entries: Sequence[WorkerEntry]) -> None:
        for pool, lead in list(self._leads.items()):
            lead.set_workers([entry for entry in entries if entry.pool == pool])

    def _tell_here(self, message: Message) -> Told:
        if isinstance(message, JobAccepted):
            return tell_accepted(self._leads.get(message.record.pool), message)
        lead = self._leads.get(message.pool)
        if isinstance(message, JobCancelled):
            return tell_cancelled(lead, message)
        if isinstance(message, StateAsked):
            return tell_state(lead, message)
        if isinstance(message, GrantsWritten):
            return tell_grants(lead, message)
        assert isinstance(message, PendingAsked)
        return tell_pending(lead, message)

    def _grants_written(self, by_pool: str) -> None:
        """Let the leads of the other pools look; they also look by themselves."""
        for pool, seen in self._view.leads.items():
            if pool == by_pool:
                continue
            message = GrantsWritten(pool)
            member = seen.record.member
            if member.name == self._member.name:
                self._tell_here(message)
            else:
                spawn("message of grants", self._tell(member.address, message))

    async def _tell(self, address: str, message: Message) -> None:
        try:
            await self._peers.tell(address, message)
        except PeerError as exc:
            self._log.log_event(LogLevel.INFO, "peer_not_reached", detail=str(exc))

    # -- advice --

    async def _ask_adviser(
        self,
        step: str,
        workers: Sequence[str],
        expected_ms: float,
        rank_ms: float,
    ) -> Advice:
        names = list(self._view.members) or [self._member.name]
        return await self._router.advise(names, step, workers, expected_ms, rank_ms)

    async def _ask_through(
        self, name: str, step: str, workers: Sequence[str], rank_ms: float
    ) -> Advice:
        if name == self._member.name:
            if self._advice is None:
                raise AdviserError("no adviser is set")
            return await self._advice.advise(step, workers, rank_ms)
        member = self._view.members.get(name)
        if member is None:
            raise AdviserError(f"{name} is gone")
        asked = AdviceAsked(step, tuple(workers), rank_ms)
        return await self._peers.advise(member.address, asked)

    # -- probes --

    async def _judge_readiness(self) -> None:
        while True:
            fresh = self._config.is_fresh()
            if fresh:
                self._readiness.clear(Readiness.STARTING)
                self._readiness.clear("config_not_fresh")
            else:
                self._readiness.block("config_not_fresh")
            await self._clock.sleep(READINESS_EVERY)

    async def _answer_probe(self, request: JsonRequest) -> JsonResponse:
        if request.path != self._adapter.callers.ready_path:
            return JsonResponse(404)
        content = {"reasons": self._readiness.reasons()}
        status = 200 if self._readiness.is_ready() else 503
        return JsonResponse(status, msgspec.json.encode(content))

    async def _answer_metrics(self, request: JsonRequest) -> JsonResponse:
        body, content_type = self._metrics.render(
            self._gateway.counts,
            {kind: links.counts for kind, links in self._links.items()},
            {pool: lead.term.number for pool, lead in self._leads.items()},
            self._readiness.is_ready(),
        )
        return JsonResponse(200, body, {"content-type": content_type})


def compose_pools(settings: PoolSettings) -> int:
    """Run a daemon until SIGTERM or SIGINT; return the exit code."""
    configure_logging(settings.name, settings.log.level)
    daemon = PoolDaemon(settings)
    daemon.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(daemon.stop))
    # Settings are read at each start; a hang-up asks for nothing more.
    signal.signal(signal.SIGHUP, lambda *_: None)
    reactor.run(installSignalHandlers=False)
    return 0
