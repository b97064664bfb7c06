"""Has the lease of a lead ended that no daemon can connect to any more."""

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
from ._heard_peers import HeardPeers
from ._peer_messages import PendingAsked, ReachAsked
from ._peers import PeerError

#: A failure to connect counts for this long: a second call would take half a second.
FAILURE_KEPT = timedelta(milliseconds=700)
#: Longest wait for the word of a peer, which may call the lead first.
PATIENCE = timedelta(milliseconds=700)
#: Time between two rounds of questions about one lead, longer than a round.
ASK_AGAIN = timedelta(seconds=1)


class _Vote:
    """Counts the daemons that can't connect, until they are the larger part."""

    def __init__(self, needed: int, asked: int) -> None:
        """This daemon can't, and ``asked`` others are asked."""
        #: Fires with whether ``needed`` daemons can't connect, once that is known.
        self.outcome: Deferred[bool] = Deferred()
        self.cannot = 1
        self._needed = needed
        self._open = asked
        self._settle()

    def note(self, reaches: bool | None) -> None:
        """Count one answer; None if there was none, which tells nothing."""
        self._open -= 1
        self.cannot += reaches is False
        self._settle()

    def _settle(self) -> None:
        if self.outcome.called:
            return
        if self.cannot >= self._needed or not self._open:
            self.outcome.callback(self.cannot >= self._needed)


class LeadWatch:
    """Ends the lease of a dead lead before it lapses.

    Load pattern: the machine of a lead loses power. Its lease at the store holds for
    two more seconds, in which nothing is started and no end is seen.

    A lead that is only busy still takes connections, so its lease goes on. So does that
    of one that takes no new ones, but answers over those that are open. One that is cut
    off from the larger part of the daemons, but not from the store, sees its key
    gone, and its fencing token is the lower one from then on. A part that is not the
    larger one ends nothing, or two parts would take the lead from each other in turn
    for as long as the link between them is cut.
    """

    def __init__(
        self,
        name: str,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        view: CellView,
        peers: HeardPeers,
        store_answers: Callable[[], bool],
    ) -> None:
        self._name = name
        self._store = store
        self._clock = clock
        self._log = log
        self._view = view
        self._peers = peers
        self._store_answers = store_answers
        #: When this daemon could last not connect to an address.
        self._failed_at: dict[str, datetime] = {}
        self._not_before: dict[str, datetime] = {}

    def note_unreached(self, pool: str, address: str) -> None:
        """Take note that this daemon could not connect to the lead of a pool."""
        now = self._clock.now()
        self._failed_at = {
            a: t for a, t in self._failed_at.items() if now - t < FAILURE_KEPT
        }
        self._failed_at[address] = now
        lead = self._view.lead(pool)
        if lead is None or lead.member.address != address or not self._store_answers():
            return
        if now < self._not_before.get(pool, now):
            return
        self._not_before[pool] = now + ASK_AGAIN
        spawn("question about a lead", self._ask(pool, lead.member))

    async def reaches(self, asked: ReachAsked) -> bool:
        """Return whether this daemon can connect to a lead."""
        failed_at = self._failed_at.get(asked.address)
        if failed_at is not None and self._clock.now() - failed_at < FAILURE_KEPT:
            return self._peers.heard_since(asked.address, failed_at)
        try:
            # Any message opens a connection; the answer to this one is not used.
            await self._peers.tell(asked.address, PendingAsked(asked.pool, ""))
        except PeerError as exc:
            if not exc.connected:
                self._failed_at[asked.address] = self._clock.now()
            return exc.connected
        return True

    async def _ask(self, pool: str, lead: MemberRecord) -> None:
        began_at = self._clock.now()
        others = self._view.others(self._name, lead.name)
        # All daemons, with this one and the lead.
        needed = (len(others) + 2) // 2 + 1
        vote = _Vote(needed, len(others))
        for member in others:
            spawn("question about a lead", self._ask_one(member, pool, lead, vote))
        agreed = await vote.outcome
        seen = self._view.lead(pool)
        if self._peers.heard_since(lead.address, began_at):
            return
        if agreed and seen is not None and seen.member == lead:
            await self._end(pool, lead, vote.cannot)

    async def _ask_one(
        self, peer: MemberRecord, pool: str, lead: MemberRecord, vote: _Vote
    ) -> None:
        message = ReachAsked(pool, lead.address)
        asking = Deferred.fromCoroutine(self._peers.ask(peer.address, message))
        try:
            reaches = await within(self._clock, PATIENCE, asking)
        except (PeerError, DeadlineExceededError) as exc:
            self._log.log_event(
                LogLevel.INFO,
                "peer_not_reached",
                peer=peer.name,
                detail=f"{type(exc).__name__}: {exc}",
            )
            reaches = None
        vote.note(reaches)

    async def _end(self, pool: str, lead: MemberRecord, cannot: int) -> None:
        detail = ""
        try:
            await self._store.end_lease(lead.lease_id)
        except StoreError as exc:
            detail = str(exc)
        self._log.log_event(
            LogLevel.WARNING,
            "lead_lease_ended",
            pool=pool,
            lead=lead.name,
            lease=lead.lease_id,
            cannot_connect=cannot,
            detail=detail,
        )
