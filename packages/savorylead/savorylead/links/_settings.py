"""How a link behaves."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple


class LinkSettings(NamedTuple):
    """Limits and rates of one link."""

    #: Longest wait for a new connection.
    connect_timeout: timedelta = timedelta(seconds=1)
    #: Longest wait for the reply to the first attempt of an idempotent call; each
    #: further attempt waits twice as long. A call that may not be repeated waits
    #: until its own deadline.
    attempt_timeout: timedelta = timedelta(seconds=1)
    #: Attempts of one call, the first included.
    max_attempts: int = 3
    #: Connections open or being opened.
    max_connections: int = 4
    #: Calls that wait for a connection.
    max_waiting: int = 256
    #: A connection on which nothing was heard for this long is probed.
    heartbeat_interval: timedelta = timedelta(seconds=10)
    #: Longest wait for the reply to a probe.
    heartbeat_timeout: timedelta = timedelta(seconds=1)
    #: Shortest delay between tries.
    backoff_base: timedelta = timedelta(milliseconds=50)
    #: Longest delay between tries.
    backoff_cap: timedelta = timedelta(seconds=1)
