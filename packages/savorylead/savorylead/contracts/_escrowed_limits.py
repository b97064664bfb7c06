"""The upper limits of all teams, as divided among shards by escrow in the store."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, to_millis
from savorylead.resources import ZERO, Resources
from savorylead.store import Snapshot, Store, StoreError, Watch

from ._escrowed_limit import EscrowedLimit
from ._limit_policy import GrantView, choose_grant
from ._limit_record import LIMITS_PREFIX, WANTS_PREFIX, elementwise_min
from ._limit_wants import PublishedWants
from ._limited_team import LimitedTeam
from ._team_limits import GrantHolder, TeamLimits
from ._write_budget import WriteBudget

#: Interval at which the wants of all teams are read, with one call.
WANT_POLL_MS = 2_000
#: Interval at which all records are read while this shard has unmet demand or a
#: lowered limit is exceeded.
RECORD_POLL_MS = 4_000
#: Average rate of store writes for all teams of the shard.
WRITES_PER_S = 6.0
#: Store writes allowed in a burst, as after a takeover.
WRITE_BURST = 48
#: Consecutive attempts to write one grant when other shards write the same record.
MAX_CONFLICTS = 4


class EscrowedLimits(TeamLimits):
    """Divides each team's limit among shards by one record per team in the store.

    The limits hold under any failure of the store, of other leads and of former
    leads of the shard, as long as ``holder.held`` is correct and the journal lets
    only one lead at a time start tasks. Store calls: one list of wants every
    WANT_POLL_MS, one list of records every RECORD_POLL_MS while demand is unmet or
    a lowered limit is exceeded, and at most WRITES_PER_S writes on average.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        holder: GrantHolder,
        shard: str,
        epoch: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._holder = holder
        self._shard = shard
        self._epoch = epoch
        self._teams: dict[str, LimitedTeam] = {}
        self._config_revision = 0
        self._wants = PublishedWants(store, shard, epoch)
        self._wants_read_at_ms = 0
        self._records_read_at_ms = 0
        self._wants_are_stale = True
        self._budget = WriteBudget(WRITES_PER_S, WRITE_BURST, self._now_ms())
        self._store_failed = False
        self._next_team = 0
        # Spreads the reads of leads that start at the same time.
        self._poll_jitter_ms = rng.randrange(WANT_POLL_MS // 2)
        self._closed = False
        self._watches: list[Watch] = [
            store.watch(LIMITS_PREFIX, self._on_record_event),
            store.watch(WANTS_PREFIX, self._on_want_event),
        ]
        #: Store calls and their failures by kind, for metrics.
        self.counters: Counter[str] = Counter()

    def set_limits(self, config_revision: int, limits: Mapping[str, Resources]) -> None:
        """Use the limits of a configuration; older revisions are ignored."""
        if config_revision <= self._config_revision:
            return
        self._config_revision = config_revision
        for team in sorted({*limits, *self._teams}):
            state = self._state(team)
            state.limit.set_limit(config_revision, limits.get(team, ZERO))
            # A lowered limit takes effect on new starts before it is written.
            state.limit.set_cap(choose_grant(self._view(team, state)).cap)

    def set_demand(self, team: str, wanted: Resources) -> None:
        """Set the total demand of the team's waiting tasks, beyond what is held."""
        state = self._state(team)
        grew = not wanted.fits(state.wanted)
        state.set_wanted(wanted, self._now_ms())
        if not grew or state.limit.busy or state.unmet_since_ms:
            return
        placeable = elementwise_min(wanted, self._holder.free_capacity())
        if self._holder.held(team).plus(placeable).fits(state.limit.usable):
            return
        Deferred.fromCoroutine(self._update_team(team, state))

    def grant(self, team: str) -> Resources:
        """Return the most that the team may hold in this shard; zero if unknown."""
        state = self._teams.get(team)
        return ZERO if state is None else state.limit.usable

    def excess(self, team: str) -> Resources:
        """Return what to checkpoint or stop because a limit was lowered."""
        state = self._teams.get(team)
        if state is None:
            return ZERO
        return state.excess(self._holder.held(team))

    async def step(self) -> None:
        """Run due reads and writes; call once a second, without overlap."""
        self._store_failed = False
        await self._read_wants()
        await self._read_records()
        teams = list(self._teams.items())
        for offset in range(len(teams)):
            if self._closed or self._store_failed:
                # With a failing store each further team would wait for a time-out.
                self._next_team += offset
                return
            team, state = teams[(self._next_team + offset) % len(teams)]
            await self._update_team(team, state)

    def close(self) -> None:
        """Cancel the watches; no writes or callbacks follow."""
        self._closed = True
        for watch in self._watches:
            watch.cancel()
        self._watches = []

    def _state(self, team: str) -> LimitedTeam:
        state = self._teams.get(team)
        if state is None:
            limit = EscrowedLimit(
                self._store,
                team,
                self._shard,
                self._epoch,
                lambda usable: self._notify_holder(team, usable),
            )
            state = self._teams[team] = LimitedTeam(limit, self._shard)
        return state

    def _notify_holder(self, team: str, usable: Resources) -> None:
        if not self._closed:
            self._holder.grant_changed(team, usable)

    def _on_record_event(self, key: str) -> None:
        state = self._teams.get(key.removeprefix(LIMITS_PREFIX))
        if state is not None:
            state.on_record_changed()

    def _on_want_event(self, key: str) -> None:
        if not key.endswith(f"/{self._shard}"):
            self._wants_are_stale = True

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())

    async def _read_wants(self) -> None:
        """Read all wants when a poll is due or a watch has reported a change."""
        now_ms = self._now_ms()
        due_at_ms = self._wants_read_at_ms + WANT_POLL_MS
        if not self._wants_are_stale and now_ms < due_at_ms:
            return
        self._wants_read_at_ms = now_ms + self._poll_jitter_ms
        self._poll_jitter_ms = 0
        self._wants_are_stale = False
        self.counters["list_wants"] += 1
        try:
            await self._wants.read(now_ms)
        except StoreError as exc:
            self._count_failure(exc)

    async def _read_records(self) -> None:
        """Read all records once, then every RECORD_POLL_MS while that is useful.

        This is so while demand is unmet or a lowered limit is exceeded, since watches
        may miss changes of the records.
        """
        now_ms = self._now_ms()
        if now_ms < self._records_read_at_ms + RECORD_POLL_MS:
            return
        if self._records_read_at_ms and not any(
            state.unmet_since_ms or state.exceeded_since_ms
            for state in self._teams.values()
        ):
            return
        self.counters["list_records"] += 1
        try:
            self._adopt_records(await self._store.list(LIMITS_PREFIX))
        except StoreError as exc:
            self._count_failure(exc)
        else:
            self._records_read_at_ms = now_ms

    def _adopt_records(self, snapshot: Snapshot) -> None:
        for item in snapshot.items:
            team = item.key.removeprefix(LIMITS_PREFIX)
            self._state(team).limit.adopt(item)

    async def _update_team(self, team: str, state: LimitedTeam) -> None:
        """Update this shard's grant and requested amount of one team's limit."""
        if state.limit.busy or state.limit.deposed:
            return
        if state.limit.in_doubt or (state.is_stale and state.unmet_since_ms):
            state.is_stale = False
            if not await self._refresh(state):
                return
        await self._update_grant(team, state)
        if not self._store_failed:
            await self._write_want(team, state)

    async def _refresh(self, state: LimitedTeam) -> bool:
        self.counters["get_record"] += 1
        try:
            await state.limit.refresh()
        except StoreError as exc:
            self._count_failure(exc)
            return False
        return True

    async def _update_grant(self, team: str, state: LimitedTeam) -> None:
        """Choose a team's grant and write it if it differs, retrying on conflict."""
        for _ in range(MAX_CONFLICTS):
            if self._closed or state.limit.busy or state.limit.deposed:
                return
            view = state.with_idle(self._view(team, state))
            choice = choose_grant(view)
            state.limit.set_cap(choice.cap)
            settle = state.trim_wait_expired(view)
            if not state.needs_write(view, choice, settle):
                if view.idle is not None:
                    state.end_idle_window()
                return
            if state.is_stale:
                # A read is cheaper for the store than a write that conflicts.
                state.is_stale = False
                if not await self._refresh(state):
                    return
                continue
            if not self._budget.try_take(view.now_ms):
                return
            self.counters["write_grant"] += 1
            state.expect_own_event(True)
            try:
                if await state.limit.write(choice, view.held, settle):
                    state.end_idle_window()
                    return
            except StoreError as exc:
                self._count_failure(exc)
                return
            state.expect_own_event(False)
            self.counters["grant_conflict"] += 1

    def _view(self, team: str, state: LimitedTeam) -> GrantView:
        now_ms = self._now_ms()
        held = self._holder.held(team)
        others = self._wants.others(team, now_ms)
        return state.view(held, self._holder.free_capacity(), others, now_ms)

    async def _write_want(self, team: str, state: LimitedTeam) -> None:
        """Publish this shard's unmet demand, or delete its want if there is none."""
        if self._closed or state.limit.deposed:
            return
        view = self._view(team, state)
        state.update_unmet_since(view)
        unmet = state.unmet_limited_demand(view)
        if not self._wants.is_due(team, unmet, view.now_ms):
            return
        if not self._budget.try_take(view.now_ms):
            return
        self.counters["write_want"] += 1
        since_ms = view.no_progress_since_ms
        try:
            await self._wants.write(team, unmet, since_ms, view.now_ms)
        except StoreError as exc:
            self._count_failure(exc)

    def _count_failure(self, exc: StoreError) -> None:
        self._store_failed = True
        self.counters[type(exc).__name__] += 1
