"""The service interface for operators, independent of HTTP."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import NamedTuple

from savorylead.config import CellDocument
from savorylead.resources import Resources

from ._callers import TaskPage


class ConfigView(NamedTuple):
    """A configuration and its revision."""

    document: CellDocument
    revision: int


@dataclass(frozen=True)
class ConfigApplied:
    """The change was accepted and takes effect at all daemons within seconds."""

    revision: int


@dataclass(frozen=True)
class ConfigConflict:
    """Another change was applied first; nothing was written."""

    revision: int
    document: CellDocument


class ConfigFault(NamedTuple):
    """One fault of a configuration document."""

    #: JSON path of the field, such as "$.teams.dispatch.share".
    path: str
    message: str


@dataclass(frozen=True)
class ConfigRejected:
    """The document is not valid; nothing was written."""

    faults: tuple[ConfigFault, ...]


class MemberView(NamedTuple):
    """One daemon of the cell."""

    name: str
    region: str
    domain: str
    endpoint: str
    #: Revision in force there; -1 if it did not answer.
    revision: int


class WorkerView(NamedTuple):
    """One worker, as operators see it."""

    name: str
    shard: str
    rack: str
    #: A value of savorylead.workers.WorkerState.
    state: str
    capacity: Resources
    held: Resources
    running: int


class ShardView(NamedTuple):
    """One shard, as operators see it."""

    name: str
    region: str
    domain: str
    #: Name of the daemon that leads the shard; empty if none does.
    lead: str
    epoch: int
    workers: int
    running: int
    waiting: int


class TeamView(NamedTuple):
    """One team's share, limit and usage of the cell."""

    name: str
    share: float
    limit: Resources
    #: Maximum amount that all shards together may hold at present.
    granted: Resources
    held: Resources
    keys: int


class OperatorService(ABC):
    """Reads and changes the cell. ``key`` is the text of an operator's key.

    Every method may raise RefusedError or savorylead.store.StoreError.
    """

    @abstractmethod
    async def read_config(self, key: str) -> ConfigView:
        """Return the newest configuration in the store."""

    @abstractmethod
    async def apply_config(
        self, key: str, document: CellDocument, expected_revision: int
    ) -> ConfigApplied | ConfigConflict | ConfigRejected:
        """Replace the configuration if its revision equals the expected one."""

    @abstractmethod
    async def members(self, key: str) -> list[MemberView]:
        """Return every daemon and the revision in force there."""

    @abstractmethod
    async def shards(self, key: str) -> list[ShardView]:
        """Return every shard and its lead."""

    @abstractmethod
    async def workers(self, key: str, shard: str) -> list[WorkerView]:
        """Return the workers of a shard, or of all if ``shard`` is empty."""

    @abstractmethod
    async def teams(self, key: str) -> list[TeamView]:
        """Return every team's share, limit, grants and usage."""

    @abstractmethod
    async def tasks(
        self, key: str, team: str, phase: str, limit: int, after: str
    ) -> TaskPage:
        """Return one page of the tasks of a team, or of all if ``team`` is empty."""
