"""The interface through which a shard's lead keeps teams below their upper limits."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping

from savorylead.resources import Resources

#: Amount of a dimension without a limit. Far above what any cell holds, and small
#: enough that sums over all shards stay exact in JSON numbers.
UNLIMITED = 2**44
#: A limit or grant that is without bound in every dimension.
UNLIMITED_RESOURCES = Resources(*(UNLIMITED,) * len(Resources._fields))


def limit_from_amounts(amounts: Mapping[str, float]) -> Resources:
    """Return a limit of the configuration as resources.

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
    """The lead's side of an upper limit: what it holds, and what it may hold.

    A lead usually passes both on to its planner (``held_by_team``, ``set_grant``).
    """

    @abstractmethod
    def held(self, team: str) -> Resources:
        """Return what the team holds in the shard at this very moment.

        It counts each task from the decision to place it until its worker has
        confirmed its end, also tasks placed by earlier leads of the shard.
        """

    def room(self) -> Resources:
        """Return what the shard's workers could take beyond what they hold.

        Demand above it asks for no grants, so that a shard whose workers are full
        leaves them to shards with free workers. Not bounded unless overridden.
        """
        return UNLIMITED_RESOURCES

    @abstractmethod
    def grant_changed(self, team: str, grant: Resources) -> None:
        """Start nothing that would take the team above ``grant`` from now on.

        The grant may be below what is held; running tasks then go on. Must not
        call back into ``TeamLimits``.
        """


class TeamLimits(ABC):
    """Keeps what all shards together hold for a team within its upper limit.

    One object serves one lead of one shard, at one epoch. Create it after the
    journal was opened and replayed, and close it when the lead is deposed or
    resigns: grants belong to the shard, so the next lead takes them over.
    """

    @abstractmethod
    def set_limits(self, config_revision: int, limits: Mapping[str, Resources]) -> None:
        """Use the limits of a configuration; older revisions are ignored.

        A team that is left out from now on has the limit zero.
        """

    @abstractmethod
    def set_demand(self, team: str, wanted: Resources) -> None:
        """Tell what the team's waiting tasks ask for in all, beyond what is held.

        May be called on each arrival: it costs a store write only when the demand
        exceeds the grant, and at most one write for a team is in flight.
        """

    @abstractmethod
    def grant(self, team: str) -> Resources:
        """Return the most that the team may hold in this shard; zero if unknown.

        A dimension without a limit is ``UNLIMITED`` or close below it.
        """

    @abstractmethod
    def excess(self, team: str) -> Resources:
        """Return what should be checkpointed or stopped because a limit sank."""

    @abstractmethod
    async def step(self) -> None:
        """Do what is due; to be called once a second, one call at a time.

        Never raises StoreError: while the store fails the grants stay as they are.
        """

    @abstractmethod
    def close(self) -> None:
        """Write nothing any more and make no further callbacks."""
