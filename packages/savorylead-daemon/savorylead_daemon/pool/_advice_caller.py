"""Adviser calls that a lead's planner requests."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from twisted.internet.defer import CancelledError

from savorylead.pools import Advice, AdviceRequest, AdviserError
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._pool_state import PoolState

#: Calls the adviser through one of the cell's daemons; raises AdviserError.
CallAdviser = Callable[[str, Sequence[str], float, float], Coroutine[Any, Any, Advice]]


class AdviceCaller:
    """Calls the adviser and reports the results to the planner's advice book."""

    def __init__(
        self,
        state: PoolState,
        log: EventLog,
        ask_adviser: CallAdviser,
        plan_soon: Callable[[], None],
    ) -> None:
        self._state = state
        self._log = log
        self._ask_adviser = ask_adviser
        self._plan_soon = plan_soon

    async def call(self, request: AdviceRequest) -> None:
        """Make one call; its result triggers another pass of the planner."""
        book = self._state.planner.book
        step = request.step
        workers = [
            self._state.workers[w] for w in request.workers if w in self._state.workers
        ]
        book.note_requested(step)
        try:
            advice = await self._ask_adviser(
                step.name, request.workers, request.expected_ms, request.rank_ms
            )
        except AdviserError as exc:
            self._log.log_event(
                LogLevel.INFO, "advice_failed", step=step.name, detail=str(exc)
            )
            book.record_failure(step, self._state.now_ms())
        except CancelledError:
            raise
        except Exception:
            # The book allows no further call for a step while one is in progress.
            book.record_failure(step, self._state.now_ms())
            self._plan_soon()
            raise
        else:
            book.record_answer(
                step, step.job.record.queue, workers, advice, self._state.now_ms()
            )
            self._log.log_event(
                LogLevel.INFO,
                "advice",
                step=step.name,
                asked=len(workers),
                allowed=len(advice.tickets),
            )
        self._plan_soon()
