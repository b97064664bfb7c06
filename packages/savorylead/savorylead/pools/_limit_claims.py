"""Claims of pools whose next task or gang exceeds their fair part of a team's limit.

Load pattern: gangs of more than an even part of their team's limit wait in several
pools. Each pool gets an even part, which serves none of them. The pool with the oldest
claim is granted what its next gang needs in every dimension, and the others divide the
rest; claims are honoured in turn, each for a bounded time.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savorylead.resources import Resources

#: Time for which a team's tasks are blocked in a pool without any start before the pool
#: makes a claim, in milliseconds. Surplus parts are returned within this time.
CLAIM_DELAY_MS = 1_000
#: Time for which a first claim is honoured, in milliseconds. Meanwhile the other pools
#: do not replace ended tasks beyond their parts of the rest.
CLAIM_TURN_MS = 2_000
#: Longest time for which a claim is honoured, in milliseconds. Each claim of a pool
#: that was in vain doubles the time for the next one, so that longer tasks can end.
MAX_CLAIM_TURN_MS = 16_000


class LimitClaim(NamedTuple):
    """A pool's claim to the amounts that its next task or gang needs."""

    #: The amounts, including those of the team's runs in the pool.
    needed: Resources
    #: Claims of a team are honoured in the order of these numbers.
    ticket: int
    #: Time for which it is honoured, in milliseconds.
    turn_ms: int


class BlockedTeam(NamedTuple):
    """A team whose tasks wait for a part of its limit in one pool."""

    #: Resources of the tasks and whole gangs that could start otherwise, the most
    #: urgent first.
    pieces: Sequence[Resources]
    #: Since when none of the team's tasks was started, in Unix milliseconds.
    since_ms: int


class LimitClaims:
    """The claims of one pool, and the turns of all pools' claims. Pure."""

    def __init__(self, pool: str) -> None:
        self.pool = pool
        #: When this lead first honoured each claim, in Unix milliseconds, by team, pool
        #: and ticket.
        self._honoured_since: dict[tuple[str, str, int], int] = {}
        #: Teams for which this pool makes no claim, and until when.
        self._paused_until_ms: dict[str, int] = {}
        #: Length of the next claim's turn where the previous one was in vain.
        self._next_turn_ms: dict[str, int] = {}

    def floors(
        self,
        team: str,
        limit: Resources,
        claims: Mapping[str, LimitClaim],
        lasting: Resources,
        now_ms: int,
    ) -> dict[str, Resources]:
        """Return the amounts to grant to claimants before the rest is divided.

        ``lasting`` is held by this pool's runs that do not end by themselves. A claim
        that does not fit beside them is not honoured.
        """
        floors: dict[str, Resources] = {}
        left = _bounded(limit, limit)
        for pool, claim in _in_order(claims):
            key = (team, pool, claim.ticket)
            since_ms = self._honoured_since.get(key)
            if since_ms is not None and now_ms - since_ms >= claim.turn_ms:
                continue
            needed = _bounded(claim.needed, limit)
            is_hopeless = pool != self.pool and not needed.plus(lasting).fits(limit)
            if is_hopeless or not needed.fits(left):
                continue
            self._honoured_since.setdefault(key, now_ms)
            floors[pool] = needed
            left = left.minus(needed)
        return floors

    def forget_ended(self, claims: Mapping[str, Mapping[str, LimitClaim]]) -> None:
        """Forget the turns of claims that are no longer recorded."""
        recorded = {
            (team, pool, claim.ticket)
            for team, by_pool in claims.items()
            for pool, claim in by_pool.items()
        }
        for key in self._honoured_since.keys() - recorded:
            del self._honoured_since[key]

    def next_claim(
        self,
        team: str,
        limit: Resources,
        claims: Mapping[str, LimitClaim],
        held: Resources,
        part: Resources,
        blocked: BlockedTeam | None,
        now_ms: int,
    ) -> LimitClaim | None:
        """Return the claim that this pool should have, None for none.

        ``part`` is the pool's part if no claims are honoured.
        """
        own = claims.get(self.pool)
        needed = None if blocked is None else _next_needed(limit, held, blocked)
        if own is not None and self._is_over(team, own, now_ms):
            self._paused_until_ms[team] = now_ms + own.turn_ms
            self._next_turn_ms[team] = min(MAX_CLAIM_TURN_MS, 2 * own.turn_ms)
            return None
        is_delayed = blocked is None or now_ms - blocked.since_ms < CLAIM_DELAY_MS
        if needed is None or is_delayed or not _exceeds_part(needed, held, part):
            # A start restarts the delay, so a claim ends with the start that it serves.
            if own is not None:
                self._next_turn_ms.pop(team, None)
            return None
        if own is not None:
            return own if needed.fits(own.needed) else own._replace(needed=needed)
        if now_ms < self._paused_until_ms.get(team, 0):
            return None
        ticket = 1 + max((claim.ticket for claim in claims.values()), default=0)
        return LimitClaim(needed, ticket, self._next_turn_ms.get(team, CLAIM_TURN_MS))

    def _is_over(self, team: str, claim: LimitClaim, now_ms: int) -> bool:
        since_ms = self._honoured_since.get((team, self.pool, claim.ticket))
        return since_ms is not None and now_ms - since_ms >= claim.turn_ms


def _in_order(claims: Mapping[str, LimitClaim]) -> list[tuple[str, LimitClaim]]:
    # Two leads that write at once take one ticket number; only one write succeeds, so
    # the name decides merely between claims of a record from elsewhere.
    return sorted(claims.items(), key=lambda item: (item[1].ticket, item[0]))


def _bounded(amounts: Resources, limit: Resources) -> Resources:
    """Return the amounts in the dimensions that the limit bounds, 0 in the others."""
    return Resources(
        *(
            amount if bound > 0 else 0
            for amount, bound in zip(amounts, limit, strict=True)
        )
    )


def _next_needed(
    limit: Resources, held: Resources, blocked: BlockedTeam
) -> Resources | None:
    """Return what the team needs for the first piece that the limit allows."""
    for piece in blocked.pieces:
        needed = _bounded(held.plus(piece), limit)
        if needed.fits(limit):
            return needed
    return None


def _exceeds_part(needed: Resources, held: Resources, part: Resources) -> bool:
    """Return whether a pool can't use the rest of its part for its next piece.

    A pool that holds all of its part in a dimension that is short claims nothing.
    """
    short = [i for i, amount in enumerate(needed) if amount > part[i]]
    return bool(short) and all(held[i] < part[i] for i in short)
