"""The times by which a lead judges its workers and its own right to lead."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple


class LeadTimes(NamedTuple):
    """Durations that all daemons of a cell must agree on."""

    #: How long a worker runs on without a renewal.
    worker_lease: timedelta = timedelta(seconds=15)
    #: Time between renewals of one worker.
    renew_interval: timedelta = timedelta(seconds=5)
    #: Least time between two renewals that are made early to fetch answers.
    early_renew_gap: timedelta = timedelta(milliseconds=250)
    #: Without an answer for this long a worker gets no new work, and after it no
    #: renewal either, so that its lease surely lapses.
    suspect_after: timedelta = timedelta(seconds=10)
    #: Most that two clocks may differ over one lease, plus delivery time.
    drift: timedelta = timedelta(seconds=1)
    #: Most by which what a daemon knows of its peers may be out of date.
    sight_max_age: timedelta = timedelta(seconds=5)
    #: How long a lead goes on renewing without a proof that its epoch stands, and
    #: after an outage of the store.
    epoch_grace: timedelta = timedelta(seconds=20)
    #: Time between proofs of the epoch while nothing else is written.
    epoch_proof_interval: timedelta = timedelta(seconds=5)
    #: Delay before a failed command is sent again.
    order_retry: timedelta = timedelta(milliseconds=200)
    #: Time between readings of the platform's list of VMs.
    vm_list_interval: timedelta = timedelta(seconds=3)
    #: Time between planning rounds when nothing else triggers one.
    plan_interval: timedelta = timedelta(seconds=1)
    #: How long the record of an ended task is kept for repeats.
    retention: timedelta = timedelta(hours=1)

    def surely_lapsed_after(self) -> timedelta:
        """Return how long after the last renewal was sent a lease is surely over.

        A renewal may be processed as late as the lease that it extends still runs,
        hence twice the lease.
        """
        return 2 * self.worker_lease + self.drift
