"""Intervals and time-outs of a lead: leases, retries and its epoch."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple


class LeadTimes(NamedTuple):
    """Durations that all daemons of a cell must agree on."""

    #: How long a worker keeps running tasks without a renewal.
    worker_lease: timedelta = timedelta(seconds=15)
    #: Time between renewals of one worker.
    renew_interval: timedelta = timedelta(seconds=5)
    #: Minimum time between two early renewals, which fetch results sooner.
    early_renew_gap: timedelta = timedelta(milliseconds=250)
    #: A worker that has not replied for this long gets no new work and no further
    #: renewals, so that its lease is certain to expire.
    suspect_after: timedelta = timedelta(seconds=10)
    #: Maximum clock drift between two machines over one lease, plus delivery time.
    drift: timedelta = timedelta(seconds=1)
    #: Maximum age of what a daemon knows about its peers.
    peer_info_max_age: timedelta = timedelta(seconds=5)
    #: How long a lead keeps renewing leases without proof that its epoch is current,
    #: and after an outage of the store.
    epoch_grace: timedelta = timedelta(seconds=20)
    #: Time between proofs of the epoch while nothing else is written.
    epoch_proof_interval: timedelta = timedelta(seconds=5)
    #: Delay before a failed command is retried.
    order_retry: timedelta = timedelta(milliseconds=200)
    #: Polling interval of the platform's list of VMs.
    vm_list_interval: timedelta = timedelta(seconds=3)
    #: Time between planning rounds when nothing else triggers one.
    plan_interval: timedelta = timedelta(seconds=1)
    #: How long the record of an ended task is kept to reply to repeated requests.
    retention: timedelta = timedelta(hours=1)

    def lease_expiry_delay(self) -> timedelta:
        """Return the time after the last renewal was sent until expiry is certain.

        A renewal may be processed until the end of the lease that it extends, hence
        twice the lease.
        """
        return 2 * self.worker_lease + self.drift
