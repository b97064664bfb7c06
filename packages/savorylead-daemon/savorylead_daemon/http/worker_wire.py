"""Bodies and replies of the workers' HTTP interface.

NamedTuples are encoded as JSON arrays of their fields in order; a reply is one of
several types, so its array begins with a tag.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from savorylead.contracts import TaskId
from savorylead.resources import Resources
from savorylead.workers import (
    Inventory,
    RunReport,
    StartAccepted,
    StartOrder,
    StartRefused,
)


class RenewBody(NamedTuple):
    """Body of POST /renew."""

    epoch: int
    lease_ms: int


class StartBody(NamedTuple):
    """Body of POST /start."""

    epoch: int
    incarnation: str
    orders: tuple[StartOrder, ...]


class AttemptsBody(NamedTuple):
    """Body of POST /stop, /checkpoint and /release."""

    epoch: int
    incarnation: str
    attempts: tuple[tuple[TaskId, int], ...]


class ThrottleBody(NamedTuple):
    """Body of POST /throttle."""

    epoch: int
    incarnation: str
    caps: tuple[tuple[TaskId, int, Resources], ...]


class StartResult(NamedTuple):
    """The result of one start order."""

    task: TaskId
    #: Why the attempt did not start; None if it runs.
    refused: str | None

    @classmethod
    def of(cls, result: StartAccepted | StartRefused) -> StartResult:
        """Return the wire form."""
        if isinstance(result, StartRefused):
            return cls(result.task, result.reason)
        return cls(result.task, None)

    def to_result(self) -> StartAccepted | StartRefused:
        """Return the contract's form."""
        if self.refused is None:
            return StartAccepted(self.task)
        return StartRefused(self.task, self.refused)


class InventoryReply(msgspec.Struct, tag="inventory", array_like=True, frozen=True):
    """Every attempt of the worker."""

    inventory: Inventory


class StartsReply(msgspec.Struct, tag="starts", array_like=True, frozen=True):
    """One result per start order."""

    results: tuple[StartResult, ...]


class ReportsReply(msgspec.Struct, tag="reports", array_like=True, frozen=True):
    """Reports of attempts."""

    reports: tuple[RunReport, ...]


class ReleasedReply(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """The reports of the ended attempts are deleted."""


class StaleEpochReply(msgspec.Struct, tag="stale_epoch", array_like=True, frozen=True):
    """The command had no effect: the worker has seen a higher epoch."""

    seen_epoch: int


class WrongIncarnationReply(
    msgspec.Struct, tag="wrong_incarnation", array_like=True, frozen=True
):
    """The command had no effect: the VM has restarted."""

    incarnation: str


#: The command had no effect.
DeclinedReply = StaleEpochReply | WrongIncarnationReply
