"""Serves JSON over HTTP from one coroutine."""

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
        exchange = _Exchange(request, self._error_mapping, self.client_left)
        exchange.run(self._handler(_read(request)))
        return NOT_DONE_YET

    def client_left(self) -> None:
        """Take note that a client left before it was answered."""

    def refuse(self, request: Request) -> JsonResponse | None:
        """Return the answer to a request that the handler must not see, or None."""
        fault = body_fault(request)
        if fault is None:
            return None
        if fault is BodyFault.NO_ROOM:
            return HttpError(503, "overloaded", "no room for the body").response()
        error = HttpError(413, "body_too_large", "the body is over the limit")
        return error.response()


class _Exchange:
    """One request whose handler runs."""

    def __init__(
        self,
        request: Request,
        error_mapping: ErrorMapping,
        on_client_left: Callable[[], None],
    ) -> None:
        self._request = request
        self._error_mapping = error_mapping
        self._on_client_left = on_client_left
        self._disconnected = False

    def run(self, handling: Coroutine[Any, Any, JsonResponse]) -> None:
        """Answer with the result of the handler, unless the client leaves first."""
        answer = Deferred.fromCoroutine(handling)
        site = self._request.site
        if isinstance(site, JsonSite):
            site.open_answers.add(answer)
            answer.addBoth(_forget, site.open_answers, answer)
        self._request.notifyFinish().addErrback(self._cancel, answer)
        answer.addErrback(self._explain)
        answer.addCallback(self._respond)
        answer.addErrback(_log_unwritten)

    def _cancel(self, _: Failure, answer: Deferred[JsonResponse]) -> None:
        self._disconnected = True
        self._on_client_left()
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


def _forget(result: Any, answers: set[Deferred[Any]], answer: Deferred[Any]) -> Any:
    answers.discard(answer)
    return result


def _log_unwritten(failure: Failure) -> None:
    logging.error("Answer could not be written: %s", failure.getTraceback())
