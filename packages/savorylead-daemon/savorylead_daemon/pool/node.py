"""Wires together all components of a pool daemon except its sockets."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred, gatherResults

from savorylead.clock import Clock
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import (
    Advice,
    AdviserError,
    CellDocument,
    Put,
    SchedulingPolicy,
    WorkerEntry,
)
from savorylead.store import KeyValue, StoreError
from savorylead_daemon.concurrency import spawn, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._adapter import AdapterParts
from ._advice_queue import AdviceQueue, AdviceRouter
from ._candidates import Machine
from ._cell_lease import CellLease
from ._cell_view import CellView, MemberRecord, decode_member, encode_record
from ._config_feed import ConfigFeed
from ._copy_counts import CopyCounts
from ._crash_tracker import CrashCounts
from ._early_ends import mark_ended
from ._elections import Elections
from ._job_gateway import JobGateway
from ._keys import machine_key, marker_key, member_key
from ._lead_parts import LeadParts
from ._lead_watch import LeadWatch
from ._peer_messages import (
    GrantsWritten,
    JobStoreRequest,
    LeadReply,
    LeaseEndRequest,
    PeerAdviceRequest,
    ReachabilityQuery,
)
from ._peer_requests import PeerRequests
from ._peers import (
    Message,
    PeerCalls,
    PeerError,
    PeerRequest,
    PeerServer,
    advice_of,
)
from ._pool_lead import PoolLead
from ._term import Term
from ._tracked_peer_calls import TrackedPeerCalls
from ._workers_feed import WorkersFeed

#: Fraction of the time limit for withdrawn keys after which a configuration is stale.
CONFIG_FRESH_FRACTION = 0.6
#: Timeout of the read that proves that the store answers; a peer waits for 200 ms.
STORE_PROOF_TIMEOUT = timedelta(milliseconds=150)
#: Delay before a failed registration is retried.
REGISTER_RETRY_DELAY = timedelta(milliseconds=200)


class NodeSettings(NamedTuple):
    """A node's identity and its guarantees to callers."""

    member: MemberRecord
    #: A withdrawn key is refused after this time.
    key_withdrawn: timedelta
    #: How long the states of ended jobs stay available.
    status_for: timedelta
    #: The machine's capacity, which elections take into account.
    machine: Machine = Machine()
    #: Workers shorten longer leases to this.
    max_worker_lease: timedelta = timedelta(milliseconds=6_000)
    #: Which optional scheduling decisions its leads make.
    policy: SchedulingPolicy = SchedulingPolicy()


