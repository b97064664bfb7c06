"""Which daemons should lead a pool, by what their machines have; no I/O."""

from __future__ import annotations

from typing import NamedTuple


class Machine(NamedTuple):
    """What a daemon's machine has for it; 0 where that is not told."""

    #: Processor time in a second, in seconds of a core.
    cores: float = 0.0
    #: Rate of its link in megabits a second, each way.
    link_mbps: float = 0.0
    #: Memory in megabytes; it is told, and decides nothing.
    memory_mb: int = 0
