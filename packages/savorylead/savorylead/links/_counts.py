"""What a link counts."""

from __future__ import annotations

import enum


class LinkCount(enum.StrEnum):
    """One counter of a link; each value is also a metrics label."""

    CALLS = "calls"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CONNECTED = "connected"
    CONNECT_FAILED = "connect_failed"
    HEARTBEATS = "heartbeats"
    #: A connection was closed because a reply did not come in time.
    SILENT_CLOSED = "silent_closed"
    #: An idle connection was closed because another to the same end was silent.
    SUSPECT_CLOSED = "suspect_closed"
    #: An idle connection beyond the one that heartbeats keep open was closed.
    SPARE_CLOSED = "spare_closed"
    #: Tried again although nothing had been sent, so at no risk.
    RETRIED_NOT_SENT = "retried_not_sent"
    #: An idempotent call was tried again after a silent connection.
    RETRIED_SILENT = "retried_silent"
    #: An idempotent call was tried again after a connection broke.
    RETRIED_BROKEN = "retried_broken"
    #: Not tried again: the budget is used up.
    REFUSED_BUDGET = "refused_budget"
    #: Not tried again: the call may have run and isn't idempotent.
    REFUSED_NOT_IDEMPOTENT = "refused_not_idempotent"
    #: Not tried again: it was tried as often as allowed.
    REFUSED_ATTEMPTS = "refused_attempts"
    #: Not tried again: its deadline would pass before.
    REFUSED_DEADLINE = "refused_deadline"
    #: Not tried again: the link was closed by its owner.
    REFUSED_CLOSED = "refused_closed"
    #: Refused at once: too many calls wait for a connection.
    REFUSED_OVERLOADED = "refused_overloaded"
