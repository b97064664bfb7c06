"""Helpers shared by the tests of whole cells."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from savorylead.jobs import JobState
from savorylead.pools import (
    MAX_ORDER_DELAY_MS,
    Committed,
    Conflict,
    Put,
    StoreRefusedError,
)
from savorylead_daemon.pool._keys import LEAD_PREFIX, lead_key
from savorylead_standins.pools import MemoryCellStore, PoolCell, StoreView


class LoggedEvent(NamedTuple):
    """A logged event and its details."""

    event: str
    details: dict[str, Any]


#: Time until a cell has elected its leads and they have reports of their workers.
READY_S = 4.0
#: Age of a cell whose leads poll idle workers rarely, since no order of a lead before
#: them may be executed any more.
SETTLED_S = READY_S + MAX_ORDER_DELAY_MS / 1_000


def ready_cell(**changes: object) -> PoolCell:
    """Return a cell whose leads are elected."""
    cell = PoolCell(**changes)
    cell.run(READY_S)
    return cell


def settled_cell(**changes: object) -> PoolCell:
    """Return a cell whose leads poll idle workers rarely."""
    cell = PoolCell(**changes)
    cell.run(SETTLED_S)
    return cell


def other_node(cell: PoolCell) -> str:
    """Return the name of a node other than the lead."""
    return next(name for name in cell.nodes if name != cell.lead_of())


def states(cell: PoolCell, jobs: list[str]) -> dict[str, JobState | None]:
    """Return the states of jobs as reported by one node."""
    via = next(iter(cell.nodes))
    return {job: cell.state(job, via) for job in jobs}


class NeverElected(StoreView):
    """A store connection that refuses commits to the keys of leads."""

    def __init__(self, store: MemoryCellStore, pool: str = "") -> None:
        """``pool`` is the pool that the daemon can't lead; empty for all pools."""
        super().__init__(store)
        self._refused = lead_key(pool) if pool else LEAD_PREFIX
        self.refuses = True

    async def commit(
        self,
        expected: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        """Refuse to make this daemon the lead of a pool."""
        if self.refuses and any(put.key.startswith(self._refused) for put in puts):
            raise StoreRefusedError("refused")
        return await super().commit(expected, puts, deletes)
