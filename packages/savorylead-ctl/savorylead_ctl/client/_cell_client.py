"""Calls to the cell with failover and detection of unknown outcomes."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec

from savorylead.config import CellDocument

from ._endpoints import Endpoint
from ._errors import ChangeUnknownError, RefusedCallError, UnreachableError
from ._transport import NoReplyError, NotSentError, Reply, Transport

#: Error codes after which another endpoint is tried.
_FAILOVER_CODES = frozenset(
    {
        "overloaded",
        "shutting_down",
        "config_stale",
        "no_lead",
        "damaged_answer",
        "cancelled",
    }
)
#: Error codes after which it is unknown whether the call took effect.
UNCERTAIN_CODES = frozenset(
    {"unknown", "change_unknown", "cancelled", "internal", "damaged_answer"}
)
_CONFIG_PATH = "/v1/operators/config"


class ConfigAtRevision(NamedTuple):
    """A configuration and its revision."""

    document: CellDocument
    revision: int


@dataclass(frozen=True)
class Applied:
    """The change was accepted."""

    revision: int


@dataclass(frozen=True)
class ApplyConflict:
    """The expected revision was no longer current; nothing was changed."""

    current: ConfigAtRevision


class CellClient:
    """Calls the cell through its endpoints, in an order that is shuffled once.

    An endpoint that can't be connected to is skipped. Once sent, a call is retried at
    another endpoint only if it is idempotent.
    """

    def __init__(
        self,
        endpoints: Sequence[Endpoint],
        key: str,
        transport: Transport,
        deadline: timedelta,
        rng: random.Random,
    ) -> None:
        self._endpoints = list(endpoints)
        rng.shuffle(self._endpoints)
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }
        self._transport = transport
        self._deadline = deadline

    def get(self, path: str, **parameters: Any) -> Any:
        """Return the document at a path; empty parameters are omitted."""
        given = {name: value for name, value in parameters.items() if value != ""}
        query = f"?{urlencode(given)}" if given else ""
        return self._read("GET", path + query, b"", self._deadline)

    def query(self, path: str, content: Any, wait: timedelta = timedelta(0)) -> Any:
        """Return the response to a read by POST; ``wait`` extends the deadline."""
        body = msgspec.json.encode(content)
        return self._read("POST", path, body, self._deadline + wait)

    def change(self, path: str, content: Any) -> Any:
        """Return the response to a change that carries request ids.

        The request ids make it idempotent, so it is retried at another endpoint if no
        reply is received. Raises ChangeUnknownError if its outcome remains unknown.
        """
        body = msgspec.json.encode(content)
        maybe_executed: list[str] = []
        try:
            return self._send_with_failover(
                "POST", path, body, self._deadline, maybe_executed
            )
        except (RefusedCallError, UnreachableError) as exc:
            if not maybe_executed:
                raise
            # An earlier attempt may have taken effect, however the last one ended.
            raise ChangeUnknownError(
                f"no definite reply from {', '.join(maybe_executed)}; {exc}"
            ) from exc

    def read_config(self) -> ConfigAtRevision:
        """Return the newest configuration."""
        document = self.get(_CONFIG_PATH)
        return ConfigAtRevision(document["document"], document["revision"])

    def apply_config(
        self, document: CellDocument, expected_revision: int
    ) -> Applied | ApplyConflict:
        """Replace the configuration; a call that was sent is never retried.

        Raises ChangeUnknownError if the call was sent and its outcome is unknown.
        """
        content = {"document": document, "expected_revision": expected_revision}
        try:
            answer = self._send_once("POST", _CONFIG_PATH, msgspec.json.encode(content))
        except RefusedCallError as exc:
            if exc.code == "config_conflict":
                current = ConfigAtRevision(
                    exc.document["document"], exc.document["revision"]
                )
                return ApplyConflict(current)
            if exc.code in UNCERTAIN_CODES:
                raise ChangeUnknownError(str(exc)) from exc
            raise
        return Applied(answer["revision"])

    def _read(self, method: str, path: str, body: bytes, deadline: timedelta) -> Any:
        return self._send_with_failover(method, path, body, deadline, [])

    def _send_with_failover(
        self,
        method: str,
        path: str,
        body: bytes,
        deadline: timedelta,
        maybe_executed: list[str],
    ) -> Any:
        """Try the endpoints until one gives a definite reply.

        Endpoints that may have executed the call without a definite reply are added to
        ``maybe_executed``.
        """
        reasons: dict[str, str] = {}
        refused: RefusedCallError | None = None
        for endpoint in self._endpoints:
            try:
                return self._exchange(endpoint, method, path, body, deadline)
            except NotSentError as exc:
                reasons[str(endpoint)] = str(exc)
            except NoReplyError as exc:
                reasons[str(endpoint)] = str(exc)
                maybe_executed.append(str(endpoint))
            except RefusedCallError as exc:
                if exc.code in UNCERTAIN_CODES:
                    maybe_executed.append(str(endpoint))
                if exc.code not in _FAILOVER_CODES:
                    raise
                refused = exc
        if refused is not None:
            raise refused
        raise UnreachableError(reasons)

    def _send_once(self, method: str, path: str, body: bytes) -> Any:
        """Send the call to the first endpoint that accepts a connection."""
        reasons: dict[str, str] = {}
        for endpoint in self._endpoints:
            try:
                return self._exchange(endpoint, method, path, body, self._deadline)
            except NotSentError as exc:
                reasons[str(endpoint)] = str(exc)
            except NoReplyError as exc:
                raise ChangeUnknownError(f"{endpoint}: {exc}") from exc
        raise UnreachableError(reasons)

    def _exchange(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        body: bytes,
        deadline: timedelta,
    ) -> Any:
        reply = self._transport.exchange(
            endpoint, method, path, self._headers, body, deadline
        )
        document = _decode(reply)
        if reply.status == 200:
            return document
        raise RefusedCallError(reply.status, document)


def _decode(reply: Reply) -> Mapping[str, Any]:
    """Decode the body as a JSON object; any other body is not from the cell."""
    try:
        document = msgspec.json.decode(reply.body)
    except msgspec.DecodeError as exc:
        raise NoReplyError(f"status {reply.status}, body is not JSON") from exc
    if not isinstance(document, dict):
        raise NoReplyError(f"status {reply.status}, body is not a JSON object")
    return document
