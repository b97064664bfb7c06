"""One term of this daemon as the lead of a pool."""

from __future__ import annotations

from typing import NamedTuple


class Term(NamedTuple):
    """This daemon leads a pool."""

    pool: str
    #: Rises with each lead; also the fencing token towards workers.
    number: int
    #: The lead's key and its revision, which every write of the lead expects.
    key: str
    revision: int
