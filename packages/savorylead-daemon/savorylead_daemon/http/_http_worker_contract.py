"""The platform's workers over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar

import msgspec

from savorylead.contracts import TaskId
from savorylead.links import Link, LinkError, LinkRequest, LinkTimeoutError
from savorylead.resources import Resources
from savorylead.workers import (
    Declined,
    Inventory,
    RunReport,
    StaleEpoch,
    StartAccepted,
    StartOrder,
    StartRefused,
    Worker,
    WorkerContract,
    WorkerError,
    WorkerTimeoutError,
    WorkerUnavailableError,
    WrongIncarnation,
)

from .worker_wire import (
    AttemptsBody,
    InventoryReply,
    ReleasedReply,
    RenewBody,
    ReportsReply,
    StaleEpochReply,
    StartBody,
    StartsReply,
    ThrottleBody,
    WrongIncarnationReply,
)

T = TypeVar("T")

_OK = 200
_ONE_MILLISECOND = timedelta(milliseconds=1)


class WorkerTimeouts(NamedTuple):
    """Timeouts of calls to workers."""

    renew: timedelta = timedelta(seconds=2)
    command: timedelta = timedelta(seconds=2)


class HttpWorkerContract(WorkerContract):
    """Sends commands to workers, over one link to each.

    The contract makes every command idempotent (equal start orders start once),
    so the link may retry any of them.
    """

    def __init__(
        self,
        open_link: Callable[[str], Link],
        timeouts: WorkerTimeouts = WorkerTimeouts(),  # noqa: B008 - immutable.
    ) -> None:
        """Create the client; ``open_link`` returns a new link to an endpoint."""
        self._open_link = open_link
        self._timeouts = timeouts
        self._links: dict[str, Link] = {}

    async def renew(
        self, worker: Worker, epoch: int, lease: timedelta
    ) -> Inventory | StaleEpoch:
        """Renew the leases of all running attempts and return the inventory."""
        body = RenewBody(epoch, lease // _ONE_MILLISECOND)
        reply = await self._call(
            worker, "renew", body, InventoryReply | StaleEpochReply
        )
        if isinstance(reply, StaleEpochReply):
            return StaleEpoch(reply.seen_epoch)
        return reply.inventory

    async def start(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        orders: Sequence[StartOrder],
    ) -> list[StartAccepted | StartRefused] | Declined:
        """Start attempts; return one result per order. Equal orders are idempotent."""
        body = StartBody(epoch, incarnation, tuple(orders))
        reply = await self._command(worker, "start", body, StartsReply)
        if isinstance(reply, StartsReply):
            return [result.to_result() for result in reply.results]
        return reply

    async def stop(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> list[RunReport] | Declined:
        """Stop attempts permanently; return one report per attempt."""
        body = AttemptsBody(epoch, incarnation, tuple(attempts))
        return _reports(await self._command(worker, "stop", body, ReportsReply))

    async def checkpoint(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> list[RunReport] | Declined:
        """Save the progress of attempts and stop them, as ``stop`` does."""
        body = AttemptsBody(epoch, incarnation, tuple(attempts))
        return _reports(await self._command(worker, "checkpoint", body, ReportsReply))

    async def throttle(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        caps: Sequence[tuple[TaskId, int, Resources]],
    ) -> list[RunReport] | Declined:
        """Limit the resources of running attempts; unknown ones are left out."""
        body = ThrottleBody(epoch, incarnation, tuple(caps))
        return _reports(await self._command(worker, "throttle", body, ReportsReply))

    async def release(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> None | Declined:
        """Delete the reports of ended attempts, which can't be started again."""
        body = AttemptsBody(epoch, incarnation, tuple(attempts))
        reply = await self._command(worker, "release", body, ReleasedReply)
        if isinstance(reply, ReleasedReply):
            return None
        return reply

    def keep_only(self, endpoints: frozenset[str]) -> None:
        """Close the links to all other endpoints."""
        for endpoint in self._links.keys() - endpoints:
            self._links.pop(endpoint).close()

    def close(self) -> None:
        """Close every link; pending calls fail."""
        self.keep_only(frozenset())

    async def _command(
        self, worker: Worker, name: str, body: Any, kind: type[T]
    ) -> T | Declined:
        reply = await self._call(
            worker, name, body, kind | StaleEpochReply | WrongIncarnationReply
        )
        if isinstance(reply, StaleEpochReply):
            return StaleEpoch(reply.seen_epoch)
        if isinstance(reply, WrongIncarnationReply):
            return WrongIncarnation(reply.incarnation)
        return reply

    async def _call(self, worker: Worker, name: str, body: Any, kind: Any) -> Any:
        timeouts = self._timeouts
        timeout = timeouts.renew if name == "renew" else timeouts.command
        request = LinkRequest(
            "POST", f"/{name}", msgspec.json.encode(body), idempotent=True
        )
        try:
            reply = await self._link_to(worker.endpoint).call(request, timeout)
        except LinkTimeoutError as exc:
            raise WorkerTimeoutError(worker.name) from exc
        except LinkError as exc:
            raise WorkerUnavailableError(worker.name) from exc
        if reply.status != _OK:
            raise WorkerUnavailableError(f"{worker.name}: status {reply.status}")
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.DecodeError as exc:
            raise WorkerError(
                f"{worker.name}: the reply has an unexpected format"
            ) from exc

    def _link_to(self, endpoint: str) -> Link:
        link = self._links.get(endpoint)
        if link is None:
            link = self._links[endpoint] = self._open_link(endpoint)
        return link


def _reports(reply: ReportsReply | Declined) -> list[RunReport] | Declined:
    if isinstance(reply, ReportsReply):
        return list(reply.reports)
    return reply
