"""Early end of the lease of a lead to which daemons can no longer connect."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import CellStore
from savorylead.store import StoreError
from savorylead_daemon.concurrency import spawn
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._cell_view import CellView, MemberRecord
from ._early_ends import mark_ended
from ._peer_messages import PendingQuery, ReachabilityQuery
from ._peers import PeerError
from ._tracked_peer_calls import TrackedPeerCalls

#: Time for which a failure to connect is reused: another call would take half a second.
FAILURE_VALID_FOR = timedelta(milliseconds=700)
#: Longest wait for a peer's vote, for which it may have to call the lead first.
PEER_VOTE_TIMEOUT = timedelta(milliseconds=700)
#: Time between two votes on the same lead, longer than a vote takes.
VOTE_INTERVAL = timedelta(seconds=1)


class _Vote:
    """Counts the daemons that can't connect to a lead, up to a majority."""

    def __init__(self, needed: int, voters: int) -> None:
        """Count this daemon as one that can't connect; ``voters`` others vote."""
        #: Fires with whether ``needed`` daemons can't connect, once this is decided.
        self.outcome: Deferred[bool] = Deferred()
        self.unable = 1
        self._needed = needed
        self._outstanding = voters
        self._decide()

    def add(self, reaches: bool | None) -> None:
        """Count one vote; None is a missing answer, which counts for neither side."""
        self._outstanding -= 1
        self.unable += reaches is False
        self._decide()

    def _decide(self) -> None:
        if self.outcome.called:
            return
        if self.unable >= self._needed or not self._outstanding:
            self.outcome.callback(self.unable >= self._needed)


class LeadWatch:
    """Ends the lease of a dead lead before it lapses.

    Load pattern: the machine of a lead loses power. Its lease at the store is valid for
    two more seconds, in which no run is started and no end of one is processed.

    A lead that is only busy still accepts connections, so its lease is kept. So is that
    of a lead that accepts no new connections, but answers over open ones. A lead that
    is partitioned from the majority of the daemons, but not from the store, sees its
    key deleted, and its fencing token is outdated from then on. A minority ends no
    lease; otherwise both sides of a partition would take the lead from each other in
    turn for as long as it lasts.

    Daemons of the earlier version would end the lease without a mark, so beside one of
    them no daemon supports a vote, and a lead that dies is followed after a lapse.
    """

    def __init__(
        self,
        name: str,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        view: CellView,
        peers: TrackedPeerCalls,
        store_answers: Callable[[], bool],
    ) -> None:
        self._name = name
        self._store = store
        self._clock = clock
        self._log = log
        self._view = view
        self._peers = peers
        self._store_answers = store_answers
        #: Time of the last failure to connect, by address.
        self._failed_at: dict[str, datetime] = {}
        self._not_before: dict[str, datetime] = {}
        #: Number of leases that the store ended after a vote.
        self.ended_leases = 0

    def note_connect_failure(self, pool: str, address: str) -> None:
        """Record that this daemon could not connect to the lead of a pool."""
        now = self._clock.now()
        self._failed_at = {
            a: t for a, t in self._failed_at.items() if now - t < FAILURE_VALID_FOR
        }
        self._failed_at[address] = now
        lead = self._view.lead(pool)
        if lead is None or lead.member.address != address or not self._store_answers():
            return
        if now < self._not_before.get(pool, now) or not self._supports_votes():
            return
        self._not_before[pool] = now + VOTE_INTERVAL
        spawn("vote on a lead", self._hold_vote(pool, lead.member))

    async def reaches(self, query: ReachabilityQuery) -> bool:
        """Return whether this daemon can connect to a lead, or supports no vote."""
        if not self._supports_votes():
            return True
        failed_at = self._failed_at.get(query.address)
        if failed_at is not None and self._clock.now() - failed_at < FAILURE_VALID_FOR:
            return self._peers.answered_since(query.address, failed_at)
        try:
            # Any message opens a connection; the answer is ignored.
            await self._peers.send_message(query.address, PendingQuery(query.pool, ""))
        except PeerError as exc:
            if not exc.connected:
                self._failed_at[query.address] = self._clock.now()
            return exc.connected
        return True

    def _supports_votes(self) -> bool:
        return self._view.all_mark_ended_leases()

    async def _hold_vote(self, pool: str, lead: MemberRecord) -> None:
        began_at = self._clock.now()
        others = self._view.others(self._name, lead.name)
        # A majority of all daemons, including this one and the lead.
        needed = (len(others) + 2) // 2 + 1
        vote = _Vote(needed, len(others))
        for member in others:
            spawn("vote on a lead", self._request_vote(member, pool, lead, vote))
        agreed = await vote.outcome
        record = self._view.lead(pool)
        if self._peers.answered_since(lead.address, began_at):
            return
        if agreed and record is not None and record.member == lead:
            await self._end_lease(pool, lead, vote.unable, began_at)

    async def _request_vote(
        self, peer: MemberRecord, pool: str, lead: MemberRecord, vote: _Vote
    ) -> None:
        message = ReachabilityQuery(pool, lead.address)
        call = Deferred.fromCoroutine(self._peers.send_request(peer.address, message))
        try:
            reaches = await within(self._clock, PEER_VOTE_TIMEOUT, call)
        except (PeerError, DeadlineExceededError) as exc:
            self._log.log_event(
                LogLevel.INFO,
                "peer_not_reached",
                peer=peer.name,
                detail=f"{type(exc).__name__}: {exc}",
            )
            reaches = None
        vote.add(reaches)

    async def _end_lease(
        self, pool: str, lead: MemberRecord, unable: int, vote_began_at: datetime
    ) -> None:
        detail = ""
        try:
            # The lead may be alive, and act until it learns of the end or would have
            # had to renew the lease. Its successor must find the mark.
            await mark_ended(self._store, lead.lease_id)
            if self._peers.answered_since(lead.address, vote_began_at):
                self._log.log_event(
                    LogLevel.INFO,
                    "lead_lease_kept",
                    pool=pool,
                    lead=lead.name,
                    lease=lead.lease_id,
                )
                return
            await self._store.end_lease(lead.lease_id)
        except StoreError as exc:
            detail = str(exc)
        else:
            self.ended_leases += 1
        self._log.log_event(
            LogLevel.WARNING,
            "lead_lease_ended",
            pool=pool,
            lead=lead.name,
            lease=lead.lease_id,
            cannot_connect=unable,
            detail=detail,
        )
