"""Reloading of the settings file while the daemon runs."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead_daemon.concurrency import spawn, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel, SettingsError

from .settings import PoolSettings, load_pool_settings

#: Time between two reads, as the file may change without a signal.
POLL_INTERVAL = timedelta(seconds=1)
#: Sections that take effect immediately; others do at the daemon's next start.
LIVE_SECTIONS = frozenset({"bounds", "log"})


class SettingsWatch:
    """Validates a changed file as a whole; an invalid one has no effect."""

    def __init__(
        self,
        path: Path,
        current: PoolSettings,
        clock: Clock,
        log: EventLog,
        on_change: Callable[[PoolSettings], None],
    ) -> None:
        """``current`` holds the settings with which the daemon was started."""
        self._path = path
        self._current = current
        self._clock = clock
        self._log = log
        self._on_change = on_change
        #: The last logged fault, which is not logged again.
        self._fault = ""
        self._running: Deferred[None] | None = None

    def start(self) -> None:
        """Start to poll the file."""
        running = supervised("settings watch", self._clock, self._run)
        self._running = spawn("settings watch", running)

    def stop(self) -> None:
        """Stop polling the file."""
        if self._running is not None:
            self._running.cancel()

    def reload(self) -> None:
        """Read the file now, as on SIGHUP."""
        try:
            settings = load_pool_settings(self._path)
        except SettingsError as exc:
            fault = "; ".join(f"{path}: {message}" for path, message in exc.faults)
            if fault != self._fault:
                self._fault = fault
                self._log.log_event(LogLevel.ERROR, "settings_refused", faults=fault)
            return
        self._fault = ""
        changed = [
            name
            for name in PoolSettings.__struct_fields__
            if getattr(settings, name) != getattr(self._current, name)
        ]
        if not changed:
            return
        self._current = settings
        self._log.log_event(
            LogLevel.INFO,
            "settings_reloaded",
            in_force=[name for name in changed if name in LIVE_SECTIONS],
            at_next_start=[name for name in changed if name not in LIVE_SECTIONS],
        )
        self._on_change(settings)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(POLL_INTERVAL)
            self.reload()
