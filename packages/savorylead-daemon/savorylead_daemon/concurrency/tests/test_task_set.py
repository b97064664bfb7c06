from __future__ import annotations

from twisted.internet.defer import Deferred

from savorylead_daemon.concurrency import TaskSet


async def noted(waiting: Deferred[None], seen: list[str]) -> None:
    seen.append("began")
    try:
        await waiting
        seen.append("went on")
    finally:
        seen.append("ended")


def test_a_closed_set_has_ended_what_ran_and_begins_nothing() -> None:
    tasks = TaskSet()
    running, late = [], []
    cancelled = []
    tasks.spawn("a task", noted(Deferred(cancelled.append), running))
    tasks.close()
    assert running == ["began", "ended"]
    assert len(cancelled) == 1
    tasks.spawn("a task", noted(Deferred(), late))
    assert late == []


def test_a_set_keeps_nothing_of_a_task_that_is_over() -> None:
    tasks = TaskSet()
    waiting: Deferred[None] = Deferred()
    seen: list[str] = []
    tasks.spawn("a task", noted(waiting, seen))
    waiting.callback(None)
    assert seen == ["began", "went on", "ended"]
    assert not tasks._running
