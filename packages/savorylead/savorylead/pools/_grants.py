"""Divides the upper limits of teams among the leads of pools.

One record in the store says which part of each team's limit each pool may use. A
lead writes only its own part, expecting the record's revision, so the parts never
exceed the limit, whatever the leads do at the same time.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from savorylead.resources import ZERO, Resources

#: A want that is met is written again when it changed by this part of the limit.
WANT_CHANGE_SHARE = 0.1
#: The same for a want that is not met.
SHORT_CHANGE_SHARE = 0.08


class _Part(NamedTuple):
    """What one pool has and wants of one team's limit."""

    granted: tuple[int, ...]
    #: What it holds and waits for, bounded by the limit.
    wanted: tuple[int, ...]


_NO_PART = _Part(tuple(ZERO), tuple(ZERO))


class GrantBook(NamedTuple):
    """The record: by team, then by pool."""

    parts: Mapping[str, Mapping[str, _Part]] = {}


def encode_grants(book: GrantBook) -> bytes:
    """Return the record as JSON."""
    return msgspec.json.encode(book)


def decode_grants(value: bytes) -> GrantBook:
    """Return the record; raises msgspec.DecodeError."""
    return msgspec.json.decode(value, type=GrantBook)


def _of(amounts: tuple[int, ...]) -> Resources:
    return Resources(*amounts)


def _least(one: Resources, other: Resources) -> Resources:
    return Resources(*(min(a, b) for a, b in zip(one, other, strict=True)))


class PoolGrants:
    """The parts of one pool, and what they should be. Pure."""

    def __init__(self, pool: str) -> None:
        self.pool = pool
        self.book = GrantBook()
        self._limits: dict[str, Resources] = {}
        self._pools: frozenset[str] = frozenset()

    def set_pools(self, pools: Iterable[str]) -> None:
        """Take over which pools there are."""
        self._pools = frozenset(pools)

    def set_limits(self, limits: Mapping[str, Resources]) -> None:
        """Take over the limits of a configuration; 0 is no limit in a dimension."""
        self._limits = {team: limit for team, limit in limits.items() if any(limit)}

    def room(self, team: str, held: Resources) -> Resources | None:
        """Return what the team may still start in this pool; None for no limit."""
        limit = self._limits.get(team)
        if limit is None:
            return None
        usable = _least(self._usable(team, limit), self._owed(team, limit))
        room = usable.minus(held)
        # A dimension without a limit has room for anything.
        return Resources(
            *(r if m > 0 else 1 << 60 for r, m in zip(room, limit, strict=True))
        )

    def lesser_of(self, one: GrantBook, other: GrantBook) -> GrantBook:
        """Return ``one`` with the lesser part of this pool in every dimension."""
        parts = {team: dict(pools) for team, pools in one.parts.items()}
        for team, pools in parts.items():
            own = pools.get(self.pool)
            if own is None:
                continue
            theirs = other.parts.get(team, {}).get(self.pool, _NO_PART)
            granted = tuple(map(min, own.granted, theirs.granted))
            pools[self.pool] = own._replace(granted=granted)
        return GrantBook(parts)

    def explain(self, team: str) -> dict[str, object]:
        """Return the numbers behind ``room``, for a log line."""
        pools = self.book.parts.get(team, {})
        return {
            "limit": self._limits.get(team, ZERO)[:3],
            "granted": {pool: part.granted[:3] for pool, part in pools.items()},
            "wanted": {pool: part.wanted[:3] for pool, part in pools.items()},
        }

    def others(self) -> list[str]:
        """Return the other pools that have a part of some limit."""
        pools = {pool for parts in self.book.parts.values() for pool in parts}
        return sorted(pools - {self.pool})

    def next_book(
        self,
        held: Mapping[str, Resources],
        waiting: Mapping[str, Resources],
        idle: Collection[str] = (),
    ) -> GrantBook | None:
        """Return the record as this pool would have it, None if it is as it should.

        ``idle`` pools surely run nothing and have no lead who could give their parts
        back, so these are free; a lead that they get later asks for its part anew.

        The only pool has each limit whole, ahead of any want: a part that must grow
        first keeps tasks waiting for a write, and for the whole of an outage.
        """
        parts = {
            team: {pool: part for pool, part in pools.items() if pool not in idle}
            for team, pools in self.book.parts.items()
        }
        changed = parts != self.book.parts
        for team, limit in self._limits.items():
            now_held = held.get(team, ZERO)
            wanted = _least(limit, now_held.plus(waiting.get(team, ZERO)))
            pools = parts.setdefault(team, {})
            old = pools.get(self.pool, _NO_PART)
            if self._pools == {self.pool} and pools.keys() <= {self.pool}:
                new = old._replace(granted=tuple(limit))
            else:
                new = self._next_part(limit, old, pools, now_held, wanted)
            if new != old:
                pools[self.pool] = new
                changed = True
        return GrantBook(parts) if changed else None

    def _usable(self, team: str, limit: Resources) -> Resources:
        pools = self.book.parts.get(team, {})
        own = pools.get(self.pool)
        if own is None:
            return ZERO
        total = ZERO
        for part in pools.values():
            total = total.plus(_of(part.granted))
        # After the limit was lowered every pool takes back the same part.
        return Resources(
            *(
                own_amount if whole <= bound else own_amount * bound // whole
                for own_amount, whole, bound in zip(
                    _of(own.granted), total, limit, strict=True
                )
            )
        )

    def _owed(self, team: str, limit: Resources) -> Resources:
        """Return the most that this pool may come to hold while others are short.

        What ends is not started again beyond that, or nothing would become free. An
        even part is owed in any case: what this pool has told of its own want may be
        older than its work.
        """
        pools = self.book.parts.get(team, {})
        own = pools.get(self.pool)
        if own is None:
            return limit
        others = [part for pool, part in pools.items() if pool != self.pool]
        owed = []
        for index, bound in enumerate(limit):
            wants = [part.wanted[index] for part in others]
            is_short = sum(wants) > sum(part.granted[index] for part in others)
            fair = _fair_part(bound, own.wanted[index], wants)
            even = bound // len(pools)
            most = max(bound, own.granted[index])
            owed.append(max(fair, even) if is_short else most)
        return Resources(*owed)

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
                )
            )
        told = old.wanted
        if _must_tell(limit, old, Resources(*granted), wanted):
            told = tuple(wanted)
        return _Part(tuple(granted), told)


