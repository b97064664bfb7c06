"""Keeps work going after the one who asked for it has left."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

T = TypeVar("T")


def shielded(work: Coroutine[Any, Any, T]) -> Deferred[T]:
    """Run ``work`` to its end even if the Deferred that is returned is cancelled.

    A client that disconnects must not interrupt a change half-way: other callers'
    changes may travel in the same write.
    """
    outcome: Deferred[T] = Deferred()
    Deferred.fromCoroutine(work).chainDeferred(outcome)
    return outcome
