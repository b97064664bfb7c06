"""Readiness of a daemon to serve callers."""

from __future__ import annotations

from collections.abc import Callable

from savorylead_daemon.settings import LogLevel

from ._event_log import EventLog

#: Receives the reasons why a daemon is not ready, sorted; none if it is.
ReadinessObserver = Callable[[tuple[str, ...]], None]


def log_readiness(
    log: EventLog, process_time: Callable[[], float]
) -> ReadinessObserver:
    """Return an observer that logs each change.

    ``process_time`` returns the processor time of the process in seconds, which tells a
    start that takes long from one that waits.
    """

    def changed(reasons: tuple[str, ...]) -> None:
        log.log_event(
            LogLevel.INFO,
            "readiness_changed",
            ready=not reasons,
            reasons=reasons,
            cpu_ms=int(process_time() * 1_000),
        )

    return changed


class Readiness:
    """The set of reasons why a daemon is not ready.

    A daemon is not ready when it starts, and becomes ready once the set is empty.
    """

    #: Present until the daemon has its configuration and its links.
    STARTING = "starting"
    #: Present from the start of a planned stop.
    STOPPING = "stopping"

    def __init__(self, observer: ReadinessObserver | None = None) -> None:
        """``observer`` is called after each change of the reasons."""
        self._reasons: set[str] = {self.STARTING}
        self._observer = observer

    def block(self, reason: str) -> None:
        """Add a reason; the daemon is not ready until it is cleared."""
        self._change(self._reasons | {reason})

    def clear(self, reason: str) -> None:
        """Remove a reason; does nothing if it is absent."""
        self._change(self._reasons - {reason})

    def is_ready(self) -> bool:
        """Return whether the balancer may route callers to this daemon."""
        return not self._reasons

    def reasons(self) -> tuple[str, ...]:
        """Return why the daemon is not ready, sorted."""
        return tuple(sorted(self._reasons))

    def _change(self, reasons: set[str]) -> None:
        if reasons == self._reasons:
            return
        self._reasons = reasons
        if self._observer is not None:
            self._observer(self.reasons())
