"""Protects coroutines from cancellation when their client disconnects."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

T = TypeVar("T")


def shielded(work: Coroutine[Any, Any, T]) -> Deferred[T]:
    """Run ``work`` to completion even if the returned Deferred is cancelled.

    A client that disconnects must not interrupt a change midway: the same write may
    contain the changes of other callers.
    """
    outcome: Deferred[T] = Deferred()
    Deferred.fromCoroutine(work).chainDeferred(outcome)
    return outcome
