"""Steps that go first for a while, since their jobs have waited longest.

Load pattern: more urgent work comes as fast as the adviser decides, or takes each bit
of room, for as long as the load lasts. Steps that are late go after all that is in
time, and one whose run broke is late soon. Their callers may get a late answer, but
they get one.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from savorylead.jobs import StepRun

from ._planning_pass import may_place

#: A step gets a turn once nothing of its job has run for this long, in milliseconds:
#: longer than the tasks of most queues take.
PATIENCE_MS = 5_000
#: A turn is over after this time, in milliseconds: two calls for advice that name a
#: hundred workers, and the start. A step that can't start by then gives others a turn.
TURN_MS = 3_000
#: Steps that have a turn at a time. Half as many as may keep workers for themselves.
TURNS_AT_ONCE = 2
#: A turn whose step started sooner is not given to another before this time, in
#: milliseconds, so that turns are no more than two starts a second under overload.
LEAST_TURN_MS = 1_000
#: Most steps that are judged in one pass: a judgement looks at all workers.
JUDGED_AT_ONCE = 20
#: Time in milliseconds until a step that could not start is judged again.
JUDGED_AGAIN_MS = 500


class Turns:
    """Remembers who has a turn, and when the last turns ended."""

    def __init__(self) -> None:
        self._until_ms: dict[StepRun, int] = {}
        #: Until when turns that ended early take a place.
        self._taken_until_ms: list[int] = []
        self._ended_ms: dict[StepRun, int] = {}
        self._not_before_ms: dict[StepRun, int] = {}

    def choose(
        self,
        waiting: Iterable[StepRun],
        idle_since_ms: Callable[[StepRun], int | None],
        may_start: Callable[[StepRun], bool],
        now_ms: int,
    ) -> tuple[frozenset[StepRun], list[tuple[StepRun, int]]]:
        """Return the steps that go first in this pass, and those whose turn begins.

        Beside the latter stands for how long they have waited, in milliseconds.
        ``idle_since_ms`` tells since when nothing of a step's job runs, None if
        something does. ``may_start`` tells whether a step could start if it went first.
        """
        idle_ms = {
            step: since
            for step in waiting
            if (since := idle_since_ms(step)) is not None
        }
        self._end_turns(idle_ms, now_ms)
        self._ended_ms = {s: ms for s, ms in self._ended_ms.items() if s in idle_ms}
        since_ms = {s: max(ms, self._ended_ms.get(s, 0)) for s, ms in idle_ms.items()}
        self._not_before_ms = {
            s: ms for s, ms in self._not_before_ms.items() if ms > now_ms
        }
        candidates = [
            step
            for step, ms in since_ms.items()
            if now_ms - ms >= PATIENCE_MS
            and step not in self._until_ms
            and step not in self._not_before_ms
        ]
        # Of equal ones the name decides, so that the order does not change.
        candidates.sort(key=lambda s: (s.job.surplus, since_ms[s], s.name))
        begun = []
        for step in candidates[:JUDGED_AT_ONCE]:
            if len(self._until_ms) + len(self._taken_until_ms) >= TURNS_AT_ONCE:
                break
            if may_start(step):
                self._until_ms[step] = now_ms + TURN_MS
                begun.append((step, now_ms - idle_ms[step]))
            else:
                self._not_before_ms[step] = now_ms + JUDGED_AGAIN_MS
        return frozenset(self._until_ms), begun

    def _end_turns(self, waiting: Container[StepRun], now_ms: int) -> None:
        self._taken_until_ms = [ms for ms in self._taken_until_ms if ms > now_ms]
        for step, until_ms in list(self._until_ms.items()):
            if step not in waiting:
                del self._until_ms[step]
                taken_until_ms = until_ms - TURN_MS + LEAST_TURN_MS
                if taken_until_ms > now_ms:
                    self._taken_until_ms.append(taken_until_ms)
            elif now_ms >= until_ms:
                del self._until_ms[step]
                self._ended_ms[step] = now_ms


def may_take_turn(step: StepRun) -> bool:
    """Return whether the step waits and does not go first anyway."""
    return may_place(step) and not step.spec.long_running
