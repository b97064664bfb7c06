"""Background coroutines."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure

_log = Logger()


def spawn(what: str, coroutine: Coroutine[Any, Any, Any]) -> Deferred[None]:
    """Run a coroutine in the background; an exception it raises is logged.

    Cancelling the returned Deferred cancels the coroutine.
    """
    running: Deferred[Any] = Deferred.fromCoroutine(coroutine)
    running.addCallbacks(lambda _: None, _log_failure, errbackArgs=(what,))
    return running


def _log_failure(failure: Failure, what: str) -> None:
    if not failure.check(CancelledError):
        _log.failure("{what} failed", failure, what=what)
