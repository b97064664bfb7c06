"""Event counters of links."""

from __future__ import annotations

import enum


class LinkCount(enum.StrEnum):
    """A counter of link events; each value is also a metrics label."""

    CALLS = "calls"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CONNECTED = "connected"
    CONNECT_FAILED = "connect_failed"
    HEARTBEATS = "heartbeats"
    #: A connection was closed after a reply timed out.
    SILENT_CLOSED = "silent_closed"
    #: An idle connection was closed because another one to the same server timed out.
    SUSPECT_CLOSED = "suspect_closed"
    #: An idle connection was closed, since heartbeats keep only one open.
    SPARE_CLOSED = "spare_closed"
    #: A call was retried that had not been sent, which is always safe.
    RETRIED_NOT_SENT = "retried_not_sent"
    #: An idempotent call was retried after its reply timed out.
    RETRIED_SILENT = "retried_silent"
    #: An idempotent call was retried after its connection broke.
    RETRIED_BROKEN = "retried_broken"
    #: Not retried: the retry budget is exhausted.
    REFUSED_BUDGET = "refused_budget"
    #: Not retried: the call may have run and is not idempotent.
    REFUSED_NOT_IDEMPOTENT = "refused_not_idempotent"
    #: Not retried: the maximum number of attempts was reached.
    REFUSED_ATTEMPTS = "refused_attempts"
    #: Not retried: the deadline would pass before the next attempt.
    REFUSED_DEADLINE = "refused_deadline"
    #: Not retried: the link was closed by its owner.
    REFUSED_CLOSED = "refused_closed"
    #: Refused immediately: too many calls wait for a connection.
    REFUSED_OVERLOADED = "refused_overloaded"
