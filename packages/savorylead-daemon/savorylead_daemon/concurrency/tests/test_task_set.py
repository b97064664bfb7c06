from __future__ import annotations

from twisted.internet.defer import Deferred

from savorylead_daemon.concurrency import TaskSet


async def record_steps(waiting: Deferred[None], steps: list[str]) -> None:
    steps.append("began")
    try:
        await waiting
        steps.append("went on")
    finally:
        steps.append("ended")


def test_a_closed_set_cancels_running_tasks_and_starts_none() -> None:
    tasks = TaskSet()
    running, late = [], []
    cancelled = []
    tasks.spawn("a task", record_steps(Deferred(cancelled.append), running))
    tasks.close()
    assert running == ["began", "ended"]
    assert len(cancelled) == 1
    tasks.spawn("a task", record_steps(Deferred(), late))
    assert late == []


def test_a_finished_task_is_removed_from_its_set() -> None:
    tasks = TaskSet()
    waiting: Deferred[None] = Deferred()
    steps: list[str] = []
    tasks.spawn("a task", record_steps(waiting, steps))
    waiting.callback(None)
    assert steps == ["began", "went on", "ended"]
    assert not tasks._running
