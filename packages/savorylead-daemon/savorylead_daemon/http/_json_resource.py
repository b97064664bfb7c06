"""Serves JSON over HTTP from one coroutine."""

from __future__ import annotations

import functools
import io
from collections.abc import Callable, Coroutine, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

import msgspec
from absl import logging
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

#: The largest request body that a site takes unless told otherwise.
DEFAULT_MAX_BODY_BYTES = 4_000_000
#: After this long without a request, a connection is closed.
IDLE_TIMEOUT_S = 90
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class JsonRequest(NamedTuple):
    """One request, whole."""

    #: Upper case, such as "POST".
    method: str
    #: Decoded, without the query; starts with "/".
    path: str
    #: The last value of each parameter.
    query: Mapping[str, str]
    #: By name in lower case; the last value of each.
    headers: Mapping[str, str]
    body: bytes


class JsonResponse(NamedTuple):
    """One answer; the content type is JSON unless ``headers`` says otherwise."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = _NO_HEADERS


class ErrorDocument(msgspec.Struct, frozen=True):
    """Why a request was refused."""

    #: Stable, for programs.
    code: str
    #: For people.
    detail: str
    #: JSON path of the field at fault.
    path: str = "$"


class HttpError(Exception):
    """Answers the request with a status and a typed error document.

    The body is ``{"error": {"code": ..., "detail": ..., "path": ...}}``.
    """

    def __init__(
        self, status: int, code: str, detail: str = "", path: str = "$"
    ) -> None:
        super().__init__(f"{status} {code}: {detail}")
        self.status = status
        self.document = ErrorDocument(code, detail, path)

    def response(self) -> JsonResponse:
        """Return the answer that tells this error."""
        return json_response(self.status, {"error": self.document})


def json_response(status: int, content: Any) -> JsonResponse:
    """Return an answer whose body is ``content`` in JSON."""
    return JsonResponse(status, msgspec.json.encode(content))


#: Answers one request. It may raise HttpError, or what the resource's error
#: mapping knows. It is cancelled when the client disconnects.
JsonHandler = Callable[[JsonRequest], Coroutine[Any, Any, JsonResponse]]
#: Returns the answer to an exception, or None if it is not known.
ErrorMapping = Callable[[Exception], JsonResponse | None]


def _maps_nothing(exc: Exception) -> JsonResponse | None:
    return None


class JsonResource(Resource):
    """Hands each request, whatever its path, to one coroutine function.

    An exception that neither is an HttpError nor is known to ``error_mapping``
    is logged and answered with status 500 and the code "internal".
    """

    isLeaf = True  # noqa: N815 - the name is Twisted's.

    def __init__(
        self, handler: JsonHandler, error_mapping: ErrorMapping = _maps_nothing
    ) -> None:
        super().__init__()
        self._handler = handler
        self._error_mapping = error_mapping

    def render(self, request: Request) -> int:
        """Start the handler for one request, unless it is refused before."""
        refusal = self.refuse(request)
        if refusal is not None:
            _write(request, refusal)
            return NOT_DONE_YET
        _Exchange(request, self._error_mapping).run(self._handler(_read(request)))
        return NOT_DONE_YET

    def refuse(self, request: Request) -> JsonResponse | None:
        """Return the answer to a request that the handler must not see, or None."""
        if not is_body_too_large(request):
            return None
        error = HttpError(413, "body_too_large", "the body is over the limit")
        return error.response()


def is_body_too_large(request: Request) -> bool:
    """Return whether the body exceeded the site's limit and was dropped."""
    return getattr(request, "body_too_large", False)


class _Exchange:
    """One request whose handler runs."""

    def __init__(self, request: Request, error_mapping: ErrorMapping) -> None:
        self._request = request
        self._error_mapping = error_mapping
        self._disconnected = False

    def run(self, handling: Coroutine[Any, Any, JsonResponse]) -> None:
        """Answer with the result of the handler, unless the client leaves first."""
        answer = Deferred.fromCoroutine(handling)
        self._request.notifyFinish().addErrback(self._cancel, answer)
        answer.addErrback(self._explain)
        answer.addCallback(self._respond)
        answer.addErrback(_log_unwritten)

    def _cancel(self, _: Failure, answer: Deferred[JsonResponse]) -> None:
        self._disconnected = True
        answer.cancel()

    def _explain(self, failure: Failure) -> JsonResponse:
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


class _LimitedRequest(Request):
    """Keeps the body in memory and drops what exceeds the site's limit."""

    body_too_large = False

    def __init__(self, max_body_bytes: int, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._max_body_bytes = max_body_bytes
        self._room_bytes = max_body_bytes

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare for a body of ``length`` bytes, or of unknown length."""
        super().gotLength(0)
        self.content = io.BytesIO()
        self.body_too_large = length is not None and length > self._room_bytes

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body."""
        self._room_bytes -= len(data)
        if self._room_bytes < -self._max_body_bytes:
            self.channel.forceAbortClient()
            return
        if self._room_bytes < 0:
            self.body_too_large = True
        if not self.body_too_large:
            self.content.write(data)


class JsonSite(Site):
    """A listening factory without an access log and with a body limit.

    A request over the limit is answered with 413, and a connection that sends
    more than twice the limit is cut.
    """

    def __init__(
        self,
        resource: Resource,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        factory = functools.partial(_LimitedRequest, max_body_bytes)
        super().__init__(resource, factory, timeout=idle_timeout_s)
        self.displayTracebacks = False

    def log(self, request: Request) -> None:
        """Write no line per request; metrics count them."""


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


def _log_unwritten(failure: Failure) -> None:
    logging.error("Answer could not be written: %s", failure.getTraceback())
