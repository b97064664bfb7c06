"""Assigns shards to this daemon from the members and journal heads in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime

from savorylead.clock import Clock, to_millis
from savorylead.domains import (
    LeadAssignment,
    LeadDirectory,
    LeadSteps,
    Membership,
    Shard,
    assign_leads,
    next_lead_steps,
)

from ._lead_supervisor import LeadDuty


class AssignedLeadDuty(LeadDuty):
    """Follows the assignment that all daemons compute identically.

    While the list of members may be out of date, no shard is taken, since a daemon
    missing from it may be alive. Shards that are already led are kept, as the journal
    admits only one lead regardless of the lists.
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
        self._held: frozenset[str] = frozenset()
        #: When this daemon stopped leading each shard that it has led before.
        self._stopped_at: dict[str, datetime] = {}

    def steps(self, held: frozenset[str]) -> LeadSteps:
        """Return shards to open and to resign; ``held`` are led or being opened."""
        self._update_held(held)
        if self._membership.current().stale or self._heads.age() is None:
            return LeadSteps((), ())
        steps = next_lead_steps(
            self._membership.member.name, held, self._assignments(), self._leads()
        )
        if not self._membership.member.leading:
            return steps._replace(to_open=())
        return steps

    def _update_held(self, held: frozenset[str]) -> None:
        for shard in self._held - held:
            self._stopped_at[shard] = self._clock.now()
        self._held = held

    def _leads(self) -> dict[str, str]:
        """Return the leads named in the heads, except for shards just resigned.

        A head that was read before the resignation still names this daemon, and must
        not be mistaken for one that an earlier process of the same name has left.
        """
        leads = self._heads.leads()
        read_at = self._clock.now() - self._heads.age()
        for shard, stopped_at in self._stopped_at.items():
            is_own = leads.get(shard) == self._membership.member.name
            if is_own and shard not in self._held and read_at <= stopped_at:
                leads[shard] = ""
        return leads

    def _assignments(self) -> dict[str, LeadAssignment]:
        return assign_leads(
            self._shards(),
            self._membership.current().records,
            self._leads(),
            to_millis(self._clock.now()),
        )
