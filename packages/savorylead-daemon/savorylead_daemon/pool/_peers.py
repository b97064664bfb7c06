"""Client and server for messages between the daemons of the cell."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from savorylead.jobs import JobState
from savorylead.links import Link, LinkError, LinkRequest, LinkUnavailableError
from savorylead.pools import Advice, AdviserError, AdviserRefusedError
from savorylead_daemon.http import HttpLinks, JsonRequest, JsonResponse

from ._advice_queue import AdviceQueue
from ._cell_view import CellView
from ._peer_messages import (
    AdmissionQuery,
    AdviceReply,
    Done,
    GrantsWritten,
    JobAccepted,
    JobCancelled,
    JobStoreRequest,
    LeadReply,
    LeaseEndRequest,
    PeerAdviceRequest,
    PendingQuery,
    ReachabilityQuery,
    StateQuery,
)
from ._pool_lead import PoolLead

T = TypeVar("T")
Message = (
    JobAccepted
    | JobCancelled
    | StateQuery
    | PendingQuery
    | GrantsWritten
    | AdmissionQuery
)
#: Requests that a daemon serves for one that can't reach the store or a lead.
PeerRequest = JobStoreRequest | LeaseEndRequest | ReachabilityQuery

#: Requests whose refusal says that nothing was done. A link must not repeat them: the
#: refusal of a copy would say nothing about an earlier copy that was executed.
_NOT_REPEATED = (JobStoreRequest, LeaseEndRequest)

#: Longest wait for a lead's answer; after it, callers are answered from the store.
PEER_TIMEOUT = timedelta(milliseconds=500)
#: Longest wait for advice through another daemon, including the time in its queue.
ADVICE_TIMEOUT = timedelta(seconds=5)

_PATHS: dict[type, str] = {
    JobAccepted: "/peer/job",
    JobCancelled: "/peer/cancel",
    StateQuery: "/peer/state",
    PendingQuery: "/peer/pending",
    GrantsWritten: "/peer/grants",
    AdmissionQuery: "/peer/admission",
    JobStoreRequest: "/peer/store",
    LeaseEndRequest: "/peer/lease",
    ReachabilityQuery: "/peer/reach",
    PeerAdviceRequest: "/peer/advise",
}
_KINDS: dict[str, Any] = {path: kind for kind, path in _PATHS.items()}


class PeerError(Exception):
    """Another daemon could not be reached, or its answer could not be decoded."""

    def __init__(self, detail: str, sent: bool = True, connected: bool = True) -> None:
        super().__init__(detail)
        #: False if no connection could be opened.
        self.connected = connected
        #: Whether the other daemon may have received the message.
        self.sent = sent


class PeerCalls(ABC):
    """Calls other daemons by their address."""

    @abstractmethod
    async def send_message(self, address: str, message: Message) -> LeadReply:
        """Send a message to a lead; raises PeerError."""

    @abstractmethod
    async def send_request(self, address: str, request: PeerRequest) -> bool:
        """Send a request to a peer and return its answer; raises PeerError.

        After a PeerError of a request that was sent, the peer may have executed it or
        may do so later.
        """

    @abstractmethod
    async def advise(self, address: str, request: PeerAdviceRequest) -> Advice:
        """Return advice through another daemon; raises AdviserError."""


class PeerClient(PeerCalls):
    """Calls other daemons over HTTP."""

    def __init__(self, links: HttpLinks, advice_links: HttpLinks) -> None:
        self._links = links
        self._advice_links = advice_links
        self._open_links: dict[str, Link] = {}
        self._open_advice_links: dict[str, Link] = {}

    async def send_message(self, address: str, message: Message) -> LeadReply:
        """Send a message to a lead; raises PeerError."""
        path = _PATHS[type(message)]
        return await _call(
            self._link(address), path, message, PEER_TIMEOUT, kind=LeadReply
        )

    async def send_request(self, address: str, request: PeerRequest) -> bool:
        """Send a request to a peer and return its answer; raises PeerError."""
        path = _PATHS[type(request)]
        link = self._link(address)
        return (await _call(link, path, request, PEER_TIMEOUT, kind=Done)).done

    def _link(self, address: str) -> Link:
        link = self._open_links.get(address)
        if link is None:
            link = self._open_links[address] = self._links.open(address)
        return link

    async def advise(self, address: str, request: PeerAdviceRequest) -> Advice:
        """Return advice through another daemon; raises AdviserError."""
        link = self._open_advice_links.get(address)
        if link is None:
            link = self._open_advice_links[address] = self._advice_links.open(address)
        try:
            reply = await _call(
                link,
                _PATHS[PeerAdviceRequest],
                request,
                ADVICE_TIMEOUT,
                kind=AdviceReply,
            )
        except PeerError as exc:
            raise AdviserError(str(exc)) from exc
        return advice_of(reply)


def advice_of(reply: AdviceReply) -> Advice:
    """Return the advice in a peer's answer; raises AdviserError."""
    if reply.refused:
        raise AdviserRefusedError(reply.error)
    if reply.error:
        raise AdviserError(reply.error)
    return Advice(reply.tickets, reply.valid_ms)


