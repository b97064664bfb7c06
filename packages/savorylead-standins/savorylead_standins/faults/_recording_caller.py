"""A caller that retries every request until it is resolved and records the replies."""

from __future__ import annotations

import enum
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple, TypeVar

import msgspec

from savorylead.contracts import TaskId
from savorylead.outcomes import NotRun, Outcome, Unknown
from savorylead_daemon.daemon import Daemon
from savorylead_daemon.services import (
    Admitted,
    RefusedError,
    RequestName,
    SubmitReply,
    TaskDocument,
)
from savorylead_standins.checkers import Answer, Submission

from ._balancer import LoadBalancer
from ._faulty_cell import CallerObservation, FaultyCell

T = TypeVar("T")

#: How long one call waits for a final answer.
ANSWER_WAIT = timedelta(seconds=4)
#: Initial and maximum delay before a retry; each retry doubles it.
REPEAT_DELAY = timedelta(milliseconds=300)
MAX_REPEAT_DELAY = timedelta(seconds=20)


class Request(NamedTuple):
    """One task, the key that submits it, and the team's permanent key."""

    task: TaskDocument
    key: str
    permanent_key: str
    id: TaskId


class _Fate(enum.Enum):
    """What is known about a request after its submission."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    #: A daemon may have accepted it, and a retry can no longer find out.
    UNPROVED = "unproved"


class RecordingCaller:
    """Submits requests, retries them under the same id, and fetches answers."""

    def __init__(self, cell: FaultyCell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        self._load_balancer = LoadBalancer(cell, rng)
        self._history = cell.history
        #: Requests that have neither a final answer nor a refusal.
        self.open: dict[TaskId, Request] = {}
        #: The first final answer received for each task.
        self.final_answers: dict[TaskId, Outcome] = {}

    def submit(self, request: Request) -> None:
        """Submit a request and fetch its answer, concurrently with other requests."""
        self.open[request.id] = request
        self._cell.do(self._resolve(request))

    def cancel(self, request: Request) -> None:
        """Cancel a request; the submitting coroutine fetches its answer."""
        self._cell.do(self._cancel(request))

    def fetch_again(self, request: Request) -> None:
        """Fetch an answer once more, from any daemon."""
        self._cell.do(self._fetch(request))

    async def _resolve(self, request: Request) -> None:
        fate = await self._submit_until_known(request)
        if fate is _Fate.UNPROVED:
            await self._cancel(request)
        if fate is not _Fate.REFUSED:
            await self._fetch(request)
        self.open.pop(request.id, None)

    async def _submit_until_known(self, request: Request) -> _Fate:
        unanswered = 0
        while True:
            reply = await self._submit_once(request, unanswered)
            if isinstance(reply, Admitted):
                return _Fate.ADMITTED
            if isinstance(reply, NotRun):
                return _Fate.REFUSED
            if self._is_withdrawn(request.key):
                # Only a call with the team's permanent key can still find out.
                return _Fate.UNPROVED
            unanswered += 1
            await self._pause(unanswered)

    def _is_withdrawn(self, key: str) -> bool:
        return any(w.key == key for w in self._history.withdrawals)

    async def _submit_once(
        self, request: Request, unanswered: int
    ) -> SubmitReply | None:
        index = len(self._history.submissions)
        self._history.submissions.append(self._submission(request))
        try:
            replies = await self._load_balancer.call(
                "submit",
                lambda daemon: daemon.callers.submit(request.key, [request.task]),
                "submit received",
            )
        except RefusedError as exc:
            # The refusal covers only this call; an earlier one may have been
            # accepted.
            replies = [None if unanswered else NotRun(exc.reason, exc.detail)]
        reply = replies[0] if replies else None
        if not isinstance(reply, Unknown):
            self._note_reply(index, reply)
        return reply

    async def _fetch(self, request: Request) -> None:
        name = RequestName(request.id.workspace, request.id.request)
        unanswered = 0
        while True:
            views = await self._try_call(
                lambda daemon: daemon.callers.answers(
                    request.permanent_key, [name], ANSWER_WAIT
                )
            )
            if views and views[0].outcome is not None:
                self._note_answer(request.id, views[0].outcome)
                return
            if not views:
                unanswered += 1
                await self._pause(unanswered)

    async def _cancel(self, request: Request) -> None:
        name = RequestName(request.id.workspace, request.id.request)
        unanswered = 0
        while request.id in self.open:
            views = await self._try_call(
                lambda daemon: daemon.callers.cancel(request.permanent_key, [name])
            )
            if views:
                return
            unanswered += 1
            await self._pause(unanswered)

    async def _try_call(
        self, call_daemon: Callable[[Daemon], Awaitable[T]]
    ) -> T | None:
        try:
            return await self._load_balancer.call("ask", call_daemon)
        except RefusedError:
            return None

    def _submission(self, request: Request) -> Submission:
        return Submission(
            task=request.id,
            key=request.key,
            repeatable=request.task.get("repeatable", True),
            expected_result=_expected_result(request.task),
            submitted_at_ms=self._cell.now_ms(),
            replied_at_ms=0,
            reply=None,
        )

    def _note_reply(self, index: int, reply: SubmitReply | None) -> None:
        submission = self._history.submissions[index]
        self._history.submissions[index] = submission._replace(
            replied_at_ms=self._cell.now_ms(), reply=reply
        )

    def _note_answer(self, task: TaskId, outcome: Outcome) -> None:
        self.final_answers.setdefault(task, outcome)
        self._history.answers.append(Answer(task, self._cell.now_ms(), outcome))
        self._cell.notify_watchers(
            CallerObservation("answer delivered", self._load_balancer.last_daemon)
        )

    async def _pause(self, unanswered: int) -> None:
        delay = min(REPEAT_DELAY * 2 ** min(unanswered, 7), MAX_REPEAT_DELAY)
        await self._cell.clock.sleep(delay * (0.5 + self._rng.random()))


def _expected_result(task: TaskDocument) -> str:
    """Return the answer of a complete run; a job's is the array of member answers."""
    answer = msgspec.json.decode(task["payload"])["answer"]
    members = task.get("members", 1)
    if members == 1:
        return answer
    return msgspec.json.encode([answer] * members).decode()
