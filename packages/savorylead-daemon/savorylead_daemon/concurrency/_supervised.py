"""Background coroutines that are restarted after an unexpected error."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.logger import Logger

from savorylead.clock import Clock

#: Delay before a restart. An error on every run writes two log lines a second.
RESTART_DELAY = timedelta(milliseconds=500)

_log = Logger()


async def supervised(
    what: str, clock: Clock, begin: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run ``begin()`` until it returns or is cancelled; an error restarts it."""
    while True:
        try:
            await begin()
        except CancelledError:
            raise
        except Exception:
            _log.failure("{what} failed and is restarted", what=what)
        else:
            return
        await clock.sleep(RESTART_DELAY)
