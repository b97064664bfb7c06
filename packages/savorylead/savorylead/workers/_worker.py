"""Workers as the scheduler sees them."""

from __future__ import annotations

import enum
from typing import NamedTuple

from savorylead.resources import Resources


class WorkerState(enum.StrEnum):
    """Whether a worker may be given new work."""

    #: Takes new work.
    READY = "ready"
    #: Leaving: finishes what it has and gets nothing new.
    DRAINING = "draining"
    #: Fails what it starts: gets only probes.
    QUARANTINED = "quarantined"
    #: Does not answer; what it runs still counts against its capacity.
    UNREACHABLE = "unreachable"


class Worker(NamedTuple):
    """One VM that runs tasks."""

    #: Unique in the cell.
    name: str
    #: Name of the failure domain that it stands in.
    domain: str
    #: Rack within the domain, unique in the cell.
    rack: str
    #: What it can hold in all.
    capacity: Resources
    #: Where its endpoint answers, as "IP:port"; empty in pure computations.
    endpoint: str = ""
