"""Whether the balancer should send callers here."""

from __future__ import annotations


class Readiness:
    """Collects the reasons for which a daemon is not ready.

    A daemon starts not ready; it is ready once no reason is left.
    """

    #: The reason that holds until the daemon has its configuration and its links.
    STARTING = "starting"
    #: The reason that holds from the start of a planned stop.
    STOPPING = "stopping"

    def __init__(self) -> None:
        self._reasons: set[str] = {self.STARTING}

    def block(self, reason: str) -> None:
        """Be not ready until ``reason`` is cleared."""
        self._reasons.add(reason)

    def clear(self, reason: str) -> None:
        """Drop a reason; does nothing if it does not hold."""
        self._reasons.discard(reason)

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return not self._reasons

    def reasons(self) -> tuple[str, ...]:
        """Return why the daemon is not ready, sorted."""
        return tuple(sorted(self._reasons))