class PeerServer:
    """Answers messages of other daemons, mostly through the leads of this one."""

    def __init__(
        self,
        lead_of: Callable[[str], PoolLead | None],
        advice: AdviceQueue | None,
        do_for_peer: Callable[[PeerRequest], Coroutine[Any, Any, bool]],
        view: CellView,
    ) -> None:
        """``do_for_peer`` executes a peer's request and returns the answer."""
        self._lead_of = lead_of
        self._view = view
        self._advice = advice
        self._serve_peer = do_for_peer
        self._handlers: dict[type, Callable[[Any], Coroutine[Any, Any, Any]]] = {
            JobAccepted: self._accept,
            JobCancelled: self._cancel,
            StateQuery: self._state,
            PendingQuery: self._pending,
            GrantsWritten: self._review_grants,
            AdmissionQuery: self._admit,
            JobStoreRequest: self._serve_request,
            LeaseEndRequest: self._serve_request,
            ReachabilityQuery: self._serve_request,
            PeerAdviceRequest: self._advise,
        }

    async def handle(self, request: JsonRequest) -> JsonResponse:
        """Answer one message."""
        kind = _KINDS.get(request.path)
        if kind is None:
            return JsonResponse(404)
        try:
            message = msgspec.json.decode(request.body, type=kind)
        except msgspec.DecodeError:
            return JsonResponse(400)
        reply = await self.answer(message)
        return JsonResponse(200, msgspec.json.encode(reply))

    async def answer(self, message: Any) -> Any:
        """Return the answer to a decoded message: LeadReply, Done or AdviceReply."""
        return await self._handlers[type(message)](message)

    async def _accept(self, message: JobAccepted) -> LeadReply:
        pool = message.record.pool
        return self._with_known_lead(
            pool, answer_accepted(self._lead_of(pool), message)
        )

    async def _cancel(self, message: JobCancelled) -> LeadReply:
        reply = answer_cancelled(self._lead_of(message.pool), message)
        return self._with_known_lead(message.pool, reply)

    async def _state(self, message: StateQuery) -> LeadReply:
        reply = await answer_state(self._lead_of(message.pool), message)
        return self._with_known_lead(message.pool, reply)

    async def _pending(self, message: PendingQuery) -> LeadReply:
        reply = answer_pending(self._lead_of(message.pool), message)
        return self._with_known_lead(message.pool, reply)

    def _with_known_lead(self, pool: str, reply: LeadReply) -> LeadReply:
        """Add the known lead, for a sender that can't read it from the store."""
        lead = None if reply.leads else self._view.lead(pool)
        if lead is None:
            return reply
        return reply._replace(
            lead_name=lead.member.name,
            lead_address=lead.member.address,
            lead_term=lead.term,
        )

    async def _admit(self, message: AdmissionQuery) -> LeadReply:
        reply = answer_admission(self._lead_of(message.pool), message)
        return self._with_known_lead(message.pool, reply)

    async def _review_grants(self, message: GrantsWritten) -> LeadReply:
        return answer_grants(self._lead_of(message.pool), message)

    async def _serve_request(self, message: PeerRequest) -> Done:
        return Done(await self._serve_peer(message))

    async def _advise(self, message: PeerAdviceRequest) -> AdviceReply:
        if self._advice is None:
            return AdviceReply({}, 0, "no adviser here")
        try:
            advice = await self._advice.advise(
                message.step, message.workers, message.rank_ms
            )
        except AdviserError as exc:
            refused = isinstance(exc, AdviserRefusedError)
            return AdviceReply({}, 0, str(exc) or type(exc).__name__, refused)
        return AdviceReply(dict(advice.tickets), advice.valid_ms)


