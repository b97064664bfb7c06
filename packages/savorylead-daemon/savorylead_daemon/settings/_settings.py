"""The settings of one daemon as typed, immutable values."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import NamedTuple


class Endpoint(NamedTuple):
    """An address and a TCP port."""

    #: A numeric IPv4 or IPv6 address; host names are not resolved.
    host: str
    #: 0 lets the operating system choose; only for listening endpoints.
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


class LogLevel(enum.StrEnum):
    """The lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class ListenSettings(NamedTuple):
    """Endpoints that the daemon listens on."""

    #: For callers, operators, the load balancer's probes and /metrics.
    callers: Endpoint
    #: For other daemons of the cell.
    peers: Endpoint
    #: The endpoint at which other daemons reach ``peers``.
    advertised_peers: Endpoint


class PlatformSettings(NamedTuple):
    """Endpoints of the platform."""

    store: Endpoint
    vm_list: Endpoint


class LeaseSettings(NamedTuple):
    """Durations of leases and intervals of their renewal."""

    #: Lease of this daemon in the store; other daemons take its shards over when it
    #: expires.
    member: timedelta
    member_renew_every: timedelta
    #: Lease of a running task on its worker.
    worker: timedelta
    worker_renew_every: timedelta
    #: Maximum drift between two clocks over one lease.
    drift_bound: timedelta
    #: How long a lead renews its workers' leases after the last proof that it leads.
    #: A later lead waits equally long before it considers these leases expired.
    epoch_grace: timedelta


class PollSettings(NamedTuple):
    """Polling intervals of sources that may stop sending updates."""

    config: timedelta
    members: timedelta
    vm_list: timedelta
    #: Usage digests to the other daemons.
    digests: timedelta


class LimitSettings(NamedTuple):
    """Limits on the load that one daemon accepts."""

    #: Largest request body, in bytes.
    body_bytes: int
    #: Maximum number of bytes of the bodies of all unanswered requests together.
    buffered_bytes: int
    #: Maximum number of connections of callers and operators; further ones are closed
    #: immediately.
    connections: int
    #: Maximum number of tasks or names in one call.
    tasks_per_call: int
    #: Concurrent calls of callers; further ones are refused.
    calls_at_once: int
    #: Concurrent calls that wait for answers, limited apart from ``calls_at_once``.
    waits_at_once: int
    #: Concurrent calls and waits with the same key.
    calls_at_once_per_key: int
    waits_at_once_per_key: int
    #: Longest wait for an answer in one call (long polling).
    answer_wait: timedelta
    #: A connection without a complete request for this long is closed, even if parts of
    #: one arrive; time during which a wait is served does not count.
    connection_idle: timedelta
    #: Maximum number of waiting tasks in one shard that this daemon leads.
    waiting_per_shard: int
    #: Deadline of a submit, by which it is answered or refused.
    submit: timedelta
    #: How long a planned stop waits for open requests.
    drain: timedelta


class LogSettings(NamedTuple):
    """Level and rate limit of the log."""

    level: LogLevel
    #: Maximum number of lines per event and second; omitted lines are counted.
    lines_per_event_per_s: int


class Settings(NamedTuple):
    """All settings of one daemon."""

    #: Unique in the cell.
    name: str
    region: str
    #: Failure domain of this daemon.
    domain: str
    listen: ListenSettings
    platform: PlatformSettings
    leases: LeaseSettings
    polls: PollSettings
    limits: LimitSettings
    log: LogSettings
    #: Hexadecimal SHA-256 of each key that may operate the cell.
    operator_key_sha256: frozenset[str]
