"""Divides the teams' upper limits among the leads of pools.

One record in the store holds the part of each team's limit that is granted to each
pool. A lead changes only its own part, apart from removing those of idle pools, and
writes the record by compare-and-swap on its revision, so concurrent writes never grant
more than the limit.

A lead reports, uses and holds one amount: its grant is at least what its runs hold, and
it starts only what the limit leaves beside the other pools' grants. So the limit is
kept while the grants still exceed a limit that has been lowered.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from savorylead.resources import ZERO, Resources, total

from ._contracts import Queue
from ._fair_parts import Demand, OtherPool, fair_part, is_any_short
from ._grant_record import (
    NO_PART,
    GrantRecord,
    Part,
    has_same_entries,
    without_pools,
)
from ._limit_claims import BlockedTeam, LimitClaim, LimitClaims

#: Share of a limit's unused part that a pool takes of a kind of resource that no other
#: pool uses, and before the pools are known.
DEFAULT_SURPLUS_SHARE = 0.5
#: Change of a met demand, as a fraction of the limit, above which it is written again.
MET_DEMAND_CHANGE_SHARE = 0.1
#: The same for an unmet demand.
UNMET_DEMAND_CHANGE_SHARE = 0.08
#: Share of the unused limit that goes to the pools with the most urgent queues, where
#: some pools have none: their demand rises within less than an update takes.
URGENT_SURPLUS_SHARE = 0.9
#: Time for which a pool without a recorded part may hold runs that began before its
#: team had a limit, in milliseconds: a configuration is in force everywhere within 2 s,
#: and leads update the record every 0.8 s. An earlier version records no part while its
#: pool has no demand.
PART_WAIT_MS = 3_000


class PoolDemand(NamedTuple):
    """What teams demand of their limits in one pool."""

    #: Resources of their runs, by team.
    held: Mapping[str, Resources] = {}
    #: Resources of their tasks that could start otherwise, by team.
    waiting: Mapping[str, Resources] = {}
    #: The teams whose tasks wait for a part of their limit.
    blocked: Mapping[str, BlockedTeam] = {}
    #: Resources of runs that do not end by themselves, by team.
    lasting: Mapping[str, Resources] = {}


def _as_resources(amounts: tuple[int, ...]) -> Resources:
    return Resources(*amounts)


def _elementwise_min(one: Resources, other: Resources) -> Resources:
    return Resources(*(min(a, b) for a, b in zip(one, other, strict=True)))


def _elementwise_max(one: Resources, other: Resources) -> Resources:
    return Resources(*(max(a, b) for a, b in zip(one, other, strict=True)))


class PoolGrants:
    """Computes the grants of one pool. Pure."""

    def __init__(self, pool: str) -> None:
        self.pool = pool
        self.record = GrantRecord()
        self._limits: dict[str, Resources] = {}
        self._pools: frozenset[str] = frozenset()
        self._claims = LimitClaims(pool)
        #: When the part of another pool was first found to be missing, in Unix
        #: milliseconds, by team and pool.
        self._missing_since_ms: dict[tuple[str, str], int] = {}
        #: The arguments of the last call of ``next_record``.
        self._now_ms = 0
        self._demand = PoolDemand()
        #: The inputs for which a team's recorded part is the one that it should have.
        self._settled: dict[str, _Inputs] = {}
        #: Share of a limit's unused part that this pool takes.
        self._surplus_share = DEFAULT_SURPLUS_SHARE

    def set_pools(self, pools: Iterable[str]) -> None:
        """Replace the names of the cell's pools."""
        self._pools = frozenset(pools)

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Set the queues of all pools, which determine who gets the unused limits."""
        priorities: dict[str, int] = {}
        for queue in queues:
            known = priorities.get(queue.pool, queue.priority)
            priorities[queue.pool] = min(known, queue.priority)
        most_urgent = min(priorities.values(), default=0)
        urgent = {pool for pool, each in priorities.items() if each == most_urgent}
        others = priorities.keys() - urgent
        # The shares of all pools add up to 1 at most. If they exceeded it, pools that
        # keep their shares would leave too little for the demand of another one.
        if self.pool not in priorities:
            self._surplus_share = 0.0
        elif not others:
            self._surplus_share = 1 / len(urgent)
        elif self.pool in urgent:
            self._surplus_share = URGENT_SURPLUS_SHARE / len(urgent)
        else:
            self._surplus_share = (1 - URGENT_SURPLUS_SHARE) / len(others)

    def set_limits(self, limits: Mapping[str, Resources]) -> None:
        """Replace the teams' limits; 0 means no limit in that dimension."""
        self._limits = {team: limit for team, limit in limits.items() if any(limit)}

    def headroom(self, team: str, held: Resources) -> Resources | None:
        """Return what the team may still start in this pool; None if unlimited."""
        limit = self._limits.get(team)
        if limit is None:
            return None
        usable = _elementwise_min(
            self._usable(team, limit), self._usage_ceiling(team, limit)
        )
        if self._may_lack_parts(team):
            usable = _elementwise_min(usable, held)
        room = usable.minus(held)
        # A dimension without a limit never constrains.
        return Resources(
            *(r if m > 0 else 1 << 60 for r, m in zip(room, limit, strict=True))
        )

    def capped_by(self, one: GrantRecord, other: GrantRecord) -> GrantRecord:
        """Return ``one`` with this pool's grants capped at those in ``other``."""
        parts = {team: dict(pools) for team, pools in one.parts.items()}
        for team, pools in parts.items():
            own = pools.get(self.pool)
            if own is None:
                continue
            cap = other.parts.get(team, {}).get(self.pool, NO_PART)
            granted = tuple(map(min, own.granted, cap.granted))
            pools[self.pool] = own._replace(granted=granted)
        return GrantRecord(parts, one.claims)

    def explain(self, team: str) -> dict[str, object]:
        """Return the amounts that determine the headroom, as fields of a log event."""
        pools = self.record.parts.get(team, {})
        return {
            "limit": self._limits.get(team, ZERO)[:3],
            "granted": {pool: part.granted[:3] for pool, part in pools.items()},
            "wanted": {pool: part.wanted[:3] for pool, part in pools.items()},
            "claimed": {
                pool: claim.needed[:3]
                for pool, claim in self.record.claims.get(team, {}).items()
            },
        }

    def other_pools(self) -> list[str]:
        """Return the other pools that have a part of any team's limit."""
        pools = {pool for parts in self.record.parts.values() for pool in parts}
        return sorted(pools - {self.pool})

    def own_claims(self) -> dict[str, LimitClaim]:
        """Return the recorded claims of this pool, by team."""
        return {
            team: claims[self.pool]
            for team, claims in self.record.claims.items()
            if self.pool in claims
        }

    def next_record(
        self,
        demand: PoolDemand,
        now_ms: int,
        idle: Collection[str] = (),
    ) -> GrantRecord | None:
        """Return the record with this pool's new parts, or None if nothing changes.

        ``idle`` pools are known to run nothing and have no lead to return their parts,
        so their parts are removed; a later lead of such a pool requests a new part.
        Each pool has a part of each limit, if only an empty one: without it, the other
        pools can't tell whether runs of the pool began before the team had a limit.
        ``now_ms`` is the time in Unix milliseconds.

        A cell's only pool is granted each limit in full, whatever its demand. If its
        grant had to grow with demand, tasks would wait for the store's write, and
        throughout an outage of the store.
        """
        self._now_ms = now_ms
        self._demand = demand
        parts = without_pools(self.record.parts, idle)
        claims = without_pools(self.record.claims, idle)
        self._claims.forget_ended(claims)
        self._note_missing(parts, idle)
        for team in parts.keys() - self._limits.keys():
            # What the pool holds is not recorded while the team has no limit.
            parts[team].pop(self.pool, None)
        for team in claims.keys() - self._limits.keys():
            claims[team].pop(self.pool, None)
        for team, limit in self._limits.items():
            pools = parts.setdefault(team, {})
            team_claims = claims.setdefault(team, {})
            if self._pools == {self.pool} and pools.keys() <= {self.pool}:
                team_claims.pop(self.pool, None)
                old = pools.get(self.pool, NO_PART)
                pools[self.pool] = old._replace(granted=tuple(limit))
            else:
                self._update_team(team, limit, pools, team_claims)
        record = GrantRecord(parts, claims)
        return None if has_same_entries(record, self.record) else record

    def _note_missing(
        self, parts: Mapping[str, Mapping[str, Part]], idle: Collection[str]
    ) -> None:
        """Record since when parts of other pools have been missing."""
        missing_since_ms = {}
        for team in self._limits:
            for pool in self._pools - parts.get(team, {}).keys() - {self.pool}:
                known_ms = self._missing_since_ms.get((team, pool), self._now_ms)
                missing_since_ms[team, pool] = 0 if pool in idle else known_ms
        self._missing_since_ms = missing_since_ms

    def _may_lack_parts(self, team: str) -> bool:
        """Return whether another pool may hold runs that no part covers yet."""
        recorded = self.record.parts.get(team, {})
        return any(
            self._now_ms - self._missing_since_ms.get((team, pool), self._now_ms)
            < PART_WAIT_MS
            for pool in self._pools - recorded.keys() - {self.pool}
        )

    def _update_team(
        self,
        team: str,
        limit: Resources,
        pools: dict[str, Part],
        claims: dict[str, LimitClaim],
    ) -> None:
        """Set this pool's part of a team's limit, and its claim."""
        held = self._demand.held.get(team, ZERO)
        wanted = held.plus(self._demand.waiting.get(team, ZERO))
        wanted = _elementwise_min(limit, wanted)
        old = pools.get(self.pool, NO_PART)
        blocked = self._demand.blocked.get(team)
        inputs = _Inputs(limit, dict(pools), held, wanted, self._surplus_share)
        is_simple = not claims and blocked is None and not self._may_lack_parts(team)
        if is_simple and self.pool in pools and self._settled.get(team) == inputs:
            return
        if blocked is not None or self.pool in claims:
            part = self._fair_part(limit, wanted, self._others(pools, {}), ZERO)
            claim = self._claims.next_claim(
                team, limit, claims, held, part, blocked, self._now_ms
            )
            if claim is not None:
                claims[self.pool] = claim
            else:
                claims.pop(self.pool, None)
        floors = self._floors(team, limit, claims)
        new = self._next_part(limit, old, pools, held, wanted, floors)
        if self._may_lack_parts(team):
            most = _elementwise_max(_as_resources(old.granted), held)
            granted = _elementwise_min(_as_resources(new.granted), most)
            new = new._replace(granted=tuple(granted))
        pools[self.pool] = new
        if is_simple and new == old:
            self._settled[team] = inputs
        else:
            self._settled.pop(team, None)

    def _usable(self, team: str, limit: Resources) -> Resources:
        pools = self.record.parts.get(team, {})
        own = pools.get(self.pool)
        if own is None:
            return ZERO
        # The other pools' runs may hold all that is granted to them, so a lowered limit
        # that the grants exceed is free only for what it leaves beside them.
        left = limit
        for pool, part in pools.items():
            if pool != self.pool:
                left = left.minus(_as_resources(part.granted))
        return _elementwise_min(_as_resources(own.granted), left)

    def _usage_ceiling(self, team: str, limit: Resources) -> Resources:
        """Return this pool's usage ceiling while other pools have unmet demand.

        Above it, ended tasks are not replaced; otherwise nothing would become free for
        the other pools. It is this pool's part if it demanded the whole limit, since
        its published demand may lag behind its actual demand.
        """
        pools = self.record.parts.get(team, {})
        own = pools.get(self.pool)
        if own is None:
            return limit
        floors = self._floors(team, limit, self.record.claims.get(team, {}))
        others = self._others(pools, floors)
        without_ceiling = Resources(*map(max, limit, own.granted))
        is_short = [is_any_short(others, index) for index in range(len(limit))]
        if not any(is_short):
            return without_ceiling
        own_floor = floors.get(self.pool, ZERO)
        largest_part = self._fair_part(limit, limit, others, own_floor)
        return Resources(
            *(
                part if short else most
                for part, short, most in zip(
                    largest_part, is_short, without_ceiling, strict=True
                )
            )
        )

    def _floors(
        self, team: str, limit: Resources, claims: Mapping[str, LimitClaim]
    ) -> dict[str, Resources]:
        if not claims:
            return {}
        lasting = self._demand.lasting.get(team, ZERO)
        return self._claims.floors(team, limit, claims, lasting, self._now_ms)

    def _others(
        self, pools: Mapping[str, Part], floors: Mapping[str, Resources]
    ) -> list[OtherPool]:
        return [
            OtherPool(part.granted, part.wanted, floors.get(pool, ZERO))
            for pool, part in pools.items()
            if pool != self.pool
        ]

    def _fair_part(
        self,
        limit: Resources,
        wanted: Resources,
        others: Sequence[OtherPool],
        floor: Resources,
    ) -> Resources:
        """Return this pool's fair part of a limit; ``floor`` is what it has claimed."""
        amounts = []
        for index, bound in enumerate(limit):
            if bound <= 0:
                amounts.append(0)
                continue
            demands = [other.demand(index) for other in others]
            share = self._surplus_share
            if not any(other.uses(index) for other in others):
                share = max(share, DEFAULT_SURPLUS_SHARE)
            own = Demand(wanted[index], floor[index])
            amounts.append(fair_part(bound, own, demands, share))
        return Resources(*amounts)

    def _next_part(
        self,
        limit: Resources,
        old: Part,
        pools: Mapping[str, Part],
        held: Resources,
        wanted: Resources,
        floors: Mapping[str, Resources],
    ) -> Part:
        others = self._others(pools, floors)
        to_others = total(Resources(*other.granted) for other in others)
        floor = floors.get(self.pool, ZERO)
        if not floor.fits(_elementwise_max(limit.minus(to_others), ZERO)):
            # Less than the whole claim serves no task, but would be missed elsewhere.
            floor = ZERO
        target = self._fair_part(limit, wanted, others, floor)
        granted = Resources(
            *(
                _next_amount(
                    bound=bound,
                    own=old.granted[index],
                    held=held[index],
                    wanted=max(wanted[index], floor[index]),
                    target=target[index],
                    granted_to_others=to_others[index],
                    others_are_short=is_any_short(others, index),
                )
                for index, bound in enumerate(limit)
            )
        )
        published = old.wanted
        if _should_publish(limit, old, granted, wanted):
            published = tuple(wanted)
        return Part(tuple(granted), published)


