"""Which shards this daemon should lead, from the members and heads in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from savorylead.clock import Clock, to_millis
from savorylead.domains import (
    LeadAssignment,
    LeadDirectory,
    Membership,
    Shard,
    assign_leads,
)

from ._lead_supervisor import LeadDuty


class AssignedLeadDuty(LeadDuty):
    """Follows the assignment that all daemons compute alike.

    While the list of members may be out of date nothing is taken, since a daemon
    that seems gone may be alive; what is led already is kept, as the journal admits
    one lead whatever the lists say.
    """

    def __init__(
        self,
        membership: Membership,
        heads: LeadDirectory,
        shards: Callable[[], Iterable[Shard]],
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._heads = heads
        self._shards = shards
        self._clock = clock

    def to_take(self, leading: frozenset[str]) -> list[Shard]:
        """Return shards to take now."""
        if self._membership.current().stale or self._heads.age() is None:
            return []
        if not self._membership.member.leading:
            return []
        assignments = self._assignments()
        return [
            shard
            for shard in self._shards()
            if shard.name not in leading and self._is_mine(assignments[shard.name])
        ]

    def to_resign(self, leading: frozenset[str]) -> list[str]:
        """Return shards that another settled daemon should lead, or that are gone."""
        if self._membership.current().stale:
            return []
        assignments = self._assignments()
        return [
            name
            for name in sorted(leading)
            if name not in assignments or self._is_elsewhere(assignments[name])
        ]

    def _is_mine(self, assignment: LeadAssignment) -> bool:
        own_name = self._membership.member.name
        # A head with this daemon's name that it doesn't lead is left over from an
        # earlier process of the same name, and nobody else will take it.
        if self._heads.leads().get(assignment.shard) == own_name:
            return True
        return assignment.vacant and assignment.lead == own_name

    def _is_elsewhere(self, assignment: LeadAssignment) -> bool:
        return assignment.lead not in ("", self._membership.member.name)

    def _assignments(self) -> dict[str, LeadAssignment]:
        return assign_leads(
            self._shards(),
            self._membership.current().records,
            self._heads.leads(),
            to_millis(self._clock.now()),
        )
