"""Answers messages from daemons about the shards that this daemon leads."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import DeposedError, Phase
from savorylead.outcomes import NotRun, Refusal, Unknown
from savorylead.resources import ZERO, Resources
from savorylead_daemon.lead import OfferedJob, ShardLead
from savorylead_daemon.peers import (
    AnswersMessage,
    CancelMessage,
    DigestAnswer,
    DigestMessage,
    KeyRefused,
    LeadLost,
    NotLead,
    OfferAnswer,
    OfferMessage,
    PeerAnswer,
    PeerMessage,
    ShardDigest,
    SubmitAnswer,
    SubmitMessage,
    TasksAnswer,
    TasksMessage,
    TeamUsage,
    TombstoneMessage,
    ViewsAnswer,
    WorkersAnswer,
    WorkersMessage,
)
from savorylead_daemon.services import ShardView, SubmitReply, TaskPage, WorkerView

#: Returns why a team's key must not be used, or None if it may.
KeyRecheck = Callable[[str, str], Refusal | None]


class StoreAges(NamedTuple):
    """Ages of a daemon's information from the store; see DigestAnswer."""

    confirmed_age_ms: int | None
    store_age_ms: int | None


class MessageHandler:
    """Dispatches each message to the lead of its shard."""

    def __init__(
        self,
        own_name: str,
        leads: Mapping[str, ShardLead],
        recheck_key: KeyRecheck,
        store_ages: Callable[[], StoreAges],
    ) -> None:
        self._own_name = own_name
        self._leads = leads
        self._recheck_key = recheck_key
        self._store_ages = store_ages
        self._handlers: dict[type, Callable[..., Awaitable[PeerAnswer]]] = {
            SubmitMessage: self._submit,
            AnswersMessage: self._answers,
            CancelMessage: self._cancel,
            TombstoneMessage: self._tombstone,
            OfferMessage: self._offer,
            TasksMessage: self._tasks,
            WorkersMessage: self._workers,
        }

    async def handle(self, message: PeerMessage) -> PeerAnswer:
        """Return the answer to one message."""
        if isinstance(message, DigestMessage):
            return self.digest()
        lead = self._leads.get(message.shard)
        if lead is None:
            return NotLead(message.shard)
        try:
            return await self._handlers[type(message)](lead, message)
        except DeposedError:
            return LeadLost(message.shard)

    def digest(self) -> DigestAnswer:
        """Return the shards that this daemon leads and the ages of its store data."""
        shards = tuple(
            _digest_shard(lead, self._own_name) for lead in self._sorted_leads()
        )
        ages = self._store_ages()
        return DigestAnswer(
            self._own_name, shards, ages.confirmed_age_ms, ages.store_age_ms
        )

    def _sorted_leads(self) -> list[ShardLead]:
        return [self._leads[name] for name in sorted(self._leads)]

    async def _submit(self, lead: ShardLead, message: SubmitMessage) -> PeerAnswer:
        refusals = {
            team: self._recheck_key(team, message.key_id)
            for team in {spec.id.team for spec in message.specs}
        }
        allowed = [s for s in message.specs if refusals[s.id.team] is None]
        replies = dict(
            zip(
                (spec.id for spec in allowed),
                await lead.submit(allowed),
                strict=True,
            )
        )
        for spec in message.specs:
            if spec.id not in replies:
                replies[spec.id] = await self._refuse(lead, spec, refusals)
        return SubmitAnswer(tuple(replies[spec.id] for spec in message.specs))

    async def _refuse(
        self, lead: ShardLead, spec: TaskSpec, refusals: Mapping[str, Refusal | None]
    ) -> SubmitReply:
        """Refuse a task for its key, so that no earlier copy can be accepted.

        An earlier copy that was accepted may run, so the reply is then Unknown.
        """
        view = (await lead.tombstone([spec.id]))[0]
        reason = refusals[spec.id.team]
        if isinstance(view.outcome, NotRun):
            return NotRun(reason)
        return Unknown(f"{reason}: an earlier copy of the request was accepted")

    async def _answers(self, lead: ShardLead, message: AnswersMessage) -> PeerAnswer:
        wait = timedelta(milliseconds=message.wait_ms)
        return ViewsAnswer(tuple(await lead.answers(message.tasks, wait)))

    async def _cancel(self, lead: ShardLead, message: CancelMessage) -> PeerAnswer:
        for team in sorted({task.team for task in message.tasks}):
            reason = self._recheck_key(team, message.key_id)
            if reason is not None:
                return KeyRefused(reason)
        return ViewsAnswer(tuple(await lead.cancel(message.tasks)))

    async def _tombstone(
        self, lead: ShardLead, message: TombstoneMessage
    ) -> PeerAnswer:
        return ViewsAnswer(tuple(await lead.tombstone(message.tasks)))

    async def _offer(self, lead: ShardLead, message: OfferMessage) -> PeerAnswer:
        job = OfferedJob(message.specs, message.accepted_at_ms, message.attempt)
        return OfferAnswer(await lead.handle_offer(message.origin, job))

    async def _tasks(self, lead: ShardLead, message: TasksMessage) -> PeerAnswer:
        listed = (
            task
            for task, record in lead.records.items()
            if _is_listed(task, record.phase, message)
        )
        names = heapq.nsmallest(message.limit + 1, listed, key=str)
        part = names[: message.limit]
        next_after = str(part[-1]) if len(names) > message.limit else ""
        return TasksAnswer(TaskPage(tuple(lead.views(part)), next_after))

    async def _workers(self, lead: ShardLead, message: WorkersMessage) -> PeerAnswer:
        views = [_view_worker(lead, session.worker.name) for session in lead.fleet]
        return WorkersAnswer(tuple(sorted(views)))


def _is_listed(task: TaskId, phase: Phase, message: TasksMessage) -> bool:
    if task.member or phase in (Phase.MOVED, Phase.OFFERED, Phase.TOMBSTONED):
        return False
    if message.team and task.team != message.team:
        return False
    if message.workspace and task.workspace != message.workspace:
        return False
    if message.phase and phase != message.phase:
        return False
    return str(task) > message.after


def _view_worker(lead: ShardLead, name: str) -> WorkerView:
    worker = lead.fleet.session(name).worker
    return WorkerView(
        name=name,
        shard=lead.shard.name,
        rack=worker.rack,
        state=lead.fleet.state(name).value,
        capacity=worker.capacity,
        held=lead.held_on(name),
        running=lead.running_on(name),
    )


def _digest_shard(lead: ShardLead, own_name: str) -> ShardDigest:
    teams = tuple(
        TeamUsage(team, lead.held(team), lead.granted(team)) for team in lead.teams()
    )
    held = _total(usage.held for usage in teams)
    capacity = _total(session.worker.capacity for session in lead.fleet)
    view = ShardView(
        name=lead.shard.name,
        region=lead.shard.region,
        domain=lead.shard.domain,
        lead=own_name,
        epoch=lead.epoch,
        workers=sum(1 for _ in lead.fleet),
        running=lead.running_count(),
        waiting=lead.planner.pending_count(),
    )
    return ShardDigest(view, capacity, held, teams)


def _total(amounts: Iterable[Resources]) -> Resources:
    total = ZERO
    for amount in amounts:
        total = total.plus(amount)
    return total
