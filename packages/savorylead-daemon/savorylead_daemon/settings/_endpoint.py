"""Parses network endpoints."""

from __future__ import annotations

import ipaddress

from ._settings import Endpoint

MAX_PORT = 65_535


class EndpointError(ValueError):
    """The text is not a valid endpoint."""

    def __init__(self, text: str, problem: str) -> None:
        super().__init__(f"{text!r}: {problem}")
        self.text = text
        self.problem = problem


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint in the form "IP:port" or "[IPv6]:port"."""
    host, colon, port_text = text.rpartition(":")
    if not colon:
        raise EndpointError(text, f"{text!r} is not IP:port")
    host = _unbracketed(text, host)
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise EndpointError(text, f"{host!r} is not an IP address") from exc
    if not (port_text.isascii() and port_text.isdigit()):
        raise EndpointError(text, f"{port_text!r} is not a port")
    port = int(port_text)
    if port > MAX_PORT:
        raise EndpointError(text, f"port {port} is above {MAX_PORT}")
    return Endpoint(host, port)


def _unbracketed(text: str, host: str) -> str:
    bracketed = host.startswith("[") and host.endswith("]")
    if bracketed:
        return host[1:-1]
    if ":" in host:
        raise EndpointError(text, "an IPv6 address needs brackets")
    return host
