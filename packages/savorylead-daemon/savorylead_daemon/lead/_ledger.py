"""A shard's records, and which of their events are durable."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead.contracts import TaskId
from savorylead.journal import Accepted, Event, Forgotten, Journal, Phase, ShardState


class ShardLedger:
    """Applies events immediately and signals when they are durable.

    No message that depends on an event may leave the lead before the event is
    durable; callers wait for that with ``until_durable``.
    """

    def __init__(self, journal: Journal, state: ShardState) -> None:
        self.state = state
        self._journal = journal
        self._staged: list[Event] = []
        self._pending_writes: Counter[TaskId] = Counter()
        self._durable_waiters: dict[TaskId, list[Deferred[None]]] = defaultdict(list)
        #: Ordered by registration, so that runs with equal inputs are deterministic.
        self._answer_waiters: dict[TaskId, dict[Deferred[None], None]] = defaultdict(
            dict
        )
        self._failure: Failure | None = None

    def stage(self, events: Sequence[Event]) -> None:
        """Apply events; the next ``commit`` writes them together with its own."""
        self.state.apply_all(events)
        self._staged += events
        self._pending_writes.update(_tasks_of(events))

    def commit(self, events: Sequence[Event] = ()) -> Deferred[None]:
        """Apply events, and write them together with the staged ones.

        The returned Deferred fires once they are durable, or fails with DeposedError.
        """
        self.stage(events)
        staged, self._staged = self._staged, []
        tasks = list(_tasks_of(staged))
        done = self._journal.append(staged)
        done.addCallbacks(self._on_durable, self._on_failed, callbackArgs=(tasks,))
        return done

    def has_staged(self) -> bool:
        """Return whether staged events are not written yet."""
        return bool(self._staged)

    def is_durable(self, task: TaskId) -> bool:
        """Return whether all events of the task so far are durable."""
        return task not in self._pending_writes

    def until_durable(self, task: TaskId) -> Deferred[None]:
        """Fire once all events of the task so far are durable."""
        waiter: Deferred[None] = Deferred()
        if self._failure is not None:
            waiter.errback(self._failure)
        elif self.is_durable(task):
            waiter.callback(None)
        else:
            self._durable_waiters[task].append(waiter)
        return waiter

    def has_outcome(self, task: TaskId) -> bool:
        """Return whether the task has a durable outcome in this shard."""
        record = self.state.records.get(task)
        if record is None or record.outcome is None:
            return False
        return self.is_durable(task)

    def is_answerable(self, task: TaskId) -> bool:
        """Return whether the task's end, or its move to another shard, is durable."""
        record = self.state.records.get(task)
        if record is None or not self.is_durable(task):
            return False
        return record.outcome is not None or record.phase is Phase.MOVED

    def any_answerable(self, tasks: Iterable[TaskId]) -> Deferred[None]:
        """Fire once one of the tasks is answerable; the Deferred may be cancelled."""
        task_ids = list(tasks)
        waiter: Deferred[None] = Deferred(lambda d: self._drop_waiter(task_ids, d))
        for task in task_ids:
            self._answer_waiters[task][waiter] = None
        return waiter

    def fail(self, failure: Failure) -> None:
        """Fail every waiter, after this lead was deposed or closed."""
        if self._failure is None:
            self._failure = failure
        waiters = [w for ws in self._durable_waiters.values() for w in ws]
        waiters += dict.fromkeys(w for ws in self._answer_waiters.values() for w in ws)
        self._durable_waiters.clear()
        self._answer_waiters.clear()
        for waiter in waiters:
            if not waiter.called:
                waiter.errback(failure)

    def _on_durable(self, _: None, tasks: list[TaskId]) -> None:
        for task in tasks:
            self._pending_writes[task] -= 1
            if self._pending_writes[task] == 0:
                del self._pending_writes[task]
                self._fire_waiters(task)

    def _on_failed(self, failure: Failure) -> Failure:
        self.fail(failure)
        return failure

    def _fire_waiters(self, task: TaskId) -> None:
        for waiter in self._durable_waiters.pop(task, ()):
            waiter.callback(None)
        if task in self._answer_waiters and self.is_answerable(task):
            for waiter in list(self._answer_waiters.get(task, ())):
                if not waiter.called:
                    waiter.callback(None)

    def _drop_waiter(self, tasks: list[TaskId], waiter: Deferred[None]) -> None:
        for task in tasks:
            waiters = self._answer_waiters.get(task)
            if waiters is None:
                continue
            waiters.pop(waiter, None)
            if not waiters:
                del self._answer_waiters[task]

    def remove_waiter(self, tasks: Iterable[TaskId], waiter: Deferred[None]) -> None:
        """Remove a waiter of ``any_answerable`` that has fired or is not needed."""
        self._drop_waiter(list(tasks), waiter)


def _tasks_of(events: Sequence[Event]) -> Iterable[TaskId]:
    for event in events:
        if isinstance(event, Accepted):
            yield event.spec.id
        elif isinstance(event, Forgotten):
            yield from event.tasks
        elif hasattr(event, "task"):
            yield event.task