def _must_tell(
    limit: Resources, old: _Part, granted: Resources, wanted: Resources
) -> bool:
    """Return whether other pools should learn what this one wants now."""
    told = _of(old.wanted)
    if told == wanted:
        return False
    is_short = not wanted.fits(granted)
    was_short = not told.fits(granted)
    if is_short != was_short:
        return True
    share = SHORT_CHANGE_SHARE if is_short else WANT_CHANGE_SHARE
    return any(
        abs(now - before) > share * bound
        for now, before, bound in zip(wanted, told, limit, strict=True)
    )


def _next_amount(
    *,
    bound: int,
    own: int,
    held: int,
    wanted: int,
    granted_to_others: int,
    wanted_by_others: Sequence[int],
) -> int:
    """Return one dimension of this pool's part."""
    if bound <= 0:
        return 0
    free = max(0, bound - granted_to_others)
    target = _fair_part(bound, wanted, wanted_by_others)
    if wanted > own and target > own:
        return max(own, min(target, free))
    others_are_short = sum(wanted_by_others) > granted_to_others
    if own > target and others_are_short:
        return max(held, target)
    return own


def _fair_part(bound: int, wanted: int, wanted_by_others: Sequence[int]) -> int:
    """Return what one of several pools should have of a limit.

    If all can have what they want, half of what is left is added. Else small wants
    are met whole and the large ones share the rest evenly: a job that can't start
    with less than it asks for would wait forever for a proportional part.
    """
    left = bound - wanted - sum(wanted_by_others)
    if left >= 0:
        return wanted + left // 2
    remaining = bound
    claims = sorted([*wanted_by_others, wanted])
    for index, claim in enumerate(claims):
        even = remaining // (len(claims) - index)
        if claim > even:
            return min(wanted, even)
        remaining -= claim
    return wanted
