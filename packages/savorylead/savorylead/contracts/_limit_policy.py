"""Policy that chooses a shard's grant for one team; pure functions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from savorylead.resources import ZERO, Resources

from ._limit_record import (
    LimitRecord,
    Want,
    elementwise_max,
    elementwise_min,
    resources_sum,
)
from ._team_limits import UNLIMITED

#: Age from which a want makes shards above their even part release grants to it.
STARVATION_AGE_MS = 5_000
#: Time without progress after which a shard releases unused grants to an older want.
NO_PROGRESS_TIMEOUT_MS = 10_000
#: Divisor of the demand: headroom that a growing grant gets beyond it.
HEADROOM_DIVISOR = 2
#: Divisor of the free amount: most headroom that one write takes.
MAX_HEADROOM_DIVISOR = 8
#: Divisor of the grant: unused amounts from this size on are released at once.
LARGE_UNUSED_DIVISOR = 2
#: Divisor of the limit: amount that an idle shard keeps while no other wants it.
IDLE_RESERVE_DIVISOR = 64


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
    no_progress_since_ms: int
    #: Amount unused throughout the last few seconds.
    recently_unused: Resources
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
    cap = _cap_for_starved(view)
    if cap != view.assured:
        return _at_most(view, cap)
    deficit = unmet_demand(view)
    if any(deficit):
        return _uncapped(_grown_grant(view, deficit))
    return _uncapped(_reduced_grant(view))


def unmet_demand(view: GrantView) -> Resources:
    """Return the demand beyond the grant, bounded by the limit."""
    demand = view.held.plus(view.wanted)
    bounded = _finite_demand(demand, view.record.limit)
    return elementwise_max(bounded.minus(view.assured), ZERO)


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
            have if limit >= UNLIMITED else min(bound, have)
            for bound, have, limit in zip(
                cap, view.assured, view.record.limit, strict=True
            )
        )
    )
    return GrantChoice(
        elementwise_max(cap, elementwise_min(view.held, view.assured)), cap
    )


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
    if view.now_ms - view.no_progress_since_ms < NO_PROGRESS_TIMEOUT_MS:
        return False
    mine = (view.no_progress_since_ms, view.shard)
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


def _older_wants(view: GrantView, part: Resources, since_ms: int) -> Resources:
    """Return the sum of older wants, up to the even part of each shard."""
    claims = []
    for shard, want in view.others.items():
        if (want.since_ms, shard) >= (since_ms, view.shard):
            continue
        unmet_part = elementwise_max(part.minus(view.record.granted(shard)), ZERO)
        claims.append(elementwise_min(want.amount, unmet_part))
    return resources_sum(claims)


def _cap_for_starved(view: GrantView) -> Resources:
    """Return the grant less what starved shards should receive from it."""
    if not view.others:
        return view.assured
    part = _even_part(view)
    owed = _older_wants(view, part, view.now_ms - STARVATION_AGE_MS)
    owed = elementwise_max(owed.minus(elementwise_max(view.record.free(), ZERO)), ZERO)
    above = elementwise_max(view.assured.minus(part), ZERO)
    return view.assured.minus(elementwise_min(owed, above))


def _grown_grant(view: GrantView, deficit: Resources) -> Resources:
    """Return the grant plus as much of the deficit as the free amount covers."""
    free = view.record.free().plus(view.record.granted(view.shard))
    free = elementwise_max(free.minus(view.assured), ZERO)
    part = _even_part(view)
    if not view.assured.plus(deficit).fits(part):
        free = elementwise_max(
            free.minus(_older_wants(view, part, view.no_progress_since_ms)), ZERO
        )
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
    incomplete = any(
        need and not have for have, need in zip(taken, deficit, strict=True)
    )
    return ZERO if incomplete else taken


def _headroom(view: GrantView, free: Resources) -> Resources:
    """Return the amount to take beyond the demand, so that few starts need a write."""
    if view.others:
        return ZERO
    demand = view.held.plus(view.wanted)
    headroom = Resources(
        *(
            max(amount // HEADROOM_DIVISOR, 3 * new)
            for amount, new in _demand_and_wanted(view)
        )
    )
    max_extra = Resources(*(amount // MAX_HEADROOM_DIVISOR for amount in free))
    unused = elementwise_max(view.assured.minus(demand), ZERO)
    extra = elementwise_max(elementwise_min(headroom, max_extra).minus(unused), ZERO)
    return Resources(
        *(
            0 if limit >= UNLIMITED else amount
            for amount, limit in zip(extra, view.record.limit, strict=True)
        )
    )


def _demand_and_wanted(view: GrantView) -> zip[tuple[int, int]]:
    return zip(view.held.plus(view.wanted), view.wanted, strict=True)


def _reduced_grant(view: GrantView) -> Resources:
    """Return the grant less unused amounts that others want or that stayed idle."""
    demand = view.held.plus(view.wanted)
    unused = elementwise_max(view.assured.minus(demand), ZERO)
    wanted_by_others = resources_sum(want.amount for want in view.others.values())
    released = elementwise_min(_releasable(view, unused), wanted_by_others)
    if view.idle is not None:
        released = elementwise_max(released, _idle_release(view, unused))
    return view.assured.minus(released)


def _releasable(view: GrantView, unused: Resources) -> Resources:
    """Return the unused amount that other shards may have.

    A large amount is available at once, a small one only after it has been unused
    for some time: between the end of a task and the start of the next a little is
    always unused, and releasing that would cost two writes for each task.
    """
    return Resources(
        *(
            amount if amount * LARGE_UNUSED_DIVISOR >= have else min(amount, recent)
            for amount, have, recent in zip(
                unused, view.assured, view.recently_unused, strict=True
            )
        )
    )


def _idle_release(view: GrantView, unused: Resources) -> Resources:
    """Return half of what stayed unused for a whole window, above a reserve."""
    kept = Resources(*(limit // IDLE_RESERVE_DIVISOR for limit in view.record.limit))
    idle = elementwise_min(view.idle or ZERO, unused)
    above = elementwise_max(idle.minus(kept), ZERO)
    return Resources(
        *(
            0 if limit >= UNLIMITED else (amount + 1) // 2
            for amount, limit in zip(above, view.record.limit, strict=True)
        )
    )
