"""Keeps the work of a failed lead running while the store can't elect another."""

from __future__ import annotations

from collections.abc import Callable, Collection

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.domains import Shard, rendezvous_owner
from savorylead.workers import Worker, WorkerContract, WorkerError
from savorylead_daemon.lead import LeadTimes, Periodic

from ._digest_poller import DigestPoller
from ._directory import ShardDirectory
from ._region_quorum import RegionQuorum


class OutageLeaseRenewer:
    """Renews the leases of workers whose lead does not respond during an outage.

    A renewal starts no work. Leases are renewed only while a majority of the region's
    daemons answers and finds the store unavailable, and for a short time afterwards.
    RegionQuorum describes why no later lead considers a worker lost during that time.
    """

    def __init__(
        self,
        own_name: str,
        region: str,
        quorum: RegionQuorum,
        directory: ShardDirectory,
        poller: DigestPoller,
        contract: WorkerContract,
        workers: Callable[[], Collection[Worker]],
        refresh_workers: Callable[[], None],
        clock: Clock,
        times: LeadTimes,
    ) -> None:
        """Create it; ``refresh_workers`` triggers a new reading of the list."""
        #: Renewals on behalf of other leads, for metrics.
        self.renewals = 0
        self._own_name = own_name
        self._region = region
        self._quorum = quorum
        self._directory = directory
        self._poller = poller
        self._contract = contract
        self._workers = workers
        self._refresh_workers = refresh_workers
        self._clock = clock
        self._times = times
        self._periodic: Periodic | None = None

    def begin(self) -> None:
        """Check for unresponsive leads periodically from now on."""
        self._periodic = Periodic(self._clock, self._times.renew_interval, self.renew)

    def close(self) -> None:
        """Stop renewing."""
        if self._periodic is not None:
            self._periodic.close()

    def renew(self) -> None:
        """Renew the workers of each shard for which this daemon is responsible now."""
        for shard in self._directory.shards.values():
            epoch = self._directory.last_epoch(shard.name)
            if epoch and self._must_renew(shard):
                # A daemon that leads no shard rarely reads the list.
                self._refresh_workers()
                self._renew_shard(shard, epoch)

    def _must_renew(self, shard: Shard) -> bool:
        """Return whether this daemon must replace the shard's unresponsive lead."""
        lead = self._directory.last_lead(shard.name)
        if lead in ("", self._own_name) or lead in self._poller.observations():
            return False
        if shard.region != self._region or not self._quorum.bridges_outage():
            return False
        candidates = [
            member.name
            for member in self._directory.members.values()
            if member.region == shard.region and self._is_responsive(member.name)
        ]
        return rendezvous_owner(shard.name, candidates) == self._own_name

    def _is_responsive(self, member: str) -> bool:
        return member == self._own_name or member in self._poller.observations()

    def _renew_shard(self, shard: Shard, epoch: int) -> None:
        for worker in self._workers():
            if shard.contains(worker):
                self.renewals += 1
                Deferred.fromCoroutine(self._renew_worker(worker, epoch))

    async def _renew_worker(self, worker: Worker, epoch: int) -> None:
        try:
            await self._contract.renew(worker, epoch, self._times.worker_lease)
        except WorkerError:
            # The next round retries; the lease outlasts two failed rounds.
            return
