"""Interfaces that a shard's lead uses to keep teams within their upper limits."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping

from savorylead.resources import Resources

#: Amount of a dimension without a limit. Far above the capacity of any cell, and
#: small enough that sums over all shards stay exact in JSON numbers.
UNLIMITED = 2**44
#: A limit or grant without a bound in any dimension.
UNLIMITED_RESOURCES = Resources(*(UNLIMITED,) * len(Resources._fields))


def limit_from_amounts(amounts: Mapping[str, float]) -> Resources:
    """Convert a limit of the configuration to resources.

    ``amounts`` has the fields of ``savorylead.config.ResourcesDocument``; a
    dimension that is left out is unlimited.
    """
    cores = amounts.get("cores")
    return Resources(
        cores_milli=UNLIMITED if cores is None else round(cores * 1000),
        memory_mb=int(amounts.get("memory_mb", UNLIMITED)),
        accelerators=int(amounts.get("accelerators", UNLIMITED)),
        slots=int(amounts.get("slots", UNLIMITED)),
        connections=int(amounts.get("connections", UNLIMITED)),
    )


class GrantHolder(ABC):
    """The lead's side of upper limits: reports what is held and receives grants.

    A lead usually passes both on to its planner (``held_by_team``, ``set_grant``).
    """

    @abstractmethod
    def held(self, team: str) -> Resources:
        """Return what the team holds in the shard now.

        Each task counts from the decision to place it until its worker has confirmed
        its end, including tasks placed by earlier leads of the shard.
        """

    def free_capacity(self) -> Resources:
        """Return the free capacity of the shard's workers.

        Demand above it requests no grants, so that a shard whose workers are full
        leaves them to shards with free workers. Unlimited unless overridden.
        """
        return UNLIMITED_RESOURCES

    @abstractmethod
    def grant_changed(self, team: str, grant: Resources) -> None:
        """Apply a changed grant: start no task that would take the team above it.

        The grant may be below what is held; running tasks then continue. Must not
        call back into ``TeamLimits``.
        """


class TeamLimits(ABC):
    """Keeps the total that all shards hold for a team within its upper limit.

    One object serves one lead of one shard, at one epoch. Create it after the
    journal was opened and replayed, and close it when the lead is deposed or
    resigns. Grants belong to the shard, so the next lead takes them over.
    """

    @abstractmethod
    def set_limits(self, config_revision: int, limits: Mapping[str, Resources]) -> None:
        """Use the limits of a configuration; older revisions are ignored.

        A team that the configuration omits has the limit zero.
        """

    @abstractmethod
    def set_demand(self, team: str, wanted: Resources) -> None:
        """Set the total demand of the team's waiting tasks, beyond what is held.

        May be called on each arrival: it causes a store write only when the demand
        exceeds the grant, and at most one write per team is in flight.
        """

    @abstractmethod
    def grant(self, team: str) -> Resources:
        """Return the most that the team may hold in this shard; zero if unknown.

        A dimension without a limit is ``UNLIMITED`` or close below it.
        """

    @abstractmethod
    def excess(self, team: str) -> Resources:
        """Return what to checkpoint or stop because a limit was lowered."""

    @abstractmethod
    async def step(self) -> None:
        """Run due reads and writes; call once a second, without overlap.

        Never raises StoreError: grants stay unchanged while the store fails.
        """

    @abstractmethod
    def close(self) -> None:
        """Stop; no writes or callbacks follow."""
