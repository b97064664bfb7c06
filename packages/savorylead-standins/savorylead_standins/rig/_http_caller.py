"""A caller that reaches the cell over HTTP, through whichever daemon answers."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta
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
#: A daemon that failed gets no call for this long.
AVOID_FOR = timedelta(seconds=5)
#: Status of a call that no daemon answered.
NO_ANSWER = 0
NOT_READY = 503
#: The caller repeats a call at another daemon, so the link tries once.
_LINK = LinkSettings(max_attempts=1, max_connections=32, max_waiting=512)
_RETRIED_STATUSES = frozenset({429, 500, 502, 503, 504})


class CallFailedError(Exception):
    """A call was refused, or no daemon answered it in time."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"{status} {detail}")
        #: HTTP status, or NO_ANSWER.
        self.status = status
        self.detail = detail


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
        #: Until when a daemon that failed is passed over.
        self._avoided: dict[str, datetime] = {}

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        wait: timedelta = timedelta(0),
        give_up_after: timedelta = timedelta(seconds=30),
    ) -> Any:
        """Return the JSON answer; raises CallFailedError."""
        reply = await self._call(method, path, content, wait, give_up_after)
        return msgspec.json.decode(reply.body)

    async def call_text(self, method: str, path: str) -> str:
        """Return an answer that is text; raises CallFailedError."""
        reply = await self._call(method, path, None, timedelta(0), CALL_TIMEOUT)
        return reply.body.decode()

    async def _call(
        self,
        method: str,
        path: str,
        content: Any,
        wait: timedelta,
        give_up_after: timedelta,
    ) -> LinkReply:
        body = b"" if content is None else msgspec.json.encode(content)
        request = LinkRequest(method, path, body)
        give_up_at = self._clock.now() + give_up_after
        while True:
            name = self._choose()
            failure = await self._try(name, request, wait)
            if isinstance(failure, LinkError) or failure.status == NOT_READY:
                self._avoided[name] = self._clock.now() + AVOID_FOR
            if isinstance(failure, LinkReply):
                if failure.status == 200:
                    return failure
                if failure.status not in _RETRIED_STATUSES:
                    raise _give_up(failure)
            if self._clock.now() >= give_up_at:
                raise _give_up(failure)
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

    def _choose(self) -> str:
        """Return a daemon as a balancer would: one that has not failed of late."""
        now = self._clock.now()
        names = sorted(self._endpoints)
        good = [name for name in names if self._avoided.get(name, now) <= now]
        return self._rng.choice(good or names)

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


def _give_up(failure: LinkReply | LinkError) -> CallFailedError:
    if isinstance(failure, LinkError):
        return CallFailedError(NO_ANSWER, f"{type(failure).__name__}: {failure}")
    return CallFailedError(failure.status, failure.body.decode(errors="replace"))
