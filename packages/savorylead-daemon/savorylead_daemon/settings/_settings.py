"""The settings of one daemon as typed, frozen values."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import NamedTuple


class Endpoint(NamedTuple):
    """An address and a TCP port."""

    #: An IPv4 or IPv6 number; names are not resolved.
    host: str
    #: 0 lets the machine choose, which only listening endpoints may do.
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


class LogLevel(enum.StrEnum):
    """The least severe lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class ListenSettings(NamedTuple):
    """Where the daemon answers."""

    #: Callers, operators, the balancer's probes and /metrics.
    callers: Endpoint
    #: Other daemons of the cell.
    peers: Endpoint
    #: Where other daemons reach ``peers``.
    advertised_peers: Endpoint


class PlatformSettings(NamedTuple):
    """Where the platform answers."""

    store: Endpoint
    vm_list: Endpoint


class LeaseSettings(NamedTuple):
    """How long promises last without being renewed."""

    #: Lease of this daemon in the store; its shards are taken over afterwards.
    member: timedelta
    member_renew_every: timedelta
    #: Lease of a running task on its worker.
    worker: timedelta
    worker_renew_every: timedelta
    #: Most by which two clocks differ over one lease.
    drift_bound: timedelta
    #: How long a lead renews its workers' leases after the last proof that it leads.
    #: A later lead waits as long before it takes these leases for lapsed.
    epoch_grace: timedelta


class PollSettings(NamedTuple):
    """How often what may go silent is read again."""

    config: timedelta
    members: timedelta
    vm_list: timedelta
    #: Usage digests to the other daemons.
    digests: timedelta


class LimitSettings(NamedTuple):
    """Bounds on what one daemon takes in."""

    #: Largest request body.
    body_bytes: int
    #: Most bytes of bodies over all requests that are not yet answered.
    buffered_bytes: int
    #: Most connections of callers and operators; one more is closed at once.
    connections: int
    #: Most tasks or names in one call.
    tasks_per_call: int
    #: Calls of callers that are served at once; others are refused.
    calls_at_once: int
    #: Calls that wait for answers at once, apart from ``calls_at_once``.
    waits_at_once: int
    #: Of the calls and waits, those with the same key.
    calls_at_once_per_key: int
    waits_at_once_per_key: int
    #: Longest wait for an answer in one call.
    answer_wait: timedelta
    #: A connection that brings no whole request for this long is closed, also if
    #: parts of one arrive; a wait that is being served does not count.
    connection_idle: timedelta
    #: Tasks that one shard led here may keep waiting.
    waiting_per_shard: int
    #: Deadline of a submit, after which it is answered or refused.
    submit: timedelta
    #: How long a planned stop waits for open requests.
    drain: timedelta


class LogSettings(NamedTuple):
    """What is logged."""

    level: LogLevel
    #: Most lines a second of one event; what is left out is counted.
    lines_per_event_per_s: int


class Settings(NamedTuple):
    """Everything that one daemon is told before it starts."""

    #: Unique in the cell.
    name: str
    region: str
    #: Failure domain that this daemon stands in.
    domain: str
    listen: ListenSettings
    platform: PlatformSettings
    leases: LeaseSettings
    polls: PollSettings
    limits: LimitSettings
    log: LogSettings
    #: Hex SHA-256 of each key that may operate the cell.
    operator_key_sha256: frozenset[str]
