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

import msgspec

from savorylead.resources import ZERO, Resources

from ._contracts import Queue

#: Share of a limit's unused part that a pool takes of a kind of resource that no other
#: pool uses, and before the pools are known.
DEFAULT_SURPLUS_SHARE = 0.5
#: Change of a met demand, as a fraction of the limit, above which it is written again.
MET_DEMAND_CHANGE_SHARE = 0.1
#: Share of the unused limit that goes to the pools with the most urgent queues, where
#: some pools have none: their demand rises within less than an update takes.
URGENT_SURPLUS_SHARE = 0.9
#: The same for an unmet demand.
UNMET_DEMAND_CHANGE_SHARE = 0.08


class _Part(NamedTuple):
    """One pool's grant and demand under one team's limit."""

    granted: tuple[int, ...]
    #: Demand: resources of running and waiting tasks, capped at the limit.
    wanted: tuple[int, ...]


_NO_PART = _Part(tuple(ZERO), tuple(ZERO))


class GrantRecord(NamedTuple):
    """The stored record of grants, by team, then by pool."""

    parts: Mapping[str, Mapping[str, _Part]] = {}


def encode_grants(record: GrantRecord) -> bytes:
    """Return the record as JSON."""
    return msgspec.json.encode(record)


def decode_grants(value: bytes) -> GrantRecord:
    """Return the record; raises msgspec.DecodeError."""
    return msgspec.json.decode(value, type=GrantRecord)


def _as_resources(amounts: tuple[int, ...]) -> Resources:
    return Resources(*amounts)


def _elementwise_min(one: Resources, other: Resources) -> Resources:
    return Resources(*(min(a, b) for a, b in zip(one, other, strict=True)))


class PoolGrants:
    """Computes the grants of one pool. Pure."""

    def __init__(self, pool: str) -> None:
        self.pool = pool
        self.record = GrantRecord()
        self._limits: dict[str, Resources] = {}
        self._pools: frozenset[str] = frozenset()
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
            cap = other.parts.get(team, {}).get(self.pool, _NO_PART)
            granted = tuple(map(min, own.granted, cap.granted))
            pools[self.pool] = own._replace(granted=granted)
        return GrantRecord(parts)

    def explain(self, team: str) -> dict[str, object]:
        """Return the amounts that determine ``room``, as fields of a log event."""
        pools = self.record.parts.get(team, {})
        return {
            "limit": self._limits.get(team, ZERO)[:3],
            "granted": {pool: part.granted[:3] for pool, part in pools.items()},
            "wanted": {pool: part.wanted[:3] for pool, part in pools.items()},
        }

    def other_pools(self) -> list[str]:
        """Return the other pools that have a part of any team's limit."""
        pools = {pool for parts in self.record.parts.values() for pool in parts}
        return sorted(pools - {self.pool})

    def next_record(
        self,
        held: Mapping[str, Resources],
        waiting: Mapping[str, Resources],
        idle: Collection[str] = (),
    ) -> GrantRecord | None:
        """Return the record with this pool's new parts, or None if nothing changes.

        ``idle`` pools are known to run nothing and have no lead to return their parts,
        so their parts are removed; a later lead of such a pool requests a new part.

        A cell's only pool is granted each limit in full, whatever its demand. If its
        grant had to grow with demand, tasks would wait for the store's write, and
        throughout an outage of the store.
        """
        parts = {
            team: {pool: part for pool, part in pools.items() if pool not in idle}
            for team, pools in self.record.parts.items()
        }
        changed = parts != self.record.parts
        for team, limit in self._limits.items():
            now_held = held.get(team, ZERO)
            wanted = _elementwise_min(limit, now_held.plus(waiting.get(team, ZERO)))
            pools = parts.setdefault(team, {})
            old = pools.get(self.pool, _NO_PART)
            if self._pools == {self.pool} and pools.keys() <= {self.pool}:
                new = old._replace(granted=tuple(limit))
            else:
                new = self._next_part(limit, old, pools, now_held, wanted)
            if new != old:
                pools[self.pool] = new
                changed = True
        return GrantRecord(parts) if changed else None

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
        the other pools. The ceiling is at least an even part of the limit, since this
        pool's published demand may lag behind its actual demand.
        """
        pools = self.record.parts.get(team, {})
        own = pools.get(self.pool)
        if own is None:
            return limit
        others = [part for pool, part in pools.items() if pool != self.pool]
        ceilings = []
        for index, bound in enumerate(limit):
            wants = [part.wanted[index] for part in others]
            others_are_short = _is_any_short(others, index)
            share = self._surplus_share
            fair_part = _fair_part(bound, own.wanted[index], wants, share)
            even_part = bound // len(pools)
            without_ceiling = max(bound, own.granted[index])
            ceilings.append(
                max(fair_part, even_part) if others_are_short else without_ceiling
            )
        return Resources(*ceilings)

    def _next_part(
        self,
        limit: Resources,
        old: _Part,
        pools: Mapping[str, _Part],
        held: Resources,
        wanted: Resources,
    ) -> _Part:
        granted = []
        others = [part for pool, part in pools.items() if pool != self.pool]
        for index, bound in enumerate(limit):
            granted.append(
                _next_amount(
                    bound=bound,
                    own=old.granted[index],
                    held=held[index],
                    wanted=wanted[index],
                    granted_to_others=sum(p.granted[index] for p in others),
                    wanted_by_others=[p.wanted[index] for p in others],
                    others_are_short=_is_any_short(others, index),
                    surplus_share=self._surplus_share,
                )
            )
        published = old.wanted
        if _should_publish(limit, old, Resources(*granted), wanted):
            published = tuple(wanted)
        return _Part(tuple(granted), published)


def _is_any_short(parts: Iterable[_Part], index: int) -> bool:
    """Return whether a pool demands more than its grant in one dimension.

    What one pool does not use is no help to another one until it is given back.
    """
    return any(part.wanted[index] > part.granted[index] for part in parts)


def _should_publish(
    limit: Resources, old: _Part, granted: Resources, wanted: Resources
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
    granted_to_others: int,
    wanted_by_others: Sequence[int],
    others_are_short: bool,
    surplus_share: float,
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
    if not granted_to_others and not any(wanted_by_others):
        # No other pool uses this kind of resource.
        surplus_share = max(surplus_share, DEFAULT_SURPLUS_SHARE)
    target = _fair_part(bound, wanted, wanted_by_others, surplus_share)
    if wanted > own and target > own:
        return max(own, min(target, free))
    if own > target and others_are_short:
        return max(held, target)
    return own


def _fair_part(
    bound: int, wanted: int, wanted_by_others: Sequence[int], surplus_share: float
) -> int:
    """Return the max-min fair part of a limit for one of several pools.

    If all demands can be met, a share of the surplus is added. Otherwise small demands
    are met in full and the large ones divide the rest evenly; with proportional parts,
    a job that can't start with less than its full demand would starve.
    """
    left = bound - wanted - sum(wanted_by_others)
    if left >= 0:
        return wanted + int(left * surplus_share)
    remaining = bound
    demands = sorted([*wanted_by_others, wanted])
    for index, demand in enumerate(demands):
        even_part = remaining // (len(demands) - index)
        if demand > even_part:
            return min(wanted, even_part)
        remaining -= demand
    return wanted
