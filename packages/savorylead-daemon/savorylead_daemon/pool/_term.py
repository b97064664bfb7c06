"""One term of this daemon as the lead of a pool."""

from __future__ import annotations

from typing import NamedTuple


class Term(NamedTuple):
    """A period in which this daemon leads a pool."""

    pool: str
    #: Increases with each new lead; also the fencing token in calls to workers.
    number: int
    #: The lead's key and its revision, which every write of the lead expects.
    key: str
    revision: int
