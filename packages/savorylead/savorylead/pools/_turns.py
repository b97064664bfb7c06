"""Steps that go first for a while, since their jobs have waited longest.

Load pattern: work that is in time comes as fast as the adviser decides, or takes each
bit of room, for as long as the load lasts. Steps that are late go after it, and one
whose run broke is late soon. Their callers may get a late answer, but they get one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from savorylead.jobs import StepRun

#: A late step gets a turn once nothing of its job has run for this long, in
#: milliseconds: longer than the tasks of most queues take.
PATIENCE_MS = 5_000
#: A turn is over after this time, in milliseconds: two calls for advice that name a
#: hundred workers, and the start. A step that can't start by then gives others a turn.
TURN_MS = 3_000
#: Steps that have a turn at a time. Half as many as may keep workers for themselves.
TURNS_AT_ONCE = 2


class Turns:
    """Remembers who has a turn, and when the last turns ended."""

    def __init__(self) -> None:
        self._until_ms: dict[StepRun, int] = {}
        self._ended_ms: dict[StepRun, int] = {}

    def choose(
        self,
        late: Iterable[StepRun],
        idle_since_ms: Callable[[StepRun], int | None],
        may_start: Callable[[StepRun], bool],
        now_ms: int,
    ) -> tuple[frozenset[StepRun], list[tuple[StepRun, int]]]:
        """Return the steps that go first in this pass, and those whose turn begins.

        Beside the latter stands for how long they have waited, in milliseconds.

        ``late`` are steps that wait and are late. ``idle_since_ms`` tells since when
        nothing of a step's job runs, None if something does. ``may_start`` tells
        whether a step could start if it went first.
        """
        waiting = [
            (step.job.surplus, since_ms, step.name, step)
            for step in late
            if (since_ms := idle_since_ms(step)) is not None
        ]
        steps = {row[-1] for row in waiting}
        self._ended_ms = {s: ms for s, ms in self._ended_ms.items() if s in steps}
        for step, until_ms in list(self._until_ms.items()):
            if step not in steps:
                del self._until_ms[step]
            elif now_ms >= until_ms:
                del self._until_ms[step]
                self._ended_ms[step] = now_ms
        begun = []
        for _, since_ms, _, step in sorted(waiting, key=lambda row: row[:3]):
            if len(self._until_ms) >= TURNS_AT_ONCE:
                break
            waited_ms = now_ms - max(since_ms, self._ended_ms.get(step, 0))
            if step in self._until_ms or waited_ms < PATIENCE_MS:
                continue
            if may_start(step):
                self._until_ms[step] = now_ms + TURN_MS
                begun.append((step, now_ms - since_ms))
            else:
                self._ended_ms[step] = now_ms
        return frozenset(self._until_ms), begun
