"""Decides how large a shard's grant for one team should be. Pure functions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from savorylead.resources import ZERO, Resources

from ._limit_record import LimitRecord, Want, greater, lesser, resources_sum
from ._team_limits import UNLIMITED

#: A want that is this old makes shards above their even part give way.
STARVED_MS = 5_000
#: A shard that starts nothing for so long gives what it gathered to an older want.
STUCK_MS = 10_000
#: Part of the demand, as a divisor, that a growing shard takes on top of it.
HEADROOM_DIVISOR = 2
#: Part of the free amount, as a divisor, that one request takes as headroom at most.
FREE_DIVISOR = 8
#: Part of the grant, as a divisor, from which unused amounts are given at once.
MUCH_DIVISOR = 2
#: Part of the limit, as a divisor, that an idle shard keeps while nobody wants it.
KEPT_DIVISOR = 64


class GrantView(NamedTuple):
    """All that a decision depends on."""

    shard: str
    #: As last read, with the newest limit that the lead knows.
    record: LimitRecord
    #: The grant that surely stands, whatever becomes of unanswered writes.
    assured: Resources
    held: Resources
    wanted: Resources
    #: Wants of other shards, by shard.
    others: Mapping[str, Want]
    #: Unix time in milliseconds since which this shard is refused and starts and
    #: ends nothing; the present time if it is not refused.
    stuck_since_ms: int
    #: What was left unused for some seconds up to now.
    spare: Resources
    #: What was left unused during the whole last idle window; None within one.
    idle: Resources | None
    now_ms: int


class GrantChoice(NamedTuple):
    """What to write, and how much of it to use."""

    #: The grant that the record should show.
    target: Resources
    #: New starts stay below it although the target may be higher.
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
    """Return what the demand lacks; never more than the limit allows."""
    demand = view.held.plus(view.wanted)
    bounded = _finite_demand(demand, view.record.limit)
    return greater(bounded.minus(view.assured), ZERO)


def _finite_demand(demand: Resources, limit: Resources) -> Resources:
    """Bound the demand by the limit; without a limit all is asked for at once."""
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
    """Start nothing above ``cap``, and give back what is above it and not held."""
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
    """Give back what is idle first; then shrink to the allotment as tasks end."""
    allotment = view.record.allotments.get(view.shard)
    if allotment is None:
        return _at_most(view, view.held)
    return _at_most(view, allotment)


def _should_release(view: GrantView) -> bool:
    """Return whether gathered but unusable grants block an older want.

    Two shards that each gathered a part of what one large task needs would wait
    for each other for ever; the order of their wants breaks the tie.
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
    """Return what shards below their even part wanted before this one did."""
    claims = []
    for shard, want in view.others.items():
        if (want.since_ms, shard) >= (since_ms, view.shard):
            continue
        room = greater(part.minus(view.record.granted(shard)), ZERO)
        claims.append(lesser(want.amount, room))
    return resources_sum(claims)


def _yielded_cap(view: GrantView) -> Resources:
    """Return the grant less what starved shards should get out of it."""
    if not view.others:
        return view.assured
    part = _even_part(view)
    owed = _owed(view, part, view.now_ms - STARVED_MS)
    owed = greater(owed.minus(greater(view.record.free(), ZERO)), ZERO)
    above = greater(view.assured.minus(part), ZERO)
    return view.assured.minus(lesser(owed, above))


def _grown(view: GrantView, deficit: Resources) -> Resources:
    """Return the grant with as much of the deficit as there is, evenly."""
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
    """Return the same part of the deficit in every dimension that has a limit."""
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
    """Return what to take beyond the demand, so that few starts cost a write."""
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
    """Return the grant without what others want or what stayed idle."""
    demand = view.held.plus(view.wanted)
    unused = greater(view.assured.minus(demand), ZERO)
    asked = resources_sum(want.amount for want in view.others.values())
    back = lesser(_givable(view, unused), asked)
    if view.idle is not None:
        back = greater(back, _idle_part(view, unused))
    return view.assured.minus(back)


def _givable(view: GrantView, unused: Resources) -> Resources:
    """Return what others may have: at once if it is much, else once it lasted.

    Between the end of a task and the start of the next a little is always unused;
    giving that away would cost two writes for each task.
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
    """Return half of what stayed unused for a whole window, above a small rest."""
    kept = Resources(*(limit // KEPT_DIVISOR for limit in view.record.limit))
    idle = lesser(view.idle or ZERO, unused)
    above = greater(idle.minus(kept), ZERO)
    return Resources(
        *(
            0 if limit >= UNLIMITED else (amount + 1) // 2
            for amount, limit in zip(above, view.record.limit, strict=True)
        )
    )
