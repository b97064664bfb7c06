"""Dispatches requests to routes; answers and counts every failure."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from typing import Any, NamedTuple

from absl import logging
from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure
from twisted.web.server import Request

from savorylead.outcomes import Refusal
from savorylead_daemon.http import (
    BodyFault,
    JsonRequest,
    JsonResource,
    JsonResponse,
    body_fault,
)
from savorylead_daemon.observability import Metrics
from savorylead_daemon.services import RefusedError

from ._admission import AdmissionGate
from ._authorization import read_key
from ._errors import (
    CallError,
    CallErrorCode,
    CallFault,
    call_error_response,
    refusal_status,
)
from ._retry_after import RetryAfter

#: Handles one request; the key is empty for routes without a gate.
KeyedHandler = Callable[[JsonRequest, str], Coroutine[Any, Any, JsonResponse]]
#: Metrics label of requests that reached no route.
NO_ROUTE = "none"
#: Status counted for requests whose client disconnected before the handler ended.
CLIENT_CLOSED_STATUS = 499


class Route(NamedTuple):
    """One method of one path."""

    method: str
    path: str
    #: Name of the route in metrics.
    name: str
    handler: KeyedHandler
    #: Limits concurrent calls; None for probes, which need no key.
    gate: AdmissionGate | None = None


class Router(JsonResource):
    """The root resource of the callers' endpoint."""

    def __init__(
        self, routes: Iterable[Route], metrics: Metrics, retry_after: RetryAfter
    ) -> None:
        super().__init__(self._handle)
        self._metrics = metrics
        self._retry_after = retry_after
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.path, {})[route.method] = route

    def early_rejection(self, request: Request) -> JsonResponse | None:
        """Return the response to a request rejected before routing, or None."""
        error = _early_error(request)
        if error is None:
            return None
        response = self._error_response(error)
        self._metrics.count_request(NO_ROUTE, response.status)
        return response

    async def _handle(self, request: JsonRequest) -> JsonResponse:
        name = NO_ROUTE
        try:
            route = self._find(request)
            name = route.name
            response = await _run(route, request)
        except CancelledError:
            self._metrics.count_request(name, CLIENT_CLOSED_STATUS)
            raise
        except Exception as exc:
            response = self._error_response(exc)
        self._metrics.count_request(name, response.status)
        return response

    def on_client_disconnected(self) -> None:
        """Count a client that disconnected before it was answered."""
        self._metrics.count_call_error(CallErrorCode.CLIENT_GONE)

    def _find(self, request: JsonRequest) -> Route:
        methods = self._routes.get(request.path)
        if methods is None:
            raise CallError(CallErrorCode.NOT_FOUND, "no such path")
        route = methods.get(request.method)
        if route is None:
            allowed = ", ".join(sorted(methods))
            raise CallError(CallErrorCode.METHOD_NOT_ALLOWED, f"allowed: {allowed}")
        return route

    def _error_response(self, exc: Exception) -> JsonResponse:
        if isinstance(exc, CallError):
            return self._call_error_response(exc)
        if isinstance(exc, RefusedError):
            return self._refusal_response(exc)
        logging.error("Request failed: %s", Failure(exc).getTraceback())
        # The text of an unexpected exception may contain data callers must not see.
        error = CallError(CallErrorCode.INTERNAL, "the daemon failed; see its log")
        return self._call_error_response(error)

    def _call_error_response(self, exc: CallError) -> JsonResponse:
        self._metrics.count_call_error(exc.code)
        if exc.status == 400:
            self._metrics.count_refusal(Refusal.BAD_REQUEST)
        fault = CallFault(exc.code, exc.path, exc.detail)
        return call_error_response(
            exc.status, fault, exc.more, retry_after_s=self._retry_after.seconds()
        )

    def _refusal_response(self, exc: RefusedError) -> JsonResponse:
        self._metrics.count_refusal(exc.reason)
        return call_error_response(
            refusal_status(exc.reason),
            CallFault(exc.reason, exc.path, exc.detail),
            retry_after_s=self._retry_after.seconds(exc.reason),
        )


def _early_error(request: Request) -> CallError | None:
    fault = body_fault(request)
    if fault is BodyFault.BUFFERS_FULL:
        return CallError(CallErrorCode.OVERLOADED, "other bodies fill the buffers")
    if fault is BodyFault.TOO_LARGE:
        return CallError(CallErrorCode.BODY_TOO_LARGE, "the body is over the limit")
    keys = request.requestHeaders.getRawHeaders(b"authorization", [])
    if len(keys) > 1:
        # Proxies differ in which of several headers they forward, so none is accepted.
        return CallError(
            CallErrorCode.BAD_AUTHORIZATION, "more than one header Authorization"
        )
    return None


async def _run(route: Route, request: JsonRequest) -> JsonResponse:
    if route.gate is None:
        return await route.handler(request, "")
    key = read_key(request)
    with route.gate.admit(key):
        return await route.handler(request, key)
