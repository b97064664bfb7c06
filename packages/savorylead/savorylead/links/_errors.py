"""Errors of calls over a link."""

from __future__ import annotations


class LinkError(Exception):
    """Base class of link errors."""

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        #: False only if the server is known to have received nothing of the call.
        self.sent = sent


class LinkTimeoutError(LinkError):
    """The reply timed out; if the call was sent, it may still take effect."""


class LinkBrokenError(LinkError):
    """The connection broke before the complete reply was received."""


class LinkUnavailableError(LinkError):
    """No connection could be opened, so nothing was sent."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=False)


class LinkOverloadedError(LinkError):
    """Too many calls wait for a connection, so nothing was sent."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=False)


class LinkClosedError(LinkError):
    """The link was closed by its owner."""
