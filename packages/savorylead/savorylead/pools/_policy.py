"""Which optional scheduling decisions a pool's lead makes."""

from __future__ import annotations

from typing import NamedTuple


class SchedulingPolicy(NamedTuple):
    """The optional decisions of a lead; all are off by default."""

    #: Whether durations and worker speeds are learned, and used to order and place.
    learns_durations: bool = False
    #: Whether each job is marked in the store before its first task is ordered, so that
    #: a later lead knows which jobs no earlier lead has started.
    marks_jobs: bool = False
    #: Largest share of a pool's cores that copies of late tasks hold; 0 starts none.
    copy_share: float = 0.0


#: Everything on, for cells in which moving a misplaced task takes long.
FULL_POLICY = SchedulingPolicy(learns_durations=True, marks_jobs=True, copy_share=0.05)
