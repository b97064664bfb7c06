"""Settings of links."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple


class LinkSettings(NamedTuple):
    """Timeouts and limits of one link."""

    #: Timeout for opening a connection.
    connect_timeout: timedelta = timedelta(seconds=1)
    #: Timeout of the first attempt of an idempotent call; it doubles with each further
    #: attempt. A call that is not idempotent waits until its own deadline.
    attempt_timeout: timedelta = timedelta(seconds=1)
    #: Maximum attempts per call, including the first.
    max_attempts: int = 3
    #: Maximum number of connections that are open or being opened.
    max_connections: int = 4
    #: Maximum number of calls that wait for a connection.
    max_waiting: int = 256
    #: Time without a reply after which a connection is probed.
    heartbeat_interval: timedelta = timedelta(seconds=10)
    #: Timeout of a probe.
    heartbeat_timeout: timedelta = timedelta(seconds=1)
    #: Minimum delay between attempts.
    backoff_base: timedelta = timedelta(milliseconds=50)
    #: Maximum delay between attempts.
    backoff_cap: timedelta = timedelta(seconds=1)