class _Inputs(NamedTuple):
    """What determines a pool's part of a limit where nobody claims anything."""

    limit: Resources
    pools: Mapping[str, Part]
    held: Resources
    wanted: Resources
    surplus_share: float


def _should_publish(
    limit: Resources, old: Part, granted: Resources, wanted: Resources
) -> bool:
    """Return whether this pool's demand has changed enough to be published."""
    published = _as_resources(old.wanted)
    if published == wanted:
        return False
    is_unmet = not wanted.fits(granted)
    was_unmet = not published.fits(granted)
    if is_unmet != was_unmet:
        return True
    share = UNMET_DEMAND_CHANGE_SHARE if is_unmet else MET_DEMAND_CHANGE_SHARE
    return any(
        abs(now - before) > share * bound
        for now, before, bound in zip(wanted, published, limit, strict=True)
    )


def _next_amount(
    *,
    bound: int,
    own: int,
    held: int,
    wanted: int,
    target: int,
    granted_to_others: int,
    others_are_short: bool,
) -> int:
    """Return this pool's new grant in one dimension."""
    if bound <= 0:
        return 0
    free = max(0, bound - granted_to_others)
    if own > free:
        # The limit was lowered. The rest of the grant can't be used, and while it is
        # recorded, the other pools can't use it either.
        own = free
    own = max(own, held)
    if wanted > own and target > own:
        return max(own, min(target, free))
    if own > target and others_are_short:
        return max(held, target)
    return own
