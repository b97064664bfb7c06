"""Delivery of messages to the current lead of a pool."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, NamedTuple

from savorylead.clock import Clock
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._cell_view import CellView, LeadRecord, MemberRecord
from ._peer_messages import LeadReply
from ._peers import Message, PeerCalls, PeerError

#: Time between two attempts to notify a lead of a job.
RETRY_INTERVAL = timedelta(milliseconds=100)
#: Maximum number of such attempts; the lead also reads the records of jobs.
MAX_ATTEMPTS = 20
#: Peers that are queried for the lead; a third of all may not know it either.
MAX_PEERS_QUERIED = 2
#: No further peer is queried after this time, so that the caller has time left to try
#: another daemon: a peer that does not answer takes half a second.
PEER_QUERY_WINDOW = timedelta(milliseconds=700)


class _KnownLead(NamedTuple):
    name: str
    address: str
    term: int

    @classmethod
    def of(cls, record: LeadRecord) -> _KnownLead:
        """Return the lead of a record."""
        return cls(record.member.name, record.member.address, record.term)


class LeadFinder:
    """Finds leads in the cell view, or through peers if the store is unreachable.

    Load pattern: the store rejects some daemons, the lead among them, and serves the
    others. The daemons without the store still serve callers for seconds, and their
    view still shows the former lead.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
        view: CellView,
        peers: PeerCalls,
        answer_here: Callable[[Message], Coroutine[Any, Any, LeadReply]],
        store_answers: Callable[[], bool],
        on_unreachable: Callable[[str, str], None],
    ) -> None:
        """``answer_here`` lets the leads of this daemon answer a message.

        ``on_unreachable(pool, address)`` is called if no connection to a lead opens.
        """
        self._name = name
        self._clock = clock
        self._rng = rng
        self._log = log
        self._view = view
        self._peers = peers
        self._answer_here = answer_here
        self._store_answers = store_answers
        self._on_unreachable = on_unreachable
        #: Leads that peers have named, by pool.
        self._named_leads: dict[str, _KnownLead] = {}

    async def send_with_retries(self, pool: str, message: Message) -> LeadReply | None:
        """Send a message to the lead of a pool, with retries while there is none."""
        for _ in range(MAX_ATTEMPTS):
            reply = await self.send(pool, message)
            if reply is not None:
                return reply
            await self._clock.sleep(RETRY_INTERVAL)
        return None

    async def send(self, pool: str, message: Message) -> LeadReply | None:
        """Send a message once; return the lead's answer, None if there is none now."""
        began_at = self._clock.now()
        lead = self._latest_lead(pool)
        if lead is not None:
            reply = await self._send_to_lead(pool, lead, message)
            if reply is not None and reply.leads:
                return reply
        if self._store_answers():
            # The view will show the next lead as soon as there is one.
            return None
        term = 0 if lead is None else lead.term
        others = self._view.others(self._name, "" if lead is None else lead.name)
        for peer in self._rng.sample(others, min(MAX_PEERS_QUERIED, len(others))):
            if self._clock.now() - began_at >= PEER_QUERY_WINDOW:
                break
            reply = await self._send_through_peer(pool, peer, term, message)
            if reply is not None:
                return reply
        return None

    async def send_to(
        self, pool: str, record: LeadRecord, message: Message
    ) -> LeadReply | None:
        """Send a message once to one lead; return its answer, None without one."""
        return await self._send_to_lead(pool, _KnownLead.of(record), message)

    async def _send_through_peer(
        self, pool: str, peer: MemberRecord, term: int, message: Message
    ) -> LeadReply | None:
        """Return the answer of a peer that leads, or of the later lead it names."""
        # A peer that leads has a later term than the lead known here.
        lead = _KnownLead(peer.name, peer.address, term + 1)
        named_term = None
        reply = await self._send(
            pool, peer.name, peer.address, message, "peer_not_reached", peer=peer.name
        )
        if reply is not None and not reply.leads and reply.lead_term > term:
            named_term = reply.lead_term
            lead = _KnownLead(reply.lead_name, reply.lead_address, reply.lead_term)
            reply = await self._send_to_lead(pool, lead, message)
        if reply is None or not reply.leads:
            return None
        self._named_leads[pool] = lead
        self._log.log_event(
            LogLevel.INFO,
            "lead_named_by_peer",
            pool=pool,
            lead=lead.name,
            # The answer of a peer that leads does not include its term.
            term=named_term,
            peer=peer.name,
        )
        return reply

    def _latest_lead(self, pool: str) -> _KnownLead | None:
        """Return the known lead with the latest term."""
        named = self._named_leads.get(pool)
        record = self._view.lead(pool)
        if record is None or (named is not None and named.term > record.term):
            return named
        self._named_leads.pop(pool, None)
        return _KnownLead.of(record)

    async def _send_to_lead(
        self, pool: str, lead: _KnownLead, message: Message
    ) -> LeadReply | None:
        return await self._send(
            pool,
            lead.name,
            lead.address,
            message,
            "lead_not_reached",
            lead=lead.name,
            term=lead.term,
        )

    async def _send(
        self,
        pool: str,
        name: str,
        address: str,
        message: Message,
        failure: str,
        **fields: object,
    ) -> LeadReply | None:
        """Return the answer; None after a failure, logged as event ``failure``."""
        if name == self._name:
            return await self._answer_here(message)
        try:
            return await self._peers.send_message(address, message)
        except PeerError as exc:
            self._log.log_event(
                LogLevel.INFO, failure, pool=pool, **fields, detail=str(exc)
            )
            if not exc.connected:
                self._on_unreachable(pool, address)
            return None
