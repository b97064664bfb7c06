"""Assignment of shards to the daemons that should lead them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ._domain import Shard
from ._member_record import MemberRecord
from ._rendezvous import rendezvous_order


class LeadAssignment(NamedTuple):
    """The intended lead of one shard."""

    shard: str
    #: Name of the daemon that should lead; empty if the region has none.
    lead: str
    #: Whether that daemon should take over the shard now. Otherwise it leads already,
    #: or must wait until the current lead resigns or leaves the list.
    vacant: bool


#: Minimum age of a registration that takes over shards of absent leads. All leases
#: lapse together in a long outage of the store, and every daemon needs time to
#: register again before it counts as absent.
REREGISTRATION_GRACE_MS = 3_000


def assign_leads(
    shards: Iterable[Shard],
    records: Iterable[MemberRecord],
    leads: Mapping[str, str],
    now_ms: int,
) -> dict[str, LeadAssignment]:
    """Return the assignment of each shard, by its name.

    ``leads`` holds the name in each shard's head; empty or missing means no lead.
    The result depends only on the arguments, so daemons that read the same members
    and heads agree without messages; while they read different ones, the journal
    admits only one lead.

    A daemon leads in its own region only, and the region's shards are spread evenly.
    A shard without a live lead is assigned to another daemon at once, unless that
    daemon registered less than REREGISTRATION_GRACE_MS ago. A shard with a live lead
    moves only if the lead has more than its share and another daemon is settled, so
    that a daemon that pauses repeatedly does not cause shards to move back and forth.
    """
    members = {record.member.name: record for record in records}
    by_region: dict[str, list[Shard]] = {}
    for shard in shards:
        by_region.setdefault(shard.region, []).append(shard)
    result = {}
    for region, group in by_region.items():
        candidates = [r for r in members.values() if r.member.region == region]
        names = _eligible(group, candidates, leads, now_ms)
        owners = _owners(group, names, leads)
        for shard in group:
            owner = owners.get(shard.name, "")
            lead = leads.get(shard.name, "")
            vacant = bool(owner) and _is_vacant(lead, members, owner, now_ms)
            result[shard.name] = LeadAssignment(shard.name, owner, vacant)
    return result


def _is_vacant(
    lead: str, members: Mapping[str, MemberRecord], owner: str, now_ms: int
) -> bool:
    """Return whether ``owner`` may take a shard whose head names ``lead``."""
    if not lead:
        return True
    may_take_from = members[owner].registered_at_ms + REREGISTRATION_GRACE_MS
    return lead not in members and now_ms >= may_take_from


def _eligible(
    shards: list[Shard],
    candidates: list[MemberRecord],
    leads: Mapping[str, str],
    now_ms: int,
) -> list[str]:
    """Return the names of the daemons that may be assigned shards.

    These are the settled daemons and those that lead already, or, if there are none,
    all that are not shutting down.
    """
    leading = {leads.get(shard.name, "") for shard in shards}
    accepting = [record for record in candidates if record.member.leading]
    names = [
        record.member.name
        for record in accepting
        if record.settled(now_ms) or record.member.name in leading
    ]
    return names or [record.member.name for record in accepting]


def _owners(
    shards: list[Shard], names: list[str], leads: Mapping[str, str]
) -> dict[str, str]:
    """Return the intended lead of each shard; none gets more than its quota.

    A lead keeps its shards up to its quota, so that the death of one daemon moves
    only that daemon's shards. The others are assigned by rendezvous hashing.
    """
    if not names:
        return {}
    quota = _Quota(len(shards), names)
    owners: dict[str, str] = {}
    by_name = sorted(shard.name for shard in shards)
    led_by = {
        lead: [name for name in by_name if leads.get(name) == lead] for lead in names
    }
    for lead in sorted(names, key=lambda name: (-len(led_by[name]), name)):
        for name in rendezvous_order(lead, led_by[lead]):
            if quota.try_assign(lead):
                owners[name] = lead
    for name in by_name:
        if name not in owners:
            owners[name] = next(filter(quota.try_assign, rendezvous_order(name, names)))
    return owners


class _Quota:
    """Bounds the shards per daemon: an even share, plus one while a rest remains."""

    def __init__(self, shards: int, names: list[str]) -> None:
        self._share, self._extra_shards = divmod(shards, len(names))
        self._load = dict.fromkeys(names, 0)

    def try_assign(self, name: str) -> bool:
        """Assign one more shard to the daemon; return False if its quota is used up."""
        if self._load[name] > self._share:
            return False
        if self._load[name] == self._share:
            if not self._extra_shards:
                return False
            self._extra_shards -= 1
        self._load[name] += 1
        return True


class LeadSteps(NamedTuple):
    """The next steps of one daemon as a lead; both tuples are sorted."""

    #: Shards whose journal it should open.
    to_open: tuple[str, ...]
    #: Shards that it should resign.
    to_resign: tuple[str, ...]


def next_lead_steps(
    me: str,
    held: Iterable[str],
    assignments: Mapping[str, LeadAssignment],
    leads: Mapping[str, str],
) -> LeadSteps:
    """Return the next steps of the daemon ``me``, which leads or opens ``held``.

    A shard whose head names this daemon although it is not in ``held`` was led by an
    earlier process of that name, which died without resigning. This daemon opens it,
    and resigns it afterwards if another daemon should lead it.

    Call this only with a member list that is not stale.
    """
    held_now = set(held)
    to_open = {
        shard
        for shard, step in assignments.items()
        if step.lead == me and step.vacant or leads.get(shard) == me
    }
    to_resign = {
        shard
        for shard in held_now & assignments.keys()
        if assignments[shard].lead not in ("", me)
    }
    return LeadSteps(tuple(sorted(to_open - held_now)), tuple(sorted(to_resign)))