class PoolNode:
    """One daemon: a gateway for callers, and the lead of zero or more pools."""

    def __init__(
        self,
        settings: NodeSettings,
        adapter: AdapterParts,
        peers: PeerCalls,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._member = settings.member
        self._adapter = adapter
        self._peers = TrackedPeerCalls(peers, clock)
        self._clock = clock
        self._log = log
        #: Leads on this daemon, by pool.
        self.leads: dict[str, PoolLead] = {}
        #: Crashes of workers that the leads of this daemon have seen.
        self.crash_counts = CrashCounts()
        #: Copies of late tasks that the leads of this daemon have started.
        self.copy_counts = CopyCounts()
        #: What became of start orders without an answer, by pool and event.
        self.unanswered_starts: Counter[tuple[str, str]] = Counter()
        self._leases_ended_for_peers = 0
        store = adapter.store
        self._lease = CellLease(
            store,
            clock,
            log,
            self._lease_granted,
            self._lease_lost,
            self._end_lease_through_peer,
        )
        self.view = CellView(store, clock, log)
        self.config = ConfigFeed(
            store,
            adapter.config,
            clock,
            log,
            settings.key_withdrawn * CONFIG_FRESH_FRACTION,
        )
        self._elections = Elections(
            store,
            clock,
            log,
            self._member,
            self._lease,
            self.view,
            self._elected,
            self._deposed,
            self._reaches_all_runs,
            settings.machine,
            settings.policy.marks_jobs,
        )
        self._workers = WorkersFeed(
            store,
            adapter.listing,
            clock,
            log,
            lambda: bool(self.leads),
            self._workers_listed,
        )
        self._advice: AdviceQueue | None = None
        if adapter.adviser is not None:
            self._advice = AdviceQueue(adapter.adviser, clock)
        self._router = AdviceRouter(self._advise_through, clock)
        self._peer_requests = PeerRequests(clock)
        #: Answers messages of other daemons.
        self.peer_server = PeerServer(
            self.leads.get, self._advice, self._serve_peer, self.view
        )
        self._lead_watch = LeadWatch(
            self._member.name,
            store,
            clock,
            log,
            self.view,
            self._peers,
            self.config.store_answers,
        )
        #: Answers callers.
        self.gateway = JobGateway(
            self._member.name,
            adapter.callers,
            store,
            clock,
            rng,
            log,
            self.config,
            self.view,
            self._peers,
            self.peer_server.answer,
            self._lead_watch.note_connect_failure,
        )

    def start(self) -> None:
        """Join the cell."""
        self.view.subscribe(self._elections.review)
        self.config.subscribe(self._document_in_force)
        self.config.evacuations.subscribe(self._set_evacuated)
        self.config.start()
        self.view.start()
        self._lease.start()
        self._workers.start()

    async def resign(self) -> None:
        """Resign from all pools; callers are still served."""
        self._elections.stand_down()
        await gatherResults(
            [
                Deferred.fromCoroutine(lead.prepare_to_resign())
                for lead in self.leads.values()
            ]
        )
        self._elections.resign_all()
        await self._lease.end()

    def stop(self) -> None:
        """Stop all activity at once, as if the process were killed."""
        self._elections.resign_all()
        self._lease.stop()
        self._workers.stop()
        self.config.stop()
        self.view.stop()

    def terms(self) -> dict[str, int]:
        """Return the term of each pool that this daemon leads."""
        return {pool: lead.term.number for pool, lead in self.leads.items()}

    def evacuated_since(self) -> Mapping[str, datetime]:
        """Return the failure domains under evacuation, and since when."""
        return self.config.evacuations.since

    def hand_overs(self) -> Mapping[tuple[str, str], int]:
        """Return how many pools were handed over to other machines.

        The keys are the pool and the outcome for the lead's key.
        """
        return self._elections.hand_over.counts

    def ended_terms(self) -> Mapping[tuple[str, str], int]:
        """Return how many terms of this daemon ended, by pool and reason."""
        return self._elections.ended_terms

    def ended_leases(self) -> Mapping[str, int]:
        """Return how many leases of other daemons this one ended, by the cause."""
        return {
            "vote": self._lead_watch.ended_leases,
            "request": self._leases_ended_for_peers,
        }

    def _document_in_force(self, document: CellDocument) -> None:
        self._elections.set_pools(frozenset(p.name for p in document.pools))
        for lead in self.leads.values():
            lead.set_document(document)

    def _set_evacuated(self, domains: frozenset[str]) -> None:
        for lead in self.leads.values():
            lead.set_evacuated(domains)

    def _lease_granted(self, lease_id: str) -> None:
        registering = supervised(
            "registration", self._clock, lambda: self._register(lease_id)
        )
        spawn("registration", registering)

    async def _register(self, lease_id: str) -> None:
        key = member_key(self._member.name)
        record = encode_record(self._member._replace(lease_id=lease_id))
        machine = encode_record(self._settings.machine)
        puts = [
            Put(key, record, lease_id),
            Put(machine_key(self._member.name), machine, lease_id),
            Put(marker_key(self._member.name), b"1", lease_id),
        ]
        while self._lease.id == lease_id:
            try:
                await self._end_former_lease(await self._adapter.store.get(key))
                await self._adapter.store.commit({}, puts)
            except StoreError as exc:
                self._log.log_event(LogLevel.INFO, "unregistered", detail=str(exc))
                await self._clock.sleep(REGISTER_RETRY_DELAY)
            else:
                self._elections.on_registered(lease_id)
                break

    async def _end_former_lease(self, item: KeyValue | None) -> None:
        """End the lease of the previous, dead process of the same name.

        Otherwise its pools would have no lead until the lease expires.
        """
        if item is None:
            return
        former = decode_member(item)
        if former is None or former.incarnation == self._member.incarnation:
            return
        self._log.log_event(
            LogLevel.INFO, "former_lease_ended", incarnation=former.incarnation
        )
        if former.lease_id:
            await self._adapter.store.end_lease(former.lease_id)

    async def _end_lease_through_peer(self, lease_id: str) -> bool | None:
        """Return whether a peer ended the lease; None if that is unknown."""
        ended: bool | None = False
        for name, member in list(self.view.members.items()):
            if name == self._member.name or not self.leads:
                continue
            try:
                request = LeaseEndRequest(lease_id)
                if await self._peers.send_request(member.address, request):
                    return True
            except PeerError as exc:
                ended = None
                self._log.log_event(
                    LogLevel.INFO, "peer_not_reached", peer=name, detail=str(exc)
                )
        return ended

    async def _serve_peer(self, request: PeerRequest) -> bool:
        """Write to the store or check reachability on behalf of a peer."""
        if isinstance(request, ReachabilityQuery):
            return await self._lead_watch.reaches(request)
        if isinstance(request, JobStoreRequest):
            return await self._peer_requests.execute(
                f"job {request.record.id}", self.gateway.store_for_peer(request.record)
            )
        return await self._peer_requests.execute(
            f"lease {request.lease_id}", self._end_lease_of_peer(request.lease_id)
        )

    async def _end_lease_of_peer(self, lease_id: str) -> bool:
        # A store that does not answer reads would not end the lease either.
        reading = Deferred.fromCoroutine(self.config.read_now())
        try:
            if not await within(self._clock, STORE_PROOF_TIMEOUT, reading):
                return False
        except DeadlineExceededError:
            return False
        # The peer may not get the answer, renew the lease, and go on before a late call
        # ends it.
        try:
            await mark_ended(self._adapter.store, lease_id)
        except StoreError:
            return False
        await self._adapter.store.end_lease(lease_id)
        self._leases_ended_for_peers += 1
        return True

    def set_key_withdrawn(self, key_withdrawn: timedelta) -> None:
        """Apply a new time limit for withdrawn keys."""
        self.config.set_fresh_for(key_withdrawn * CONFIG_FRESH_FRACTION)

    def _lease_lost(self) -> None:
        self._elections.lease_lost()

    def _elected(self, term: Term) -> None:
        document = self.config.document
        if document is None:
            return
        parts = LeadParts(
            store=self._adapter.store,
            clock=self._clock,
            log=self._log,
            calls=self._adapter.workers,
            ask_adviser=self._ask_adviser,
            advice_slots=lambda: self._router.slots(self._advice_names()),
            lease=self._lease,
            on_cannot_lead=self._cannot_lead,
            has_lead=lambda pool: pool in self.view.leads,
            all_mark_ended_leases=self.view.all_mark_ended_leases,
            crash_counts=self.crash_counts,
            copy_counts=self.copy_counts,
            unanswered_starts=self.unanswered_starts,
            on_grants_written=self._grants_written,
            status_for_ms=self._settings.status_for // timedelta(milliseconds=1),
            max_worker_lease_ms=self._settings.max_worker_lease
            // timedelta(milliseconds=1),
            policy=self._settings.policy,
        )
        evacuated = self.config.evacuations.domains()
        lead = PoolLead(parts, term, document, evacuated, self._superseded)
        self.leads[term.pool] = lead
        lead.start()
        spawn("list of workers for a new lead", self._workers.read_now())

    def _deposed(self, pool: str) -> None:
        lead = self.leads.pop(pool, None)
        if lead is not None:
            lead.close()

    def _reaches_all_runs(self, pool: str) -> bool:
        lead = self.leads.get(pool)
        return lead is None or lead.reaches_all_runs()

    def _superseded(self, pool: str) -> None:
        self._elections.depose(pool, "superseded")

    def _cannot_lead(self, pool: str, reason: str) -> None:
        """Resign from a pool if the store answers here and there are other members."""
        if self.config.store_answers() and len(self.view.members) > 1:
            self._elections.release_unserved(pool, reason)

    def _workers_listed(self, entries: Sequence[WorkerEntry]) -> None:
        for pool, lead in list(self.leads.items()):
            lead.set_workers([entry for entry in entries if entry.pool == pool])

    def _grants_written(self, by_pool: str) -> None:
        """Notify the leads of the other pools, which also check periodically."""
        for pool, entry in self.view.leads.items():
            if pool == by_pool:
                continue
            message = GrantsWritten(pool)
            member = entry.record.member
            if member.name == self._member.name:
                spawn("message of grants", self.peer_server.answer(message))
            else:
                spawn("message of grants", self._tell(member.address, message))

    async def _tell(self, address: str, message: Message) -> None:
        try:
            await self._peers.send_message(address, message)
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
        names = self._advice_names()
        return await self._router.advise(names, step, workers, expected_ms, rank_ms)

    def _advice_names(self) -> list[str]:
        return list(self.view.members) or [self._member.name]

    async def _advise_through(
        self, name: str, step: str, workers: Sequence[str], rank_ms: float
    ) -> Advice:
        if name == self._member.name:
            if self._advice is None:
                raise AdviserError("no adviser is set")
            return await self._advice.advise(step, workers, rank_ms)
        member = self.view.members.get(name)
        if member is None:
            raise AdviserError(f"{name} is gone")
        request = PeerAdviceRequest(step, tuple(workers), rank_ms)
        return await self._peers.advise(member.address, request)


__all__ = [
    "PeerAdviceRequest",
    "JobStoreRequest",
    "LeaseEndRequest",
    "Machine",
    "MemberRecord",
    "Message",
    "NodeSettings",
    "PeerCalls",
    "PeerError",
    "PoolNode",
    "LeadReply",
    "advice_of",
]
