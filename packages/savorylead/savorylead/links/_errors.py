"""How a call over a link can fail."""

from __future__ import annotations


class LinkError(Exception):
    """Base of the failures of a link."""

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        #: False only if it is sure that the other end saw nothing of the call.
        self.sent = sent


class LinkTimeoutError(LinkError):
    """No reply came in time; if it was sent, the call may still take effect."""


class LinkBrokenError(LinkError):
    """The connection broke before the whole reply had come."""


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
