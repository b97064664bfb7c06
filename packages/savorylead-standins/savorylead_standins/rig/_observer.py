"""Notes what a run shows beside submissions and answers, for the checkers."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead.clock import Timer, to_millis
from savorylead.contracts import TaskId, limit_from_amounts
from savorylead_standins.checkers import (
    Departure,
    KeyWithdrawal,
    LimitChange,
    RevisionSample,
    RunHistory,
)

from ._http_caller import CallFailedError, HttpCaller
from ._real_cell import RealCell

SAMPLE_INTERVAL = timedelta(seconds=1)
ANSWERS_INTERVAL = timedelta(seconds=1)
#: A sample that no daemon gave in time is left out.
NO_RETRY = timedelta(0)


class CellObserver:
    """Samples the revision in force at each daemon, and reads answers as they come."""

    def __init__(self, cell: RealCell) -> None:
        #: Calls for answers that failed, by HTTP status; 0 if nobody answered.
        self.failures: Counter[int] = Counter()
        #: The first unforeseen error of a sample.
        self.error: Failure | None = None
        self._cell = cell
        self._operators: dict[str, HttpCaller] = {}
        self._timers: dict[str, Timer] = {}
        self._starts: Counter[str] = Counter()
        self._samples: list[RevisionSample] = []
        self._departures: list[Departure] = []
        self._withdrawals: list[KeyWithdrawal] = []
        self._limits: list[LimitChange] = []
        self._revisions: dict[int, int] = {}
        self._cut_off: list[str] = []
        self._reading = True

    def begin(self) -> None:
        """Note the limits of the example and begin to sample."""
        for team, document in self._cell.example["cell"]["teams"].items():
            limit = limit_from_amounts(document["limit"])
            self._limits.append(LimitChange(team, limit, 0, 0))
        for name, endpoint in self._cell.endpoints().items():
            self._operators[name] = self._cell.open_operator({name: endpoint})
            self._schedule(name)

    def close(self) -> None:
        """Stop to sample and to read."""
        self._reading = False
        for timer in self._timers.values():
            timer.cancel()
        for operator in self._operators.values():
            operator.close()

    def note_restart(self, name: str) -> None:
        """Note that a daemon is a new process from now on."""
        self._starts[name] += 1

    def note_revision(self, revision: int) -> None:
        """Note that an operator was told a revision."""
        self._revisions[revision] = self._now_ms()

    def note_limit(self, team: str, amounts: dict[str, int], sent_at_ms: int) -> None:
        """Note that a change of a team's limit, sent then, was accepted by now."""
        limit = limit_from_amounts(amounts)
        change = LimitChange(team, limit, sent_at_ms, self._now_ms())
        self._limits.append(change)

    def note_withdrawal(self, key: str) -> None:
        """Note that an operator was told that a key is withdrawn."""
        self._withdrawals.append(KeyWithdrawal(key, self._now_ms()))

    def note_departure(self, worker: str) -> None:
        """Note that a VM begins to leave."""
        self._departures.append(Departure(worker, self._now_ms()))

    def note_cut_off(self, call: str) -> None:
        """Note a call that a planned stop cut off."""
        self._cut_off.append(call)

    async def history(self, settled: bool) -> RunHistory:
        """Return everything so far; ``settled`` once all work had time to end."""
        history = await self._cell.history()
        history.withdrawals = list(self._withdrawals)
        history.limits = list(self._limits)
        history.revisions_accepted = dict(self._revisions)
        history.samples = list(self._samples)
        history.departures = list(self._departures)
        history.calls_cut_off = list(self._cut_off)
        history.settled = settled
        return history

    async def read_answers(self) -> None:
        """Read answers as they come, until this is closed."""
        while self._reading:
            await self._cell.clock.sleep(ANSWERS_INTERVAL)
            try:
                await self._cell.read_answers(self.ending_tasks(), timedelta(0))
            except CallFailedError as exc:
                self.failures[exc.status] += 1

    def ending_tasks(self) -> list[TaskId]:
        """Return admitted tasks without an answer that end by themselves."""
        return [
            task
            for task in self._cell.recorder.unanswered()
            if not task.request.startswith("services")
        ]

    def _schedule(self, name: str) -> None:
        self._timers[name] = self._cell.clock.call_later(
            SAMPLE_INTERVAL, self._begin_sample, name
        )

    def _begin_sample(self, name: str) -> None:
        sampling = Deferred.fromCoroutine(self._sample(name))
        sampling.addErrback(self._note_error)

    def _note_error(self, failure: Failure) -> None:
        if self.error is None:
            self.error = failure

    async def _sample(self, name: str) -> None:
        starts = self._starts[name]
        try:
            revision = await self._own_revision(name)
        except CallFailedError:
            revision = None
        if revision is not None and starts == self._starts[name]:
            sample = RevisionSample(f"{name}#{starts}", self._now_ms(), revision)
            self._samples.append(sample)
        if self._reading:
            self._schedule(name)

    async def _own_revision(self, name: str) -> int | None:
        """Return the revision in force at the daemon that answers."""
        answer = await self._operators[name].call(
            "GET", "/v1/operators/members", give_up_after=NO_RETRY
        )
        own = [m["revision"] for m in answer["members"] if m["name"] == name]
        return own[0] if own else None

    def _now_ms(self) -> int:
        return to_millis(self._cell.clock.now())
