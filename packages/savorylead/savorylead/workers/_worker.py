"""Workers and their states in the scheduler."""

from __future__ import annotations

import enum
from typing import NamedTuple

from savorylead.resources import Resources


class WorkerState(enum.StrEnum):
    """Whether a worker may get new tasks."""

    #: Accepts new tasks.
    READY = "ready"
    #: Leaving: finishes its tasks and gets no new ones.
    DRAINING = "draining"
    #: Its tasks fail: gets only probes.
    QUARANTINED = "quarantined"
    #: Does not answer; its tasks still count against its capacity.
    UNREACHABLE = "unreachable"


class Worker(NamedTuple):
    """One VM that runs tasks."""

    #: Unique in the cell.
    name: str
    #: Name of its failure domain.
    domain: str
    #: Rack within the domain, unique in the cell.
    rack: str
    #: Total resources.
    capacity: Resources
    #: Network address, as "IP:port"; empty in pure computations.
    endpoint: str = ""
