"""Policy that chooses a shard's grant for one team; pure functions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from savorylead.resources import ZERO, Resources

from ._limit_record import LimitRecord, Want, greater, lesser, resources_sum
from ._team_limits import UNLIMITED

#: Age from which a want makes shards above their even part release grants to it.
STARVED_MS = 5_000
#: Time without progress after which a shard releases unused grants to an older want.
STUCK_MS = 10_000
#: Divisor of the demand: headroom that a growing grant gets beyond it.
HEADROOM_DIVISOR = 2
#: Divisor of the free amount: most headroom that one write takes.
FREE_DIVISOR = 8
#: Divisor of the grant: unused amounts from this size on are released at once.
MUCH_DIVISOR = 2
#: Divisor of the limit: amount that an idle shard keeps while no other wants it.
KEPT_DIVISOR = 64


class GrantView(NamedTuple):
    """Input of a grant decision."""

    shard: str
    #: As last read, with the newest known limit.
    record: LimitRecord
    #: The minimum grant, whatever the outcome of unanswered writes.
    assured: Resources
    held: Resources
    wanted: Resources
    #: Wants of other shards, by shard.
    others: Mapping[str, Want]
    #: Unix time in milliseconds since which this shard has had unmet demand and has
    #: neither started nor ended a task; the current time without unmet demand.
    stuck_since_ms: int
    #: Amount unused throughout the last few seconds.
    spare: Resources
    #: Amount unused throughout the idle window that has just ended; None within one.
    idle: Resources | None
    now_ms: int


class GrantChoice(NamedTuple):
    """The grant to write, and the bound for new starts."""

    #: The grant to write into the record.
    target: Resources
    #: Upper bound for new starts; the target may be higher.
    cap: Resources


def choose_grant(view: GrantView) -> GrantChoice:
    """Return the grant that the shard should have now."""
    if not view.record.fully_in_force():
        return _shrink_to_lowered_limit(view)
    if _should_release(view):
        return _at_most(view, view.held)
    cap = _yielded_cap(view)
    if cap != view.assured:
        return _at_most(view, cap)
    deficit = missing(view)
    if any(deficit):
        return _uncapped(_grown(view, deficit))
    return _uncapped(_reduced(view))


def missing(view: GrantView) -> Resources:
    """Return the demand beyond the grant, bounded by the limit."""
    demand = view.held.plus(view.wanted)
    bounded = _finite_demand(demand, view.record.limit)
    return greater(bounded.minus(view.assured), ZERO)


def _finite_demand(demand: Resources, limit: Resources) -> Resources:
    """Bound the demand by the limit; dimensions without a limit become UNLIMITED."""
    if not any(demand):
        return ZERO
    return Resources(
        *(
            UNLIMITED if bound >= UNLIMITED else min(amount, bound)
            for amount, bound in zip(demand, limit, strict=True)
        )
    )


def _uncapped(target: Resources) -> GrantChoice:
    return GrantChoice(target, target)


def _at_most(view: GrantView, cap: Resources) -> GrantChoice:
    """Bound new starts by ``cap``, and release what is above it and not held."""
    cap = Resources(
        *(
            have if limit >= UNLIMITED else min(most, have)
            for most, have, limit in zip(
                cap, view.assured, view.record.limit, strict=True
            )
        )
    )
    return GrantChoice(greater(cap, lesser(view.held, view.assured)), cap)


def _shrink_to_lowered_limit(view: GrantView) -> GrantChoice:
    """Release unused grants first; then shrink to the allotment as tasks end."""
    allotment = view.record.allotments.get(view.shard)
    if allotment is None:
        return _at_most(view, view.held)
    return _at_most(view, allotment)


def _should_release(view: GrantView) -> bool:
    """Return whether unused grants of this shard block an older want.

    Two shards that each hold a part of what one large task needs would deadlock;
    the age of their wants, then their names, decide which one releases.
    """
    if view.now_ms - view.stuck_since_ms < STUCK_MS:
        return False
    mine = (view.stuck_since_ms, view.shard)
    return any((want.since_ms, shard) < mine for shard, want in view.others.items())


def _even_part(view: GrantView) -> Resources:
    """Return the limit divided by the shards that hold or want something."""
    contenders = {s for s in view.record.grants if any(view.record.granted(s))}
    contenders |= view.others.keys()
    contenders.add(view.shard)
    return Resources(
        *(
            limit if limit >= UNLIMITED else limit // len(contenders)
            for limit in view.record.limit
        )
    )


def _owed(view: GrantView, part: Resources, since_ms: int) -> Resources:
    """Return the sum of older wants, up to the even part of each shard."""
    claims = []
    for shard, want in view.others.items():
        if (want.since_ms, shard) >= (since_ms, view.shard):
            continue
        room = greater(part.minus(view.record.granted(shard)), ZERO)
        claims.append(lesser(want.amount, room))
    return resources_sum(claims)


def _yielded_cap(view: GrantView) -> Resources:
    """Return the grant less what starved shards should receive from it."""
    if not view.others:
        return view.assured
    part = _even_part(view)
    owed = _owed(view, part, view.now_ms - STARVED_MS)
    owed = greater(owed.minus(greater(view.record.free(), ZERO)), ZERO)
    above = greater(view.assured.minus(part), ZERO)
    return view.assured.minus(lesser(owed, above))


def _grown(view: GrantView, deficit: Resources) -> Resources:
    """Return the grant plus as much of the deficit as the free amount covers."""
    free = view.record.free().plus(view.record.granted(view.shard))
    free = greater(free.minus(view.assured), ZERO)
    part = _even_part(view)
    if not view.assured.plus(deficit).fits(part):
        free = greater(free.minus(_owed(view, part, view.stuck_since_ms)), ZERO)
    if deficit.fits(free):
        extra = _headroom(view, free.minus(deficit))
        return view.assured.plus(deficit).plus(extra)
    return view.assured.plus(_even_fraction(free, deficit))


def _even_fraction(free: Resources, deficit: Resources) -> Resources:
    """Return the same fraction of the deficit in every dimension with a limit."""
    scale = min(
        have / need for have, need in zip(free, deficit, strict=True) if need > 0
    )
    taken = Resources(
        *(
            need if have >= UNLIMITED else min(have, int(need * scale))
            for have, need in zip(free, deficit, strict=True)
        )
    )
    useless = any(need and not have for have, need in zip(taken, deficit, strict=True))
    return ZERO if useless else taken


def _headroom(view: GrantView, free: Resources) -> Resources:
    """Return the amount to take beyond the demand, so that few starts need a write."""
    if view.others:
        return ZERO
    demand = view.held.plus(view.wanted)
    room = Resources(
        *(max(amount // HEADROOM_DIVISOR, 3 * new) for amount, new in _pairs(view))
    )
    spare = Resources(*(amount // FREE_DIVISOR for amount in free))
    unused = greater(view.assured.minus(demand), ZERO)
    extra = greater(lesser(room, spare).minus(unused), ZERO)
    return Resources(
        *(
            0 if limit >= UNLIMITED else amount
            for amount, limit in zip(extra, view.record.limit, strict=True)
        )
    )


def _pairs(view: GrantView) -> zip[tuple[int, int]]:
    return zip(view.held.plus(view.wanted), view.wanted, strict=True)


def _reduced(view: GrantView) -> Resources:
    """Return the grant less unused amounts that others want or that stayed idle."""
    demand = view.held.plus(view.wanted)
    unused = greater(view.assured.minus(demand), ZERO)
    asked = resources_sum(want.amount for want in view.others.values())
    back = lesser(_givable(view, unused), asked)
    if view.idle is not None:
        back = greater(back, _idle_part(view, unused))
    return view.assured.minus(back)


def _givable(view: GrantView, unused: Resources) -> Resources:
    """Return the unused amount that other shards may have.

    A large amount is available at once, a small one only after it has been unused
    for some time: between the end of a task and the start of the next a little is
    always unused, and releasing that would cost two writes for each task.
    """
    return Resources(
        *(
            amount if amount * MUCH_DIVISOR >= have else min(amount, lasting)
            for amount, have, lasting in zip(
                unused, view.assured, view.spare, strict=True
            )
        )
    )


def _idle_part(view: GrantView, unused: Resources) -> Resources:
    """Return half of what stayed unused for a whole window, above a reserve."""
    kept = Resources(*(limit // KEPT_DIVISOR for limit in view.record.limit))
    idle = lesser(view.idle or ZERO, unused)
    above = greater(idle.minus(kept), ZERO)
    return Resources(
        *(
            0 if limit >= UNLIMITED else (amount + 1) // 2
            for amount, limit in zip(above, view.record.limit, strict=True)
        )
    )
