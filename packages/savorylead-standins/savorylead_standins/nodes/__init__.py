"""Stand-ins of processes that stop running for a while and go on."""

from ._pause import PausableClock, PausableStore, Pause

__all__ = ["Pause", "PausableClock", "PausableStore"]
