"""A daemon as a process that can be paused, resumed and killed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer

T = TypeVar("T")


class _HeldTimer(Timer):
    """A timer whose callback is deferred while its process is paused."""

    def __init__(self, process: Process, func: Callable[[], None]) -> None:
        self._process = process
        self._func: Callable[[], None] | None = func
        self.inner: Timer | None = None

    def cancel(self) -> None:
        self._func = None
        if self.inner is not None:
            self.inner.cancel()

    def fire(self) -> None:
        """Run the callback, or defer it until the process resumes."""
        if self._func is None:
            return
        if self._process.dead:
            self._process.abandon(self)
            return
        if self._process.paused:
            self._process.hold(self.fire)
            return
        func, self._func = self._func, None
        func()


class ProcessClock(Clock):
    """Clock of one process, with its offset; time advances while it is paused."""

    def __init__(self, shared: Clock, process: Process) -> None:
        self._shared = shared
        self._process = process

    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""
        return self._shared.now() + self._process.clock_offset

    def call_later(
        self, delay: timedelta, func: Callable[..., Any], *args: Any
    ) -> Timer:
        """Call ``func(*args)`` after ``delay``; deferred if paused, dropped if dead."""
        timer = _HeldTimer(self._process, lambda: func(*args))
        timer.inner = self._shared.call_later(delay, timer.fire)
        return timer


class Process:
    """A simulated process. It receives nothing while paused or once dead."""

    def __init__(self, name: str, shared: Clock) -> None:
        self.name = name
        self.paused = False
        self.dead = False
        #: Offset of this process's clock from the shared clock.
        self.clock_offset = timedelta(0)
        self.clock = ProcessClock(shared, self)
        self._held: list[Callable[[], None]] = []
        #: What a dead process waited for. It must not be garbage-collected: closing a
        #: coroutine runs its clean-up code, which a killed process never executes.
        self._abandoned: list[object] = []

    def abandon(self, waited_for: object) -> None:
        """Keep a reference to an object that the dead process waited for."""
        self._abandoned.append(waited_for)

    def hold(self, func: Callable[[], None]) -> None:
        """Call ``func`` when the process resumes."""
        self._held.append(func)

    def pause(self) -> None:
        """Stop running, as on SIGSTOP."""
        self.paused = True

    def resume(self) -> None:
        """Resume, and run the callbacks deferred during the pause, in order."""
        self.paused = False
        held, self._held = self._held, []
        for func in held:
            if not self.dead:
                func()

    def kill(self) -> None:
        """Kill the process; nothing that it waits for is delivered."""
        self.dead = True
        self._abandoned += self._held
        self._held = []

    def gate(self) -> Deferred[None]:
        """Return a Deferred that fires now, on resume, or, once dead, never."""
        result: Deferred[None] = Deferred()
        if self.dead:
            self.abandon(result)
            return result
        if self.paused:
            self.hold(lambda: None if result.called else result.callback(None))
        else:
            result.callback(None)
        return result

    async def receive(self, reply: Awaitable[T]) -> T:
        """Return or raise the result of a call once the process is not paused."""
        try:
            result = await reply
        except Exception:
            await self.gate()
            raise
        await self.gate()
        return result
