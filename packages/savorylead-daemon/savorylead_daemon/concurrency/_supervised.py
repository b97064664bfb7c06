"""Coroutines that an error which nobody expected does not end."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.logger import Logger

from savorylead.clock import Clock

#: Time until it begins again. An error that comes each time costs two lines a second.
BEGIN_AGAIN = timedelta(milliseconds=500)

_log = Logger()


async def supervised(
    what: str, clock: Clock, begin: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run ``begin()`` until it returns or is cancelled; an error begins it again."""
    while True:
        try:
            await begin()
        except CancelledError:
            raise
        except Exception:
            _log.failure("{what} failed and begins again", what=what)
        else:
            return
        await clock.sleep(BEGIN_AGAIN)
