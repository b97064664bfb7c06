"""Readiness of a daemon to serve callers."""

from __future__ import annotations


class Readiness:
    """The set of reasons why a daemon is not ready.

    A daemon is not ready when it starts, and becomes ready once the set is empty.
    """

    #: Present until the daemon has its configuration and its links.
    STARTING = "starting"
    #: Present from the start of a planned stop.
    STOPPING = "stopping"

    def __init__(self) -> None:
        self._reasons: set[str] = {self.STARTING}

    def block(self, reason: str) -> None:
        """Add a reason; the daemon is not ready until it is cleared."""
        self._reasons.add(reason)

    def clear(self, reason: str) -> None:
        """Remove a reason; does nothing if it is absent."""
        self._reasons.discard(reason)

    def is_ready(self) -> bool:
        """Return whether the balancer may route callers to this daemon."""
        return not self._reasons

    def reasons(self) -> tuple[str, ...]:
        """Return why the daemon is not ready, sorted."""
        return tuple(sorted(self._reasons))
