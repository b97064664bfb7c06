"""Serves callers: checks keys, finds home shards, reports only proved outcomes."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import NamedTuple, TypeVar

from savorylead.clock import Clock, to_millis
from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import Phase
from savorylead.outcomes import NotRun, Refusal, Unknown
from savorylead_daemon.cell import KeyVerifier, NoLeadError, ShardRouter, TeamKey
from savorylead_daemon.concurrency import first_of, gather
from savorylead_daemon.lead import ABSENT_PHASE
from savorylead_daemon.peers import (
    AnswersMessage,
    CancelMessage,
    KeyRefused,
    PeerAnswer,
    PeerMessage,
    SubmitAnswer,
    SubmitMessage,
    TasksAnswer,
    TasksMessage,
    TombstoneMessage,
    ViewsAnswer,
)
from savorylead_daemon.services import (
    Admitted,
    CallerService,
    RefusedError,
    RequestName,
    SubmitReply,
    TaskDocument,
    TaskPage,
    TaskView,
)

from ._homes import by_home, home_shard
from ._specs import SpecBuilder

AnswerT = TypeVar("AnswerT")


class GatewayTimes(NamedTuple):
    """Timeouts of one call."""

    #: For the answer of the home lead.
    answer: timedelta = timedelta(seconds=5)
    #: Additional time to prove that a submit without an answer was not accepted.
    prove: timedelta = timedelta(seconds=3)
    #: Longest wait in one message. A waiting call consists of many such slices, so
    #: that a connection that stops responding or a new lead is detected.
    wait_slice: timedelta = timedelta(seconds=5)


class CallerGateway(CallerService):
    """Forwards calls to the current lead of each task's home shard."""

    def __init__(
        self,
        key_verifier: KeyVerifier,
        router: ShardRouter,
        clock: Clock,
        times: GatewayTimes,
    ) -> None:
        self._key_verifier = key_verifier
        self._router = router
        self._clock = clock
        self._times = times
        self._draining = False

    def drain(self) -> None:
        """End the waits of calls, since the daemon is about to stop.

        A waiting call is answered with the current state of its tasks when its current
        ``wait_slice`` ends.
        """
        self._draining = True

    async def submit(
        self, key: str, tasks: Sequence[TaskDocument]
    ) -> list[SubmitReply]:
        """Accept tasks; return one reply per task, each durable or proved."""
        owner = self._key_verifier.check_key(key)
        document = self._key_verifier.document()
        now_ms = to_millis(self._clock.now())
        jobs = SpecBuilder(document, owner.team, now_ms).build(tasks)
        members = {job[0].id: job for job in jobs}
        homes = by_home(document, members)
        parts = await gather(
            self._submit_part(
                owner, shard, [spec for name in names for spec in members[name]]
            )
            for shard, names in sorted(homes.items())
        )
        replies = {task: reply for part in parts for task, reply in part.items()}
        # An earlier copy may have been accepted while the region had a shard.
        no_shard = Unknown("the home region has no shard now")
        return [replies.get(job[0].id, no_shard) for job in jobs]

    async def answers(
        self, key: str, requests: Sequence[RequestName], wait: timedelta
    ) -> list[TaskView]:
        """Return tasks, waiting up to ``wait`` until one of them has an outcome."""
        owner = self._key_verifier.check_key(key)
        homes = self._homes_of(owner, requests)
        until = self._clock.now() + wait
        if wait > timedelta(0) and len(homes) > 1:
            await first_of(
                self._views(shard, tasks, until)
                for shard, tasks in sorted(homes.items())
            )
            until = self._clock.now()
        parts = await gather(
            self._views(shard, tasks, until) for shard, tasks in sorted(homes.items())
        )
        # The key may have been withdrawn during the wait.
        self._key_verifier.check_key(key)
        return self._in_order(owner, requests, parts)

    async def cancel(self, key: str, requests: Sequence[RequestName]) -> list[TaskView]:
        """Cancel tasks; an unknown task gets a tombstone."""
        owner = self._key_verifier.check_key(key)
        homes = self._homes_of(owner, requests)
        parts = await gather(
            self._cancel_part(owner, shard, tasks)
            for shard, tasks in sorted(homes.items())
        )
        return self._in_order(owner, requests, parts)

    async def list_tasks(
        self, key: str, workspace: str, phase: str, limit: int, after: str
    ) -> TaskPage:
        """Return a workspace's tasks from every shard that may hold some."""
        owner = self._key_verifier.check_key(key)
        document = self._key_verifier.document()
        if workspace and f"{owner.team}/{workspace}" not in document["workspaces"]:
            raise RefusedError(Refusal.UNKNOWN_WORKSPACE, workspace, "?workspace")
        return await list_all(
            self._router,
            sorted(document["shards"]),
            TasksMessage("", owner.team, workspace, phase, limit, after),
            self._clock.now() + self._times.answer,
        )

    async def _submit_part(
        self, owner: TeamKey, shard: str, specs: Sequence[TaskSpec]
    ) -> dict[TaskId, SubmitReply]:
        """Submit the tasks of one home shard; return replies by first member's id."""
        until = self._clock.now() + self._times.answer
        message = SubmitMessage(shard, owner.key_id, tuple(specs))
        first_members = [spec.id for spec in specs if spec.id.member == 0]
        try:
            answer = await self._router.ask(shard, message, until)
        except NoLeadError as exc:
            if not exc.may_have_run:
                # No lead received this copy, but an earlier one may have been accepted.
                detail = f"{exc}; ask again with the same request"
                return dict.fromkeys(first_members, Unknown(detail))
            return await self._prove_not_run(shard, first_members)
        replies = _expect(answer, SubmitAnswer).replies
        return {
            spec.id: reply
            for spec, reply in zip(specs, replies, strict=True)
            if spec.id.member == 0
        }

    async def _prove_not_run(
        self, shard: str, tasks: Sequence[TaskId]
    ) -> dict[TaskId, SubmitReply]:
        """Report "not run" only after the home lead refuses late copies."""
        until = self._clock.now() + self._times.prove
        message = TombstoneMessage(shard, tuple(tasks))
        try:
            answer = await self._router.ask(shard, message, until)
        except NoLeadError:
            detail = "not proved; ask again with the same request"
            return dict.fromkeys(tasks, Unknown(detail))
        views = _expect(answer, ViewsAnswer).views
        return {view.task: _reply_from_view(view) for view in views}

    async def _views(
        self, shard: str, tasks: Sequence[TaskId], until: datetime
    ) -> list[TaskView]:
        """Query one shard, and follow tasks that have moved to others."""
        while True:
            now = self._clock.now()
            slice_ends = min(until, now + self._times.wait_slice)
            if self._draining:
                slice_ends = now
            # Rounded up, since waits of 0 ms until the end would be a busy loop.
            wait_ms = max(0, -((now - slice_ends) // timedelta(milliseconds=1)))
            message = AnswersMessage(shard, tuple(tasks), wait_ms)
            deadline = max(slice_ends, now) + self._times.answer
            answer = await self._send_request(shard, message, deadline)
            views = list(_expect(answer, ViewsAnswer).views)
            views = await self._follow_moved(shard, views, slice_ends)
            answered = any(_ends_wait(view) for view in views)
            if answered or self._draining or self._clock.now() >= until:
                return views

    async def _follow_moved(
        self, shard: str, views: list[TaskView], until: datetime
    ) -> list[TaskView]:
        final = [v for v in views if v.phase != Phase.MOVED]
        moved = [v for v in views if v.phase == Phase.MOVED and v.shard != shard]
        if any(view.outcome is not None for view in final):
            until = self._clock.now()
        targets: dict[str, list[TaskId]] = {}
        for view in moved:
            targets.setdefault(view.shard, []).append(view.task)
        parts = await gather(
            self._views(target, tasks, until)
            for target, tasks in sorted(targets.items())
        )
        return final + [view for part in parts for view in part]

    async def _cancel_part(
        self, owner: TeamKey, shard: str, tasks: Sequence[TaskId]
    ) -> list[TaskView]:
        message = CancelMessage(shard, owner.key_id, tuple(tasks))
        answer = await self._send_request(
            shard, message, self._clock.now() + self._times.answer
        )
        if isinstance(answer, KeyRefused):
            raise RefusedError(answer.reason, "the lead did not cancel")
        views = list(_expect(answer, ViewsAnswer).views)
        final = [view for view in views if view.phase != Phase.MOVED]
        for view in views:
            if view.phase == Phase.MOVED:
                final += await self._cancel_part(owner, view.shard, [view.task])
        return final

    async def _send_request(
        self, shard: str, message: PeerMessage, until: datetime
    ) -> PeerAnswer:
        """Send a message to a lead; raises RefusedError if none answers."""
        try:
            return await self._router.ask(shard, message, until)
        except NoLeadError as exc:
            raise RefusedError(Refusal.NO_LEAD, str(exc)) from exc

    def _homes_of(
        self, owner: TeamKey, requests: Sequence[RequestName]
    ) -> dict[str, list[TaskId]]:
        document = self._key_verifier.document()
        tasks = [TaskId(owner.team, r.workspace, r.request) for r in requests]
        for index, task in enumerate(tasks):
            if home_shard(document, task) is None:
                path = f"$[{index}].workspace"
                raise RefusedError(Refusal.UNKNOWN_WORKSPACE, task.workspace, path)
        return by_home(document, dict.fromkeys(tasks))

    def _in_order(
        self,
        owner: TeamKey,
        requests: Sequence[RequestName],
        parts: Sequence[Sequence[TaskView]],
    ) -> list[TaskView]:
        views = {view.task: view for part in parts for view in part}
        tasks = [TaskId(owner.team, r.workspace, r.request) for r in requests]
        return [views.get(task, _absent(task)) for task in tasks]


async def list_all(
    router: ShardRouter,
    shards: Sequence[str],
    message: TasksMessage,
    until: datetime,
) -> TaskPage:
    """Return one page of the tasks of several shards, sorted by id.

    Raises RefusedError if a shard has no lead, since a list must be complete.
    """
    try:
        answers = await gather(
            router.ask(shard, message._replace(shard=shard), until) for shard in shards
        )
    except NoLeadError as exc:
        raise RefusedError(Refusal.NO_LEAD, str(exc)) from exc
    pages = [_expect(answer, TasksAnswer).page for answer in answers]
    views = sorted(
        (view for page in pages for view in page.tasks), key=lambda v: str(v.task)
    )
    part = views[: message.limit]
    more = len(views) > len(part) or any(page.next_after for page in pages)
    next_after = str(part[-1].task) if more and part else ""
    return TaskPage(tuple(part), next_after)


def _expect(answer: PeerAnswer, kind: type[AnswerT]) -> AnswerT:
    if not isinstance(answer, kind):
        raise TypeError(f"expected {kind.__name__}, got {type(answer).__name__}")
    return answer


def _ends_wait(view: TaskView) -> bool:
    """Return whether no further change of the task is to be waited for."""
    return view.outcome is not None or view.phase == ABSENT_PHASE


def _reply_from_view(view: TaskView) -> SubmitReply:
    if view.phase == Phase.TOMBSTONED:
        return NotRun(Refusal.TOMBSTONE, "no lead answered in time")
    if isinstance(view.outcome, NotRun):
        return view.outcome
    return Admitted(view.task)


def _absent(task: TaskId) -> TaskView:
    return TaskView(task, ABSENT_PHASE, "", "", 0, 0, None)