_NOT_LEADING = LeadReply(leads=False)


def _if_loaded(lead: PoolLead | None) -> PoolLead | None:
    return lead if lead is not None and lead.loaded else None


def answer_accepted(lead: PoolLead | None, message: JobAccepted) -> LeadReply:
    """Pass a durable job to a lead of this daemon."""
    lead = _if_loaded(lead)
    if lead is None:
        return _NOT_LEADING
    lead.accept(message.record, message.revision)
    check_next = lead.admission.must_check_next(message.record.id)
    return LeadReply(leads=True, known=True, check_next=check_next)


def answer_admission(lead: PoolLead | None, message: AdmissionQuery) -> LeadReply:
    """Return whether a lead of this daemon admits a job, and else when to retry."""
    lead = _if_loaded(lead)
    if lead is None:
        return _NOT_LEADING
    return LeadReply(leads=True, retry_after_ms=lead.admission.retry_after_ms(message))


def answer_cancelled(lead: PoolLead | None, message: JobCancelled) -> LeadReply:
    """Pass a durable cancellation to a lead of this daemon."""
    lead = _if_loaded(lead)
    if lead is None:
        return _NOT_LEADING
    return LeadReply(leads=True, known=lead.cancel(message.job))


def answer_grants(lead: PoolLead | None, message: GrantsWritten) -> LeadReply:
    """Have a lead of this daemon read the teams' grants."""
    lead = _if_loaded(lead)
    if lead is None:
        return _NOT_LEADING
    lead.schedule_grant_review()
    return LeadReply(leads=True)


async def answer_state(lead: PoolLead | None, message: StateQuery) -> LeadReply:
    """Return the state of a job from a lead of this daemon."""
    lead = _if_loaded(lead)
    if lead is None or not lead.may_act():
        return _NOT_LEADING
    state: JobState | None = await lead.reported_state(message.job)
    if state is None:
        return LeadReply(leads=True)
    return LeadReply(leads=True, known=True, state=state.value)


def answer_pending(lead: PoolLead | None, message: PendingQuery) -> LeadReply:
    """Return the number of waiting jobs from a lead of this daemon."""
    lead = _if_loaded(lead)
    if lead is None or not lead.may_act():
        return _NOT_LEADING
    return LeadReply(leads=True, known=True, pending=lead.pending(message.queue))


async def _call(
    link: Link, path: str, message: Any, timeout: timedelta, kind: type[T]
) -> T:
    request = LinkRequest(
        "POST",
        path,
        msgspec.json.encode(message),
        idempotent=not isinstance(message, _NOT_REPEATED),
    )
    try:
        reply = await link.call(request, timeout)
    except LinkError as exc:
        connected = not isinstance(exc, LinkUnavailableError)
        raise PeerError(str(exc), exc.sent, connected) from exc
    if reply.status != 200:
        raise PeerError(f"status {reply.status}")
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as exc:
        raise PeerError(str(exc)) from exc
