"""Runs several coroutines concurrently and waits for them."""

from __future__ import annotations

from collections.abc import Coroutine, Iterable
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, DeferredList, FirstError

T = TypeVar("T")


async def gather(coroutines: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """Run coroutines concurrently and return their results in order.

    The first error cancels the others and is raised.
    """
    deferreds = [Deferred.fromCoroutine(c) for c in coroutines]
    try:
        results = await DeferredList(
            deferreds, fireOnOneErrback=True, consumeErrors=True
        )
    except FirstError as exc:
        raise exc.subFailure.value from None
    finally:
        _cancel_all(deferreds)
    return [result for _, result in results]


async def first_of(coroutines: Iterable[Coroutine[Any, Any, object]]) -> None:
    """Run coroutines concurrently until one returns, and cancel the others.

    A coroutine that raises counts as returned.
    """
    deferreds = [Deferred.fromCoroutine(c) for c in coroutines]
    try:
        await DeferredList(
            deferreds,
            fireOnOneCallback=True,
            fireOnOneErrback=True,
            consumeErrors=True,
        )
    except FirstError:
        return
    finally:
        _cancel_all(deferreds)


def _cancel_all(deferreds: list[Deferred[Any]]) -> None:
    for deferred in deferreds:
        deferred.addErrback(lambda _: None)
        deferred.cancel()
