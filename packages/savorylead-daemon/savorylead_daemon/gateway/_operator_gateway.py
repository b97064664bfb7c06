"""Serves operators from the state that daemons exchange."""

from __future__ import annotations

from datetime import timedelta

from savorylead.clock import Clock
from savorylead.config import CellDocument
from savorylead.contracts import limit_from_amounts
from savorylead.outcomes import Refusal
from savorylead.resources import ZERO, Resources
from savorylead_daemon.cell import ConfigAdmin, NoLeadError, ShardDirectory, ShardRouter
from savorylead_daemon.concurrency import gather
from savorylead_daemon.peers import (
    DigestAnswer,
    DigestMessage,
    PeerClient,
    PeerCodecError,
    PeerError,
    TasksMessage,
    WorkersAnswer,
    WorkersMessage,
)
from savorylead_daemon.services import (
    ConfigApplied,
    ConfigConflict,
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

from ._caller_gateway import list_all

#: For the answers of the leads to an operator's request.
LEAD_TIMEOUT = timedelta(seconds=5)
#: Revision shown for a daemon that does not answer.
NO_REVISION = -1


class OperatorGateway(OperatorService):
    """Serves operators at any daemon."""

    def __init__(
        self,
        own_name: str,
        config_admin: ConfigAdmin,
        directory: ShardDirectory,
        router: ShardRouter,
        client: PeerClient,
        clock: Clock,
    ) -> None:
        self._own_name = own_name
        self._config_admin = config_admin
        self._directory = directory
        self._router = router
        self._client = client
        self._clock = clock

    async def read_config(self, key: str) -> ConfigView:
        """Return the newest configuration in the store."""
        self._config_admin.check_operator(key)
        return await self._config_admin.read()

    async def apply_config(
        self, key: str, document: CellDocument, expected_revision: int
    ) -> ConfigApplied | ConfigConflict | ConfigRejected:
        """Replace the configuration if its revision is the expected one."""
        self._config_admin.check_operator(key)
        return await self._config_admin.apply(document, expected_revision)

    async def members(self, key: str) -> list[MemberView]:
        """Return every daemon and its revision in force."""
        self._config_admin.check_operator(key)
        names = sorted(self._directory.members)
        revisions = await gather(self._revision_at(name) for name in names)
        views = []
        for name, revision in zip(names, revisions, strict=True):
            member = self._directory.members.get(name)
            if member is not None:
                views.append(MemberView(*member[:4], revision))
        return views

    async def shards(self, key: str) -> list[ShardView]:
        """Return every shard and its lead."""
        self._config_admin.check_operator(key)
        digests = self._directory.shard_digests()
        return [
            digests[name].view
            if name in digests
            else ShardView(name, shard.region, shard.domain, "", 0, 0, 0, 0)
            for name, shard in sorted(self._directory.shards.items())
        ]

    async def workers(self, key: str, shard: str) -> list[WorkerView]:
        """Return the workers of a shard, or of all if ``shard`` is empty."""
        self._config_admin.check_operator(key)
        names = [shard] if shard else sorted(self._directory.shards)
        until = self._clock.now() + LEAD_TIMEOUT
        try:
            answers = await gather(
                self._router.ask(name, WorkersMessage(name), until) for name in names
            )
        except NoLeadError as exc:
            raise RefusedError(Refusal.NO_LEAD, str(exc)) from exc
        return [
            view
            for answer in answers
            if isinstance(answer, WorkersAnswer)
            for view in answer.workers
        ]

    async def teams(self, key: str) -> list[TeamView]:
        """Return every team's share, limit, grants and usage."""
        self._config_admin.check_operator(key)
        held, granted = self._usage()
        return [
            TeamView(
                name=name,
                share=team["share"],
                limit=limit_from_amounts(team["limit"]),
                granted=granted.get(name, ZERO),
                held=held.get(name, ZERO),
                keys=sum(1 for k in team["keys"].values() if not k["withdrawn"]),
            )
            for name, team in sorted(
                self._config_admin.in_force().document["teams"].items()
            )
        ]

    async def tasks(
        self, key: str, team: str, phase: str, limit: int, after: str
    ) -> TaskPage:
        """Return tasks of a team, or of all if ``team`` is empty."""
        self._config_admin.check_operator(key)
        return await list_all(
            self._router,
            sorted(self._directory.shards),
            TasksMessage("", team, "", phase, limit, after),
            self._clock.now() + LEAD_TIMEOUT,
        )

    async def _revision_at(self, name: str) -> int:
        if name == self._own_name:
            return self._config_admin.in_force().revision
        member = self._directory.members.get(name)
        if member is None:
            return NO_REVISION
        try:
            answer, revision = await self._client.send_request_with_revision(
                member, DigestMessage(self._own_name)
            )
        except (PeerError, PeerCodecError):
            return NO_REVISION
        return revision if isinstance(answer, DigestAnswer) else NO_REVISION

    def _usage(self) -> tuple[dict[str, Resources], dict[str, Resources]]:
        held: dict[str, Resources] = {}
        granted: dict[str, Resources] = {}
        for digest in self._directory.shard_digests().values():
            for usage in digest.teams:
                held[usage.team] = held.get(usage.team, ZERO).plus(usage.held)
                granted[usage.team] = granted.get(usage.team, ZERO).plus(usage.granted)
        return held, granted
