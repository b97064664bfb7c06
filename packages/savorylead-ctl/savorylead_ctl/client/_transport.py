"""HTTP exchanges with an endpoint."""

from __future__ import annotations

import http.client
from abc import ABC, abstractmethod
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from ._endpoints import Endpoint


class Reply(NamedTuple):
    """Status and body of a complete response."""

    status: int
    body: bytes


class NotSentError(Exception):
    """The connection could not be established, so the request was not sent."""


class NoReplyError(Exception):
    """The request was sent at least in part, but no complete reply was received."""


class Transport(ABC):
    """Sends requests, each at most once."""

    @abstractmethod
    def exchange(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline: timedelta,
    ) -> Reply:
        """Return the reply; raises NotSentError or NoReplyError.

        ``deadline`` limits the connection set-up and then each wait for data.
        """


class HttpTransport(Transport):
    """Transport that opens a new connection for each exchange."""

    def __init__(self, connect_deadline: timedelta) -> None:
        self._connect_deadline = connect_deadline

    def exchange(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline: timedelta,
    ) -> Reply:
        """Return the reply; raises NotSentError or NoReplyError."""
        connect_s = min(self._connect_deadline, deadline).total_seconds()
        conn = http.client.HTTPConnection(
            endpoint.host, endpoint.port, timeout=connect_s
        )
        try:
            conn.connect()
        except OSError as exc:
            raise NotSentError(_describe(exc)) from exc
        try:
            conn.sock.settimeout(deadline.total_seconds())
            conn.request(method, path, body, dict(headers))
            response = conn.getresponse()
            return Reply(response.status, response.read())
        except (OSError, http.client.HTTPException) as exc:
            raise NoReplyError(_describe(exc)) from exc
        finally:
            conn.close()


def _describe(exc: Exception) -> str:
    text = str(exc)
    return f"{type(exc).__name__}: {text}" if text else type(exc).__name__
