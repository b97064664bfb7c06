"""What the tests of whole cells share."""

from __future__ import annotations

from savorylead.jobs import JobState
from savorylead_standins.pools import PoolCell

#: A cell has its leads by then, and they know their workers.
READY_S = 4.0


def ready_cell(**changes: object) -> PoolCell:
    """Return a cell whose leads are elected."""
    cell = PoolCell(**changes)
    cell.run(READY_S)
    return cell


def other_node(cell: PoolCell) -> str:
    """Return a node that does not lead."""
    return next(name for name in cell.nodes if name != cell.lead_of())


def states(cell: PoolCell, jobs: list[str]) -> dict[str, JobState | None]:
    """Return the states of jobs as one node tells them."""
    via = next(iter(cell.nodes))
    return {job: cell.state(job, via) for job in jobs}
