"""Runs coroutines on a real reactor from tests that are plain functions."""

from __future__ import annotations

import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.process import reapAllProcesses
from twisted.internet.task import LoopingCall
from twisted.internet.threads import blockingCallFromThread

T = TypeVar("T")

#: Time between two looks for processes that have ended. A reactor in a thread hears no
#: SIGCHLD, and one look when the pipes close may come before the process is over.
REAP_EVERY_S = 0.1
#: Keeps a test that would hang from hanging the whole run.
LIMIT_S = 60.0
_lock = threading.Lock()


def run_on_reactor(work: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run ``work()`` on the reactor's thread and return its result.

    Work that takes longer than LIMIT_S is given up with a TimeoutError.
    """
    _start_reactor()

    def begin() -> Deferred[T]:
        return Deferred.fromCoroutine(work()).addTimeout(LIMIT_S, reactor)

    return blockingCallFromThread(reactor, begin)


def _start_reactor() -> None:
    """Start the reactor in a thread that ends with the process."""
    with _lock:
        if reactor.running:
            return
        started = threading.Event()
        reactor.callWhenRunning(started.set)
        reaping = LoopingCall(reapAllProcesses)
        reactor.callWhenRunning(reaping.start, REAP_EVERY_S)
        threading.Thread(
            target=reactor.run, args=(False,), name="reactor", daemon=True
        ).start()
        started.wait()
