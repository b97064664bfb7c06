"""Announcements of stored jobs to the leads that may start them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from savorylead.clock import Clock
from savorylead.jobs import JobRecord
from savorylead.pools import CellStore
from savorylead.store import KeyValue, StoreError
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._cell_view import CellView, LeadEntry, LeadRecord
from ._keys import lead_key
from ._lead_finder import MAX_ATTEMPTS, RETRY_INTERVAL, LeadFinder
from ._peer_messages import JobAccepted, LeadReply


class LeadProof(NamedTuple):
    """The lead of a pool when a job was stored in it, or at a later moment."""

    #: Revision of its key; 0 if the pool had no lead.
    revision: int
    #: None if the pool had no lead, or the record can't be decoded.
    record: LeadRecord | None

    @classmethod
    def of_view(cls, entry: LeadEntry | None) -> LeadProof:
        """Return what a view shows, which a transaction has yet to prove."""
        return cls(0, None) if entry is None else cls(entry.revision, entry.record)

    @classmethod
    def of_key(cls, item: KeyValue | None) -> LeadProof:
        """Return what the store's answer proves."""
        if item is None:
            return cls(0, None)
        try:
            record = msgspec.json.decode(item.value, type=LeadRecord)
        except msgspec.DecodeError:
            return cls(item.revision, None)
        return cls(item.revision, record)


class JobAnnouncer:
    """Announces each job only to a lead whose term was not over when it was stored.

    The next lead starts a job that was stored after its election at once. A former
    lead that was voted out may go on for a while, and must not learn of the job.
    A lead that is elected after the job was stored reads it from the store.
    """

    def __init__(
        self,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        view: CellView,
        finder: LeadFinder,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._view = view
        self._finder = finder

    async def announce(
        self, record: JobRecord, revision: int, proof: LeadProof | None
    ) -> LeadReply | None:
        """Announce a job, with retries; return the lead's answer, None without one.

        Without a proof, the lead's key is read first. The lead also finds jobs in the
        store, so a job whose announcement fails starts later.
        """
        if proof is None:
            proof = await self._read_lead(record)
            if proof is None:
                return None
        if self._is_outdated(record.pool, revision, proof):
            known = self._view.lead(record.pool)
            self._log.log_event(
                LogLevel.INFO,
                "lead_view_outdated",
                job=record.id,
                pool=record.pool,
                known_term=None if known is None else known.term,
                proven_term=None if proof.record is None else proof.record.term,
            )
        message = JobAccepted(record, revision)
        for _ in range(MAX_ATTEMPTS):
            lead = self._lead_to_notify(record.pool, revision, proof)
            if lead is not None:
                reply = await self._finder.send_to(record.pool, lead, message)
                if reply is not None and reply.leads:
                    return reply
            await self._clock.sleep(RETRY_INTERVAL)
        return None

    def _is_outdated(self, pool: str, revision: int, proof: LeadProof) -> bool:
        """Return whether the view lacks a change of the lead that is proved."""
        entry = self._view.leads.get(pool)
        if entry is None:
            return self._view.revision < proof.revision
        return entry.revision < (proof.revision or revision)

    def _lead_to_notify(
        self, pool: str, revision: int, proof: LeadProof
    ) -> LeadRecord | None:
        """Return the latest known lead whose term was not over at ``revision``."""
        if self._is_outdated(pool, revision, proof):
            return proof.record
        return self._view.lead(pool)

    async def _read_lead(self, record: JobRecord) -> LeadProof | None:
        try:
            return LeadProof.of_key(await self._store.get(lead_key(record.pool)))
        except StoreError as exc:
            self._log.log_event(
                LogLevel.INFO,
                "lead_unread",
                job=record.id,
                pool=record.pool,
                detail=str(exc),
            )
            return None
