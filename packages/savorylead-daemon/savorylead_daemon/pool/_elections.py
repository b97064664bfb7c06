"""Elections of this daemon as the lead of pools that have none."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import CancelledError

from savorylead.clock import Clock, Timer
from savorylead.pools import CellStore, Committed, Put
from savorylead.store import StoreError
from savorylead_daemon.concurrency import gather, spawn
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._candidates import Candidate, Machine, rank_candidates, should_wait_for_absent
from ._cell_lease import CellLease
from ._cell_view import CellView, LeadRecord, MemberRecord, encode_record
from ._early_ends import (
    TermLeases,
    decode_term_leases,
    encode_term_leases,
    mark_ended,
    stand_in_lease,
)
from ._hand_over import HandOver
from ._keys import (
    lead_key,
    marked_since_key,
    pool_key,
    term_key,
    term_leases_key,
)
from ._marked_since import encode_marked_since, next_marked_since
from ._member_history import MemberHistory
from ._term import Term

#: Each daemon waits this much longer than the one ranked before it, so that usually a
#: single transaction decides the election.
TURN_DELAY = timedelta(milliseconds=60)
#: Time until the next attempt for a pool without a lead.
RETRY_DELAY = timedelta(milliseconds=300)
#: How much later than this daemon one on a much stronger machine may register again
#: after an outage of the store: a call times out after 400 ms and is retried 150 ms
#: later.
STRONGER_RETURN_DELAY = timedelta(milliseconds=550)


class Elections:
    """Watches the cell; calls ``on_elected(term)`` and ``on_deposed(pool)``."""

    def __init__(
        self,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        member: MemberRecord,
        lease: CellLease,
        view: CellView,
        on_elected: Callable[[Term], None],
        on_deposed: Callable[[str], None],
        reaches_all_runs: Callable[[str], bool],
        machine: Machine = Machine(),  # noqa: B008 - immutable.
        marks_jobs: bool = False,
    ) -> None:
        """``marks_jobs`` is whether this daemon marks jobs before it starts them."""
        self._store = store
        self._clock = clock
        self._log = log
        self._member = member
        self._machine = machine
        self._marks_jobs = marks_jobs
        self._lease = lease
        self._view = view
        self._on_elected = on_elected
        self._on_deposed = on_deposed
        #: Pools that the configuration names; None before one was read.
        self._pools: frozenset[str] | None = None
        self._timers: dict[str, Timer] = {}
        self._closed = False
        #: The lease under which this daemon is registered; empty before registration.
        self._registered_under = ""
        self._member_history = MemberHistory(clock)
        self.terms: dict[str, Term] = {}
        #: Number of ended terms, by pool and reason.
        self.ended_terms: Counter[tuple[str, str]] = Counter()
        self.hand_over = HandOver(
            store,
            clock,
            log,
            member.name,
            lease,
            view,
            self._member_history,
            self._candidates,
            self.depose,
            reaches_all_runs,
        )

    def set_pools(self, pools: frozenset[str]) -> None:
        """Set which pools the configuration names; each needs a lead."""
        self._pools = pools
        self.review()

    def review(self) -> None:
        """Compare the view of the cell with the terms of this daemon."""
        if self._closed or not self._view.revision:
            return
        self._member_history.note(self._view)
        self.hand_over.note_leads()
        if self._pools is None:
            # A lead can't begin without a configuration.
            return
        for pool in self._pools | self._view.pools | set(self.terms):
            self._review_pool(pool)

    def _needs_lead(self, pool: str) -> bool:
        """Return whether the configuration names a pool, or it may hold jobs."""
        return pool in self._view.pools or pool in (self._pools or ())

    def on_registered(self, lease_id: str) -> None:
        """Schedule all attempts again: those without a lease had no rank."""
        self._registered_under = lease_id
        self._member_history.note_registered()
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        self.review()

    def stand_down(self) -> None:
        """Take part in no further election."""
        self._closed = True
        for timer in self._timers.values():
            timer.cancel()

    def resign_all(self) -> None:
        """End all terms for good; the keys end with the lease."""
        self.stand_down()
        self.hand_over.close()
        for pool in list(self.terms):
            self.depose(pool, "resigned")

    def depose(self, pool: str, reason: str) -> None:
        """End this daemon's term for a pool."""
        term = self.terms.pop(pool, None)
        if term is None:
            return
        self.ended_terms[pool, reason] += 1
        self._log.log_event(
            LogLevel.INFO, "lead_ended", pool=pool, term=term.number, reason=reason
        )
        self.hand_over.ended(pool)
        self._on_deposed(pool)

    def release_unserved(self, pool: str, reason: str) -> None:
        """Release a pool that this daemon leads but can't serve."""
        term = self.terms.get(pool)
        if term is not None:
            self.hand_over.release_unserved(term, reason)

    def lease_lost(self) -> None:
        """End every term, since the keys ended with the lease."""
        for pool in list(self.terms):
            self.depose(pool, "lease_lost")

    def _review_pool(self, pool: str) -> None:
        entry = self._view.leads.get(pool)
        term = self.terms.get(pool)
        if term is not None:
            if entry is None and self._view.revision > term.revision:
                self.depose(pool, "key_gone")
            elif entry is not None and entry.revision > term.revision:
                self.depose(pool, "superseded")
            else:
                return
        if entry is not None:
            # The view may still show a key of an earlier lease, which ended with it.
            is_ours = entry.record.member.lease_id == self._lease.id != ""
            if is_ours and not self.hand_over.was_released(pool, entry.revision):
                self._begin_term(pool, entry.record.term, entry.revision)
            return
        if self._needs_lead(pool) and pool not in self._timers:
            wait = self._election_delay(pool)
            self._timers[pool] = self._clock.call_later(wait, self._try_election, pool)

    def _begin_term(self, pool: str, number: int, revision: int) -> None:
        """Begin a term under an own key, also if the answer to its write was lost."""
        if pool in self.terms or not self._lease.id:
            return
        term = Term(pool, number, lead_key(pool), revision)
        self.terms[pool] = term
        self._log.log_event(
            LogLevel.INFO,
            "lead_began",
            pool=pool,
            term=number,
            cores=self._machine.cores,
            link_mbps=self._machine.link_mbps,
        )
        self.hand_over.began(term)
        self._on_elected(term)

    def _election_delay(self, pool: str) -> timedelta:
        """Return the delay that lets daemons ranked before this one try first."""
        me, living = self._member.name, self._candidates(pool)
        wait = TURN_DELAY * rank_candidates(pool, living).index(me)
        gone = self._member_history.may_return()
        gone.pop(me, None)
        if should_wait_for_absent(
            me, living, [Candidate(n, m) for n, m in gone.items()]
        ):
            wait += STRONGER_RETURN_DELAY
        return wait

    def _candidates(self, pool: str) -> list[Candidate]:
        """Return the live daemons, with the number of other pools that each leads."""
        leads = Counter(
            entry.record.member.name
            for led, entry in self._view.leads.items()
            if led != pool
        )
        machines = {**self._view.machines, self._member.name: self._machine}
        return [
            Candidate(name, machines.get(name, Machine()), leads[name])
            for name in {*self._view.members, self._member.name}
        ]

    def _try_election(self, pool: str) -> None:
        del self._timers[pool]
        if self._closed or pool in self._view.leads or not self._needs_lead(pool):
            return
        is_registered = self._registered_under == self._lease.id
        must_abstain = self.hand_over.must_abstain(pool)
        if not is_registered or not self._lease.holds() or must_abstain:
            self._retry_later(pool)
            return
        spawn("election", self._campaign(pool))

    def _retry_later(self, pool: str) -> None:
        if pool not in self._timers and not self._closed:
            self._timers[pool] = self._clock.call_later(
                RETRY_DELAY, self._try_election, pool
            )

    async def _campaign(self, pool: str) -> None:
        try:
            # A daemon that does not mark an ended lease may announce a job to a former
            # lead, which may be of a version that does not mark jobs.
            marks_jobs = self._marks_jobs and self._view.all_mark_ended_leases()
            item, recorded, *marked = await gather(
                [
                    self._store.get(term_key(pool)),
                    self._store.get(term_leases_key(pool)),
                    *([self._store.get(marked_since_key(pool))] if marks_jobs else ()),
                ]
            )
            last = int(item.value) if item is not None else 0
            former_leases = await self._former_leases(
                pool, last, decode_term_leases(recorded)
            )
            lease_id = self._lease.id
            if self._closed or not lease_id:
                # A key without a lease would never expire.
                self._retry_later(pool)
                return
            number = last + 1
            leases = TermLeases.after(former_leases, number, lease_id)
            record = LeadRecord(self._member._replace(lease_id=lease_id), number)
            puts = [
                Put(lead_key(pool), encode_record(record), lease_id),
                Put(term_key(pool), str(number).encode()),
                Put(term_leases_key(pool), encode_term_leases(leases)),
                Put(pool_key(pool), b"1"),
            ]
            for former in marked:
                since = next_marked_since(former, number)
                puts.append(Put(marked_since_key(pool), encode_marked_since(since)))
            result = await self._store.commit(
                {
                    lead_key(pool): 0,
                    term_key(pool): item.revision if item is not None else 0,
                },
                puts,
            )
        except StoreError as exc:
            # If the write took effect after all, the view will show the key.
            self._log.log_event(
                LogLevel.INFO, "election_unclear", pool=pool, detail=str(exc)
            )
            self._retry_later(pool)
            return
        except CancelledError:
            raise
        except Exception:
            self._retry_later(pool)
            raise
        is_current = lease_id == self._lease.id and not self._closed
        if isinstance(result, Committed) and is_current:
            self._begin_term(pool, number, result.revision)
        else:
            self._retry_later(pool)

    async def _former_leases(
        self, pool: str, last_term: int, recorded: TermLeases | None
    ) -> tuple[str, ...]:
        """Return the leases of earlier terms; raises StoreError."""
        if not last_term:
            return ()
        if recorded is not None and recorded.term == last_term:
            return recorded.leases
        # The last lead was of an earlier version, so its lease may have been ended
        # without a mark.
        unrecorded = stand_in_lease(pool, last_term)
        await mark_ended(self._store, unrecorded)
        return (unrecorded,)
