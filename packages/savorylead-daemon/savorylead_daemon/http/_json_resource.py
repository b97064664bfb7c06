"""Serves JSON over HTTP with one coroutine function."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

import msgspec
from absl import logging
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from ._json_site import BodyFault, JsonSite, body_fault

_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class JsonRequest(NamedTuple):
    """A complete request."""

    #: Upper case, such as "POST".
    method: str
    #: Percent-decoded, without the query; starts with "/".
    path: str
    #: The last value of each parameter.
    query: Mapping[str, str]
    #: By name in lower case; the last value of each.
    headers: Mapping[str, str]
    body: bytes


class JsonResponse(NamedTuple):
    """A response; its content type is JSON unless ``headers`` sets another."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = _NO_HEADERS


class ErrorDocument(msgspec.Struct, frozen=True):
    """Why a request was refused."""

    #: Stable identifier, for programs.
    code: str
    #: Explanation, for people.
    detail: str
    #: JSON path of the field at fault.
    path: str = "$"


class HttpError(Exception):
    """Makes the response a status with a typed error document.

    The body is ``{"error": {"code": ..., "detail": ..., "path": ...}}``.
    """

    def __init__(
        self, status: int, code: str, detail: str = "", path: str = "$"
    ) -> None:
        super().__init__(f"{status} {code}: {detail}")
        self.status = status
        self.document = ErrorDocument(code, detail, path)

    def response(self) -> JsonResponse:
        """Return the response that reports this error."""
        return json_response(self.status, {"error": self.document})


def json_response(status: int, content: Any) -> JsonResponse:
    """Return a response whose body is ``content`` in JSON."""
    return JsonResponse(status, msgspec.json.encode(content))


#: Handles one request. It may raise HttpError, or an exception that the resource's
#: error mapping covers. It is cancelled when the client disconnects.
JsonHandler = Callable[[JsonRequest], Coroutine[Any, Any, JsonResponse]]
#: Returns the response for an exception, or None if the mapping does not cover it.
ErrorMapping = Callable[[Exception], JsonResponse | None]


def _maps_nothing(exc: Exception) -> JsonResponse | None:
    return None


class JsonResource(Resource):
    """Passes each request, whatever its path, to one coroutine function.

    An exception that is neither an HttpError nor covered by ``error_mapping`` is
    logged and answered with status 500 and the code "internal".
    """

    isLeaf = True  # noqa: N815 - the name is Twisted's.

    def __init__(
        self, handler: JsonHandler, error_mapping: ErrorMapping = _maps_nothing
    ) -> None:
        super().__init__()
        self._handler = handler
        self._error_mapping = error_mapping

    def render(self, request: Request) -> int:
        """Start the handler for a request, unless the request is rejected first."""
        refusal = self.early_rejection(request)
        if refusal is not None:
            _write(request, refusal)
            return NOT_DONE_YET
        exchange = _Exchange(request, self._error_mapping, self.on_client_disconnected)
        exchange.run(self._handler(_read(request)))
        return NOT_DONE_YET

    def on_client_disconnected(self) -> None:
        """Handle a client that disconnected before the response; for subclasses."""

    def early_rejection(self, request: Request) -> JsonResponse | None:
        """Return the response to a request that must not reach the handler, or None."""
        fault = body_fault(request)
        if fault is None:
            return None
        if fault is BodyFault.BUFFERS_FULL:
            return HttpError(503, "overloaded", "no room for the body").response()
        error = HttpError(413, "body_too_large", "the body is over the limit")
        return error.response()


class _Exchange:
    """A request whose handler is running."""

    def __init__(
        self,
        request: Request,
        error_mapping: ErrorMapping,
        on_disconnect: Callable[[], None],
    ) -> None:
        self._request = request
        self._error_mapping = error_mapping
        self._on_disconnect = on_disconnect
        self._disconnected = False

    def run(self, handling: Coroutine[Any, Any, JsonResponse]) -> None:
        """Respond with the handler's result, unless the client disconnects first."""
        answer = Deferred.fromCoroutine(handling)
        site = self._request.site
        if isinstance(site, JsonSite):
            site.pending_results.add(answer)
            answer.addBoth(_discard_answer, site.pending_results, answer)
        self._request.notifyFinish().addErrback(self._cancel, answer)
        answer.addErrback(self._error_response)
        answer.addCallback(self._respond)
        answer.addErrback(_log_write_failure)

    def _cancel(self, _: Failure, answer: Deferred[JsonResponse]) -> None:
        self._disconnected = True
        self._on_disconnect()
        answer.cancel()

    def _error_response(self, failure: Failure) -> JsonResponse:
        exc = failure.value
        if isinstance(exc, HttpError):
            return exc.response()
        if isinstance(exc, CancelledError):
            return HttpError(503, "cancelled", "the server gave up").response()
        response = self._error_mapping(exc)
        if response is not None:
            return response
        logging.error("Request failed: %s", failure.getTraceback())
        return HttpError(500, "internal", type(exc).__name__).response()

    def _respond(self, response: JsonResponse) -> None:
        if not self._disconnected:
            _write(self._request, response)


def _read(request: Request) -> JsonRequest:
    path, _, query = request.uri.partition(b"?")
    headers = {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
    return JsonRequest(
        request.method.decode("latin-1"),
        unquote(path.decode("latin-1")),
        dict(parse_qsl(query.decode("latin-1"), keep_blank_values=True)),
        headers,
        request.content.read(),
    )


def _write(request: Request, response: JsonResponse) -> None:
    request.setResponseCode(response.status)
    headers = request.responseHeaders
    headers.setRawHeaders(b"content-type", [b"application/json"])
    headers.setRawHeaders(b"content-length", [b"%d" % len(response.body)])
    for name, value in response.headers.items():
        headers.setRawHeaders(name.encode(), [value.encode()])
    request.write(response.body)
    request.finish()


def _discard_answer(
    result: Any, answers: set[Deferred[Any]], answer: Deferred[Any]
) -> Any:
    answers.discard(answer)
    return result


def _log_write_failure(failure: Failure) -> None:
    logging.error("Response could not be written: %s", failure.getTraceback())
