"""Counts bytes of HTTP, without those of TCP below it."""

from __future__ import annotations

from twisted.web.http_headers import Headers


class Traffic:
    """Bytes transferred on the links of one kind, or at one site."""

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        self.received = 0
        self.sent = 0


def header_bytes(headers: Headers) -> int:
    """Return the size of headers, without the empty line after them."""
    return sum(
        len(name) + len(value) + len(b": \r\n")
        for name, values in headers.getAllRawHeaders()
        for value in values
    )
