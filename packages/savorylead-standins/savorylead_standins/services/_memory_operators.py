"""An operator service over one configuration in memory."""

from __future__ import annotations

from savorylead.config import CellDocument
from savorylead.outcomes import Refusal
from savorylead.resources import Resources
from savorylead.store import StoreError
from savorylead_daemon.services import (
    ConfigApplied,
    ConfigConflict,
    ConfigFault,
    ConfigRejected,
    ConfigView,
    MemberView,
    OperatorService,
    RefusedError,
    ShardView,
    TaskPage,
    TeamView,
    WorkerView,
)

from ._memory_callers import MemoryCallerService


class MemoryOperatorService(OperatorService):
    """Keeps one configuration and shows the tasks of a caller service."""

    def __init__(
        self, key: str, document: CellDocument, callers: MemoryCallerService
    ) -> None:
        self._key = key
        self._callers = callers
        self.document = document
        self.revision = 7
        #: Revision that the second daemon has in force; -1 for no answer.
        self.lagging_revision = 7
        #: Raised by every call before it does anything, while set.
        self.store_error: StoreError | None = None
        #: Raised by the next change after it took effect, and dropped.
        self.lost_reply: StoreError | None = None
        self.worker_views: list[WorkerView] = []
        self.applied: list[CellDocument] = []

    async def read_config(self, key: str) -> ConfigView:
        """Return the configuration."""
        self._check(key)
        return ConfigView(self.document, self.revision)

    async def apply_config(
        self, key: str, document: CellDocument, expected_revision: int
    ) -> ConfigApplied | ConfigConflict | ConfigRejected:
        """Replace the configuration."""
        self._check(key)
        if document.get("preset") not in document.get("presets", {}):
            return ConfigRejected((ConfigFault("$.preset", "no such preset"),))
        if expected_revision != self.revision:
            return ConfigConflict(self.revision, self.document)
        self.put(document)
        if self.lost_reply is not None:
            error, self.lost_reply = self.lost_reply, None
            raise error
        return ConfigApplied(self.revision)

    def put(self, document: CellDocument) -> None:
        """Replace the configuration as another operator would."""
        self.document = document
        self.revision += 1
        self.applied.append(document)

    async def members(self, key: str) -> list[MemberView]:
        """Return two daemons, of which the second may lag."""
        self._check(key)
        return [
            MemberView("entry-1", "monteverde", "mv-1", "127.0.0.1:1", self.revision),
            MemberView(
                "entry-2", "monteverde", "mv-2", "127.0.0.1:2", self.lagging_revision
            ),
        ]

    async def shards(self, key: str) -> list[ShardView]:
        """Return every shard of the configuration, the first with a lead."""
        self._check(key)
        views = []
        lead = "entry-1"
        for name, shard in sorted(self.document["shards"].items()):
            views.append(
                ShardView(name, shard["region"], shard["domain"], lead, 3, 9, 4, 2)
            )
            lead = ""
        return views

    async def workers(self, key: str, shard: str) -> list[WorkerView]:
        """Return workers."""
        self._check(key)
        return [view for view in self.worker_views if shard in ("", view.shard)]

    async def teams(self, key: str) -> list[TeamView]:
        """Return the configuration's teams, each holding 1.5 cores."""
        self._check(key)
        held = Resources(cores_milli=1_500)
        return [
            TeamView(
                name,
                team["share"],
                Resources(cores_milli=int(team["limit"].get("cores", 0) * 1_000)),
                held,
                held,
                len(team["keys"]),
            )
            for name, team in sorted(self.document["teams"].items())
        ]

    async def tasks(
        self, key: str, team: str, phase: str, limit: int, after: str
    ) -> TaskPage:
        """Return the caller service's tasks."""
        self._check(key)
        return self._callers.page(team, "", phase, limit, after)

    def _check(self, key: str) -> None:
        if self.store_error is not None:
            raise self.store_error
        if key != self._key:
            raise RefusedError(Refusal.UNKNOWN_KEY)
