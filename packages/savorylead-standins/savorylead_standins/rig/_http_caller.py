"""A caller that reaches the cell over HTTP, through whichever daemon answers."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Any

import msgspec
from twisted.internet.interfaces import IReactorTCP

from savorylead.clock import Clock
from savorylead.links import Link, LinkError, LinkReply, LinkRequest, LinkSettings
from savorylead_daemon.http import HttpLinks

#: Pause before the same call is made at another daemon.
RETRY_DELAY = timedelta(milliseconds=200)
#: Longest time that one call to one daemon may take, besides a wait.
CALL_TIMEOUT = timedelta(seconds=15)
_LINK = LinkSettings(max_connections=32, max_waiting=512)
_RETRIED_STATUSES = frozenset({429, 500, 502, 503, 504})


class CallFailedError(Exception):
    """A call was refused, or no daemon answered it in time."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"{status} {body[:300].decode(errors='replace')}")
        self.status = status
        self.body = body


class HttpCaller:
    """Calls with one key; a call that fails is made again at the next daemon.

    Every call of the interface is idempotent by its request ids.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        clock: Clock,
        rng: random.Random,
        key: str,
        endpoints: Mapping[str, str],
    ) -> None:
        """Take ``endpoints``, the "IP:port" of each daemon by its name."""
        self._clock = clock
        self._rng = rng
        self._endpoints = dict(endpoints)
        headers = {"authorization": f"Bearer {key}"}
        self._links = HttpLinks(reactor, clock, rng, headers, _LINK)
        self._open: dict[str, Link] = {}

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        wait: timedelta = timedelta(0),
        give_up_after: timedelta = timedelta(seconds=30),
    ) -> Any:
        """Return the JSON answer; raises CallFailedError."""
        body = b"" if content is None else msgspec.json.encode(content)
        request = LinkRequest(method, path, body)
        give_up_at = self._clock.now() + give_up_after
        while True:
            name = self._rng.choice(sorted(self._endpoints))
            failure = await self._try(name, request, wait)
            if isinstance(failure, LinkReply):
                if failure.status == 200:
                    return msgspec.json.decode(failure.body)
                if failure.status not in _RETRIED_STATUSES:
                    raise CallFailedError(failure.status, failure.body)
            if self._clock.now() >= give_up_at:
                status = getattr(failure, "status", 0)
                raise CallFailedError(status, getattr(failure, "body", b""))
            await self._clock.sleep(RETRY_DELAY)

    async def submit(self, tasks: Sequence[Mapping[str, Any]]) -> list[Any]:
        """Submit tasks; one reply per task."""
        answer = await self.call("POST", "/v1/tasks", list(tasks))
        return answer["replies"]

    async def answers(
        self, workspace: str, requests: Sequence[str], wait: timedelta
    ) -> list[Any]:
        """Return tasks, waiting until one of them has its outcome."""
        names = [{"workspace": workspace, "request": name} for name in requests]
        content = {"requests": names, "wait_s": wait.total_seconds()}
        answer = await self.call("POST", "/v1/answers", content, wait)
        return answer["tasks"]

    async def cancel(self, workspace: str, requests: Sequence[str]) -> list[Any]:
        """Cancel tasks."""
        names = [{"workspace": workspace, "request": name} for name in requests]
        answer = await self.call("POST", "/v1/cancel", {"requests": names})
        return answer["tasks"]

    def close(self) -> None:
        """Close every connection."""
        for link in self._open.values():
            link.close()

    async def _try(
        self, name: str, request: LinkRequest, wait: timedelta
    ) -> LinkReply | LinkError:
        try:
            return await self._link(name).call(request, wait + CALL_TIMEOUT)
        except LinkError as exc:
            return exc

    def _link(self, name: str) -> Link:
        if name not in self._open:
            self._open[name] = self._links.open(self._endpoints[name])
        return self._open[name]
