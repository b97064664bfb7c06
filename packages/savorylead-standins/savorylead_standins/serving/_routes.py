"""What the stand-ins' servers have in common."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead_daemon.http import (
    HttpError,
    JsonHandler,
    JsonRequest,
    JsonResponse,
    json_response,
)

T = TypeVar("T")


def healthz() -> JsonResponse:
    """Answer a heartbeat."""
    return json_response(200, "ok")


def decode_body(req: JsonRequest, kind: type[T]) -> T:
    """Return the body in its type; raises HttpError."""
    try:
        return msgspec.json.decode(req.body, type=kind)
    except msgspec.DecodeError as exc:
        raise HttpError(400, "bad_body", str(exc)) from exc


def parameter(req: JsonRequest, name: str) -> str:
    """Return a parameter of the query; raises HttpError."""
    try:
        return req.query[name]
    except KeyError:
        raise HttpError(400, "missing_parameter", name) from None


def int_parameter(req: JsonRequest, name: str) -> int:
    """Return a whole number of the query; raises HttpError."""
    text = parameter(req, name)
    try:
        return int(text)
    except ValueError:
        raise HttpError(400, "bad_parameter", f"{name}={text}") from None


def never() -> Deferred[Any]:
    """Return a Deferred that fires only when the client goes away."""
    return Deferred()


def detached(work: Coroutine[Any, Any, T]) -> Deferred[T]:
    """Run ``work`` to its end even if its client goes away.

    A real server has taken the request by then, so it may still take effect.
    """
    waiting: Deferred[T] = Deferred()
    running = Deferred.fromCoroutine(work)
    running.addBoth(_pass_on, waiting)
    return waiting


def _pass_on(result: Any, waiting: Deferred[Any]) -> None:
    if waiting.called:
        # It was cancelled: the client is gone.
        return
    if isinstance(result, Failure):
        waiting.errback(result)
    else:
        waiting.callback(result)


def dispatch(routes: dict[tuple[str, str], JsonHandler]) -> JsonHandler:
    """Return a handler that chooses by method and path."""

    async def handle(req: JsonRequest) -> JsonResponse:
        route = routes.get((req.method, req.path))
        if route is None:
            raise HttpError(404, "unknown_path", f"{req.method} {req.path}")
        return await route(req)

    return handle
