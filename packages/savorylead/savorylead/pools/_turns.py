"""Turns: bounded periods in which a starved step precedes all others.

Load pattern: more urgent work arrives as fast as the adviser decides, or occupies all
capacity as it is freed, for as long as the load lasts. Late steps are ordered after all
steps that are in time, and a step whose run broke off is soon late. Turns guarantee
that they still start, though late.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from savorylead.jobs import StepRun

from ._planning_pass import may_place

#: Time without a running task of its job after which a step may get a turn, in
#: milliseconds: longer than the tasks of most queues take.
MIN_WAIT_MS = 5_000
#: Maximum length of a turn, in milliseconds: enough for two advice requests that name a
#: hundred workers, and the start. Then another step may get a turn.
TURN_MS = 3_000
#: Maximum number of concurrent turns: half of the steps that may hold reservations.
MAX_TURNS = 2
#: Minimum time that a turn counts as taken, in milliseconds, even if its step starts
#: sooner. Limits turns to two starts a second under overload.
MIN_TURN_MS = 1_000
#: Maximum number of steps checked in one pass, since a check iterates over all workers.
MAX_CHECKS_PER_PASS = 20
#: Time until a step that could not start is checked again, in milliseconds.
RECHECK_MS = 500


class Turns:
    """Tracks which steps have a turn, and when their last turns ended."""

    def __init__(self) -> None:
        self._until_ms: dict[StepRun, int] = {}
        #: When the slots of turns that ended early become free.
        self._slots_taken_until_ms: list[int] = []
        self._ended_ms: dict[StepRun, int] = {}
        self._not_before_ms: dict[StepRun, int] = {}

    def choose(
        self,
        waiting: Iterable[StepRun],
        idle_since_ms: Callable[[StepRun], int | None],
        may_start: Callable[[StepRun], bool],
        now_ms: int,
    ) -> tuple[frozenset[StepRun], list[tuple[StepRun, int]]]:
        """Return the steps that have a turn in this pass, and those whose turn begins.

        The latter are paired with the time they have waited, in milliseconds.
        ``idle_since_ms`` returns since when a step's job has had no running task, None
        if it has one. ``may_start`` returns whether a step could start if it preceded
        all others.
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
            if now_ms - ms >= MIN_WAIT_MS
            and step not in self._until_ms
            and step not in self._not_before_ms
        ]
        # Ties are broken by name, so that the order is stable.
        candidates.sort(key=lambda s: (s.job.surplus, since_ms[s], s.name))
        new_turns = []
        for step in candidates[:MAX_CHECKS_PER_PASS]:
            if len(self._until_ms) + len(self._slots_taken_until_ms) >= MAX_TURNS:
                break
            if may_start(step):
                self._until_ms[step] = now_ms + TURN_MS
                new_turns.append((step, now_ms - idle_ms[step]))
            else:
                self._not_before_ms[step] = now_ms + RECHECK_MS
        return frozenset(self._until_ms), new_turns

    def _end_turns(self, waiting: Container[StepRun], now_ms: int) -> None:
        self._slots_taken_until_ms = [
            ms for ms in self._slots_taken_until_ms if ms > now_ms
        ]
        for step, until_ms in list(self._until_ms.items()):
            if step not in waiting:
                del self._until_ms[step]
                taken_until_ms = until_ms - TURN_MS + MIN_TURN_MS
                if taken_until_ms > now_ms:
                    self._slots_taken_until_ms.append(taken_until_ms)
            elif now_ms >= until_ms:
                del self._until_ms[step]
                self._ended_ms[step] = now_ms


def may_take_turn(step: StepRun) -> bool:
    """Return whether the step waits and does not precede all others anyway."""
    return may_place(step) and not step.spec.long_running
