"""The failure domains that operators have ordered to be evacuated."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime

from savorylead.clock import Clock, to_millis
from savorylead.pools import Change, ConfigSource
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel


class Evacuations:
    """Tracks the orders to evacuate as they are read from the store."""

    def __init__(self, source: ConfigSource, clock: Clock, log: EventLog) -> None:
        self._source = source
        self._clock = clock
        self._log = log
        self._on_change: list[Callable[[frozenset[str]], None]] = []
        #: When this daemon first read each order in force, by failure domain.
        self.since: dict[str, datetime] = {}

    def subscribe(self, on_change: Callable[[frozenset[str]], None]) -> None:
        """Call ``on_change(domains)`` whenever an order is given or taken back."""
        self._on_change.append(on_change)

    def domains(self) -> frozenset[str]:
        """Return the failure domains in which nothing may start."""
        return frozenset(self.since)

    def replace(self, keys: Iterable[str]) -> None:
        """Apply a full read of the operators' keys."""
        domains = map(self._source.evacuated_domain, keys)
        self._set(frozenset(d for d in domains if d is not None))

    def apply(self, changes: Iterable[Change]) -> None:
        """Apply changes of the operators' keys, oldest first."""
        domains = set(self.since)
        for change in changes:
            domain = self._source.evacuated_domain(change.key)
            if domain is None:
                continue
            if change.value is None:
                domains.discard(domain)
            else:
                domains.add(domain)
        self._set(frozenset(domains))

    def _set(self, domains: frozenset[str]) -> None:
        if domains == self.since.keys():
            return
        now = self._clock.now()
        for domain in sorted(self.since.keys() - domains):
            lasted_ms = to_millis(now) - to_millis(self.since.pop(domain))
            self._log.log_event(
                LogLevel.INFO, "evacuation_ended", domain=domain, lasted_ms=lasted_ms
            )
        for domain in sorted(domains - self.since.keys()):
            self.since[domain] = now
            self._log.log_event(LogLevel.INFO, "evacuation_in_force", domain=domain)
        for on_change in self._on_change:
            on_change(domains)
