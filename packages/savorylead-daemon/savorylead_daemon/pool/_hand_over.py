"""Handover of a pool to a daemon on a machine with more resources."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer
from savorylead.pools import CellStore, Committed
from savorylead.store import StoreError
from savorylead_daemon.concurrency import spawn, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._candidates import Candidate, Successor, successor
from ._cell_lease import CellLease
from ._cell_view import CellView, LeadRecord
from ._keys import lead_key
from ._member_history import MemberHistory
from ._term import Term

#: Shortest term. Daemons that start within 0.3 s of each other are all registered by
#: then, and each change of the lead loads all records again.
MIN_TERM = timedelta(seconds=1)
#: A member must have been in view this long to take a pool over, so that its start is
#: complete.
MIN_VISIBLE = timedelta(seconds=1)
#: Time between two checks, a fraction of the times above.
CHECK_INTERVAL = timedelta(milliseconds=200)
#: Time after a handover in which no daemon that saw it hands the pool over again. If a
#: strong machine is registered but can't be elected, the weak ones would otherwise lead
#: in turn, and each change costs some 0.1 s without decisions.
HAND_OVER_COOLDOWN = timedelta(seconds=30)
#: Time between two handovers by one daemon, in which the first pool's next lead comes
#: into view.
HAND_OVER_SPACING = timedelta(milliseconds=200)
#: Time for which a daemon does not stand for election for a pool that it could not
#: serve.
ABSTAIN_FOR = timedelta(seconds=10)
#: Longest time for which a handover waits for workers that do not answer: their leases
#: end within 5 s. They may also be silent because this daemon's machine is too weak.
MAX_SILENCE_WAIT = timedelta(seconds=6)
#: Time until a failed deletion is retried.
RETRY_DELAY = timedelta(milliseconds=150)


class _FormerLead(NamedTuple):
    """The previous lead of a pool, and when its key was found to have ended."""

    record: LeadRecord
    ended_at: datetime


class HandOver:
    """Checks whether this daemon's pools should move to another one, and releases them.

    Load pattern: one daemon starts before all others and takes every pool; its machine
    has a quarter of the processor and a twentieth of the link of the best ones.

    Load pattern: workers were lost shortly before. This lead knows their runs, whereas
    the next one would start no earlier job until their leases are over.

    The term ends before its key is deleted, so the next lead can begin immediately. It
    is not resumed if the deletion fails or is not answered: work that it accepted may
    run by then, and the same term would start it again. The deletion is retried until
    the key is certain to be gone, which it is when the lease ends.
    """

    def __init__(
        self,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        name: str,
        lease: CellLease,
        view: CellView,
        member_history: MemberHistory,
        candidates: Callable[[str], list[Candidate]],
        depose: Callable[[str, str], None],
        reaches_all_runs: Callable[[str], bool],
    ) -> None:
        """``candidates(pool)`` returns the daemons with their leads of other pools.

        ``reaches_all_runs(pool)`` returns whether all workers with runs answer.
        """
        self._store = store
        self._clock = clock
        self._log = log
        self._name = name
        self._lease = lease
        self._view = view
        self._member_history = member_history
        self._candidates = candidates
        self._depose = depose
        self._reaches_all_runs = reaches_all_runs
        #: Since when a pool's handover waits for workers that do not answer.
        self._waits_since: dict[str, datetime] = {}
        self._timers: dict[str, Timer] = {}
        self._last_leads: dict[str, LeadRecord] = {}
        self._former_leads: dict[str, _FormerLead] = {}
        self._handed_over_at: dict[str, datetime] = {}
        #: Revision of the last released lead key of each pool.
        self._released: dict[str, int] = {}
        self._not_before = clock.now()
        self._is_deleting = False
        self._deleting: Deferred[None] | None = None
        self._abstain_until: dict[str, datetime] = {}
        #: Number of released terms by pool and outcome.
        self.counts: Counter[tuple[str, str]] = Counter()

    def note_leads(self) -> None:
        """Record which leads have ended since the last call."""
        now = self._clock.now()
        leads = {pool: entry.record for pool, entry in self._view.leads.items()}
        for pool, record in self._last_leads.items():
            if leads.get(pool) != record:
                self._former_leads[pool] = _FormerLead(record, now)
        self._last_leads = leads

    def began(self, term: Term) -> None:
        """Check periodically from now on whether the pool should be handed over."""
        self._waits_since.pop(term.pool, None)
        self._schedule_check(MIN_TERM, term)

    def ended(self, pool: str) -> None:
        """Stop the checks of a pool."""
        timer = self._timers.pop(pool, None)
        if timer is not None:
            timer.cancel()

    def was_released(self, pool: str, revision: int) -> bool:
        """Return whether this daemon deletes or has deleted a lead key."""
        return revision <= self._released.get(pool, 0)

    def release_unserved(self, term: Term, reason: str) -> None:
        """Release a pool that this daemon can't serve, for any other daemon."""
        if self._is_deleting or not self._lease.holds():
            return
        self._abstain_until[term.pool] = self._clock.now() + ABSTAIN_FOR
        self._release(term, reason, None)

    def must_abstain(self, pool: str) -> bool:
        """Return whether this daemon leaves an election for the pool to others."""
        until = self._abstain_until.get(pool)
        return until is not None and self._clock.now() < until

    def close(self) -> None:
        """Stop deleting keys; they end with the lease."""
        if self._deleting is not None:
            self._deleting.cancel()

    def _schedule_check(self, delay: timedelta, term: Term) -> None:
        self._timers[term.pool] = self._clock.call_later(delay, self._check, term)

    def _check(self, term: Term) -> None:
        self._schedule_check(CHECK_INTERVAL, term)
        if not self._may_hand_over(term):
            return
        up = {self._name, *self._member_history.visible_for(MIN_VISIBLE)}
        candidates = [c for c in self._candidates(term.pool) if c.name in up]
        to = successor(term.pool, self._name, candidates)
        if to is not None and not self._waits_for_workers(term.pool):
            self._handed_over_at[term.pool] = self._clock.now()
            self._release(term, "handed_over", to)

    def _waits_for_workers(self, pool: str) -> bool:
        now = self._clock.now()
        if self._reaches_all_runs(pool):
            return False
        since = self._waits_since.setdefault(pool, now)
        return now - since < MAX_SILENCE_WAIT

    def _release(self, term: Term, reason: str, to: Successor | None) -> None:
        self._released[term.pool] = term.revision
        self._depose(term.pool, reason)
        self._is_deleting = True
        deleting = supervised(
            "hand-over of a pool", self._clock, lambda: self._delete_key(term, to)
        )
        self._deleting = spawn("hand-over of a pool", deleting)

    def _may_hand_over(self, term: Term) -> bool:
        now = self._clock.now()
        entry = self._view.leads.get(term.pool)
        # A view that does not show this term may be outdated in other respects too.
        is_in_view = entry is not None and entry.revision == term.revision
        if not is_in_view or not self._lease.holds():
            return False
        if self._is_deleting or now < self._not_before:
            return False
        handed_over_at = self._handed_over_at.get(term.pool)
        if handed_over_at is not None and now - handed_over_at < HAND_OVER_COOLDOWN:
            return False
        former = self._former_leads.get(term.pool)
        if former is None or now - former.ended_at >= HAND_OVER_COOLDOWN:
            return True
        # A former lead that still has the same lease has released the pool.
        member = former.record.member
        return self._view.members.get(member.name) != member

    async def _delete_key(self, term: Term, to: Successor | None) -> None:
        lease_id = self._lease.id
        outcome = ""
        attempts = 0
        try:
            while not outcome:
                attempts += 1
                outcome = await self._delete_once(term)
                if not outcome and self._lease.id != lease_id:
                    outcome = "lease_ended"
                if not outcome:
                    await self._clock.sleep(RETRY_DELAY)
        finally:
            self._is_deleting = False
            self._not_before = self._clock.now() + HAND_OVER_SPACING
            self._count_and_log(term, to, outcome or "interrupted", attempts)

    async def _delete_once(self, term: Term) -> str:
        """Return the outcome for the key, empty if it is unknown."""
        key = lead_key(term.pool)
        try:
            result = await self._store.commit({key: term.revision}, deletes=[key])
        except StoreError as exc:
            self._log.log_event(
                LogLevel.INFO, "lead_key_not_deleted", pool=term.pool, detail=str(exc)
            )
            return ""
        return "deleted" if isinstance(result, Committed) else "gone_before"

    def _count_and_log(
        self, term: Term, to: Successor | None, outcome: str, attempts: int
    ) -> None:
        self.counts[term.pool, outcome] += 1
        known = {}
        if to is not None:
            known = {
                "to": to.name,
                "strength_here": round(to.strength_left_here, 3),
                "strength_there": round(to.strength_left_there, 3),
            }
        self._log.log_event(
            LogLevel.INFO,
            "lead_handed_over",
            pool=term.pool,
            term=term.number,
            outcome=outcome,
            attempts=attempts,
            **known,
        )
