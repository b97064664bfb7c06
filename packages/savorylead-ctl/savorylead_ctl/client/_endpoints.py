"""Parsing of endpoints given on the command line or in the environment."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_PORT = 65_535


class Endpoint(NamedTuple):
    """Address at which a daemon serves callers and operators."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


class EndpointError(ValueError):
    """The text is not "HOST:PORT"."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not HOST:PORT")
        self.text = text


def parse_endpoints(texts: Iterable[str]) -> list[Endpoint]:
    """Parse texts of comma-separated endpoints; duplicates are dropped."""
    parts = (part.strip() for text in texts for part in text.split(","))
    endpoints = [_parse(part) for part in parts if part]
    return list(dict.fromkeys(endpoints))


def _parse(text: str) -> Endpoint:
    host, colon, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    plain = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not colon or not host or not plain or not 1 <= int(port) <= MAX_PORT:
        raise EndpointError(text)
    return Endpoint(host.strip("[]"), int(port))
