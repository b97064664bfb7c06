"""Builds a daemon from its parts, independent of its sockets."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from savorylead.admission import WorkClass
from savorylead.clock import Clock
from savorylead.config import ConfigEditor, InForce, InForceConfig, InForceSettings
from savorylead.contracts import GrantHolder, TeamLimits
from savorylead.domains import (
    LeadDirectory,
    Member,
    MemberList,
    Membership,
    MembershipSettings,
    Shard,
)
from savorylead.journal import JournalSettings, RingJournal
from savorylead.placement import Planner
from savorylead.store import Store, StoreError
from savorylead.workers import VmList, WorkerContract
from savorylead_daemon.cell import (
    AssignedLeadDuty,
    ConfigConfirmation,
    ConfigKeyVerifier,
    ConfigRevisions,
    DigestPoller,
    DigestTimes,
    LeadSupervisor,
    MessageHandler,
    OutageLeaseRenewer,
    PeerOfferRouter,
    RegionQuorum,
    ShardDirectory,
    ShardRouter,
    StoreAges,
    StoredConfigAdmin,
    age_ms,
    fleet_usage_outside,
    policy_of,
    shards_of,
)
from savorylead_daemon.gateway import CallerGateway, GatewayTimes, OperatorGateway
from savorylead_daemon.lead import (
    LeadObserver,
    LeadParts,
    LeadTimes,
    Periodic,
    ShardLead,
)
from savorylead_daemon.peers import (
    PeerClient,
    PeerServer,
    PeerTransport,
    ShardDigest,
)

from ._cached_vm_list import CachedVmList


class DaemonTimes(NamedTuple):
    """Times and sizes that configure the parts."""

    lead: LeadTimes = LeadTimes()
    gateway: GatewayTimes = GatewayTimes()
    digests: DigestTimes = DigestTimes()
    membership: MembershipSettings = MembershipSettings()
    config: InForceSettings = InForceSettings()
    journal: JournalSettings = JournalSettings()
    #: Interval at which the majority's state of the store is evaluated.
    quorum_check: timedelta = timedelta(milliseconds=500)
    #: Interval at which a daemon that leads no shard reads the list of VMs, which it
    #: needs to renew leases during an outage, and at which unused links are closed.
    vm_list_refresh: timedelta = timedelta(minutes=5)


class DaemonParts(NamedTuple):
    """The parts that differ between a daemon process and a test."""

    member: Member
    clock: Clock
    rng: random.Random
    store: Store
    contract: WorkerContract
    vm_list: VmList
    transport: PeerTransport
    open_planner: Callable[[], Planner]
    #: Opens the upper limits for a lead of the shard at an epoch.
    open_limits: Callable[[str, int, GrantHolder], TeamLimits]
    observer: LeadObserver
    #: Hex SHA-256 of operator keys that are valid before the cell has a configuration.
    bootstrap_sha256: frozenset[str]
    times: DaemonTimes
    #: Limit for the waiting jobs of each class in one shard.
    waiting_bounds: Mapping[WorkClass, int]
    #: Called once if another process has taken this daemon's name.
    on_superseded: Callable[[], None]


class Daemon:
    """A gateway for callers and operators, and the lead of some shards."""

    def __init__(self, parts: DaemonParts) -> None:
        self._parts = parts
        self._name = parts.member.name
        self._clock = parts.clock
        self._vm_list = CachedVmList(parts.vm_list, parts.clock)
        self._series: list[Periodic] = []
        self.config = InForceConfig(
            parts.store, parts.clock, parts.rng, parts.times.config
        )
        self.directory = ShardDirectory(self._name)
        self.membership = self._build_membership()
        self._heads = LeadDirectory(
            parts.store, parts.clock, parts.rng, lambda _: self._check_duty()
        )
        self.supervisor = self._build_supervisor()
        self._key_verifier = ConfigKeyVerifier(self.config)
        self._handler = MessageHandler(
            self._name,
            self.supervisor.leads,
            self._key_verifier.recheck,
            self._store_ages,
        )
        revisions = ConfigRevisions(self.config)
        self._client = PeerClient(parts.transport, revisions)
        self.peer_server = PeerServer(self._handler.handle, revisions)
        self._router = ShardRouter(
            self._name,
            self.directory,
            self._handler,
            self._client,
            parts.clock,
            parts.rng,
        )
        self.poller = self._build_poller()
        self._confirmation = ConfigConfirmation(self.config, self.poller)
        self._quorum = self._build_quorum()
        self.lease_renewer = self._build_lease_renewer()
        self.callers = CallerGateway(
            self._key_verifier, self._router, parts.clock, parts.times.gateway
        )
        self.operators = self._build_operators()

    def start(self) -> None:
        """Join the cell; shards and callers are served once the store answers."""
        self.config.add_listener(self._on_config)
        self.config.start()
        self.membership.start()
        self._heads.start()
        self.supervisor.begin()
        self.poller.begin()
        self.lease_renewer.begin()
        self._refresh_workers(self._parts.times.vm_list_refresh)
        self._series = [
            Periodic(self._clock, self._parts.times.quorum_check, self._quorum.update),
            Periodic(
                self._clock,
                self._parts.times.vm_list_refresh,
                lambda: self._refresh_workers(self._parts.times.vm_list_refresh),
            ),
            Periodic(
                self._clock, self._parts.times.vm_list_refresh, self._close_old_links
            ),
        ]

    async def hand_over(self) -> None:
        """Take no more shards and resign from all led ones concurrently.

        Callers are still served, by the leads of other daemons.
        """
        self.membership.announce_shutdown()
        await self.supervisor.resign_all()

    async def leave(self) -> None:
        """Leave the cell after ``hand_over``; then the process may exit."""
        self._stop_background_parts()
        try:
            await self.membership.leave()
        except StoreError:
            # The lease expires by itself.
            return

    def close(self) -> None:
        """Stop every part without notifying the store or the peers."""
        self._stop_background_parts()
        self.membership.stop()

    def _stop_background_parts(self) -> None:
        self.poller.close()
        self.lease_renewer.close()
        for series in self._series:
            series.close()
        self.supervisor.close()
        self._heads.stop()
        self.config.stop()

    def _build_membership(self) -> Membership:
        return Membership(
            self._parts.store,
            self._clock,
            self._parts.rng,
            self._parts.member,
            self._on_members,
            self._parts.on_superseded,
            self._parts.times.membership,
        )

    def _build_supervisor(self) -> LeadSupervisor:
        duty = AssignedLeadDuty(
            self.membership,
            self._heads,
            lambda: list(self.directory.shards.values()),
            self._clock,
        )
        return LeadSupervisor(
            duty, self._open_lead, self._clock, self._parts.rng, self._parts.observer
        )

    def _build_poller(self) -> DigestPoller:
        return DigestPoller(
            self._name,
            self.directory,
            self._handler,
            self._client,
            self._clock,
            self._parts.times.digests,
            self.membership.store_age,
            self._on_observation,
        )

    def _build_quorum(self) -> RegionQuorum:
        return RegionQuorum(
            self._name,
            self._parts.member.region,
            self.poller,
            self._clock,
            self._parts.times.lead.epoch_grace,
        )

    def _build_lease_renewer(self) -> OutageLeaseRenewer:
        return OutageLeaseRenewer(
            self._name,
            self._parts.member.region,
            self._quorum,
            self.directory,
            self.poller,
            self._parts.contract,
            self._vm_list.workers,
            lambda: self._refresh_workers(self._parts.times.lead.renew_interval),
            self._clock,
            self._parts.times.lead,
        )

    def _refresh_workers(self, max_age: timedelta) -> None:
        self._vm_list.refresh(max_age)

    def _close_old_links(self) -> None:
        """Close the links to VMs and daemons that no longer exist."""
        members = self.directory.members.values()
        self._parts.transport.keep_only(frozenset(m.endpoint for m in members))
        if self._vm_list.endpoints():
            self._parts.contract.keep_only(self._vm_list.endpoints())

    def _build_operators(self) -> OperatorGateway:
        editor = ConfigEditor(
            self._parts.store, self._clock, self._parts.rng, self.config.observe
        )
        config_admin = StoredConfigAdmin(
            self.config, editor, self._parts.bootstrap_sha256
        )
        return OperatorGateway(
            self._name,
            config_admin,
            self.directory,
            self._router,
            self._client,
            self._clock,
        )

    def own_digests(self) -> tuple[ShardDigest, ...]:
        """Return the digests of the shards that this daemon leads."""
        return self._handler.digest().shards

    def _on_config(self, current: InForce) -> None:
        self.directory.set_shards(shards_of(current.document))
        policy = policy_of(current.document, current.revision)
        for lead in list(self.supervisor.leads.values()):
            lead.apply_policy(policy)
        self._check_duty()

    def _on_members(self, members: MemberList) -> None:
        self.directory.set_members(record.member for record in members.records)
        self._quorum.set_members(record.member for record in members.records)
        self._check_duty()

    def _on_observation(self) -> None:
        self._confirmation.apply_observations()
        digests = self.directory.shard_digests()
        for lead in self.supervisor.leads.values():
            lead.set_fleet(*fleet_usage_outside(lead.shard.name, digests))

    def _check_duty(self) -> None:
        self.supervisor.check()

    def _store_ages(self) -> StoreAges:
        return StoreAges(age_ms(self.config.age()), age_ms(self.membership.store_age()))

    async def _open_lead(
        self, name: str, on_deposed: Callable[[ShardLead], None]
    ) -> ShardLead:
        shard = self.directory.shards[name]
        current = self.config.current
        lead = await ShardLead.open(
            shard,
            self._parts.member.name,
            self._lead_parts(shard),
            policy_of(current.document, current.revision),
            on_deposed,
        )
        # The configuration may have changed while the journal was replayed.
        newest = self.config.current
        lead.apply_policy(policy_of(newest.document, newest.revision))
        return lead

    def _lead_parts(self, shard: Shard) -> LeadParts:
        parts = self._parts
        journal = RingJournal(
            parts.store, shard.name, parts.clock, parts.rng, parts.times.journal
        )
        router = PeerOfferRouter(
            shard.name,
            self.directory,
            lambda: self._router,
            self._vm_list.workers,
            parts.clock,
        )
        return LeadParts(
            journal=journal,
            planner=parts.open_planner(),
            contract=parts.contract,
            vm_list=self._vm_list,
            router=router,
            clock=parts.clock,
            rng=parts.rng,
            times=parts.times.lead,
            observer=parts.observer,
            open_limits=parts.open_limits,
            bridges_outage=self._quorum.bridges_outage,
            store_reachable_for=self._quorum.store_reachable_for,
            waiting_bounds=parts.waiting_bounds,
        )
