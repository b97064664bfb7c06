"""The closed set of error codes of the HTTP interface, and their statuses."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec

from savorylead.outcomes import Refusal
from savorylead_daemon.http import JsonResponse


class CallErrorCode(enum.StrEnum):
    """Why a call was refused before it reached a service; also a metrics label."""

    BAD_JSON = "bad_json"
    WRONG_TYPE = "wrong_type"
    UNKNOWN_FIELD = "unknown_field"
    MISSING_FIELD = "missing_field"
    #: A number, or a text's or list's length, is outside its bounds.
    OUT_OF_RANGE = "out_of_range"
    #: A string is not one of the allowed values, or has a forbidden character.
    BAD_VALUE = "bad_value"
    #: The same task occurs twice in one call.
    DUPLICATE_REQUEST = "duplicate_request"
    #: A query parameter is unknown, missing or malformed.
    BAD_PARAMETER = "bad_parameter"
    MISSING_KEY = "missing_key"
    BAD_AUTHORIZATION = "bad_authorization"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_ITEMS = "too_many_items"
    OVERLOADED = "overloaded"
    #: Another change of the configuration was applied first.
    CONFIG_CONFLICT = "config_conflict"
    CONFIG_REJECTED = "config_rejected"
    #: The store did not answer, so a change may or may not have been applied.
    CHANGE_UNKNOWN = "change_unknown"
    #: The answer does not match its digest or its request.
    DAMAGED_ANSWER = "damaged_answer"
    #: The client disconnected before the answer; only metrics have this code.
    CLIENT_GONE = "client_gone"
    INTERNAL = "internal"


_CODE_STATUSES: Mapping[CallErrorCode, int] = MappingProxyType(
    {
        CallErrorCode.MISSING_KEY: 401,
        CallErrorCode.BAD_AUTHORIZATION: 401,
        CallErrorCode.NOT_FOUND: 404,
        CallErrorCode.METHOD_NOT_ALLOWED: 405,
        CallErrorCode.CONFIG_CONFLICT: 409,
        CallErrorCode.BODY_TOO_LARGE: 413,
        CallErrorCode.TOO_MANY_ITEMS: 413,
        CallErrorCode.CONFIG_REJECTED: 422,
        CallErrorCode.CLIENT_GONE: 499,
        CallErrorCode.INTERNAL: 500,
        CallErrorCode.DAMAGED_ANSWER: 502,
        CallErrorCode.OVERLOADED: 503,
        CallErrorCode.CHANGE_UNKNOWN: 504,
    }
)

_REFUSAL_STATUSES: Mapping[Refusal, int] = MappingProxyType(
    {
        Refusal.BAD_REQUEST: 400,
        Refusal.UNKNOWN_KEY: 401,
        Refusal.KEY_WITHDRAWN: 401,
        Refusal.WRONG_TEAM: 403,
        Refusal.QUEUE_CLOSED: 403,
        Refusal.ID_REUSED: 409,
        Refusal.DEADLINE_PASSED: 410,
        Refusal.TOMBSTONE: 410,
        Refusal.UNKNOWN_WORKSPACE: 422,
        Refusal.UNKNOWN_QUEUE: 422,
        Refusal.IMPOSSIBLE: 422,
        Refusal.OVER_LIMIT: 422,
        Refusal.ATTEMPTS_EXHAUSTED: 422,
        Refusal.QUEUE_FULL: 429,
        Refusal.STORE_UNAVAILABLE: 503,
        Refusal.NO_LEAD: 503,
        Refusal.CONFIG_STALE: 503,
        Refusal.SHUTTING_DOWN: 503,
    }
)
#: Statuses whose responses carry the Retry-After header.
RETRY_STATUSES = frozenset({429, 502, 503, 504})


class CallFault(NamedTuple):
    """One fault of a call."""

    code: str
    #: JSON path of the field in the body, or "?name" for a query parameter.
    path: str
    detail: str


class CallError(Exception):
    """The call was refused before it reached a service, for one or more faults."""

    def __init__(
        self,
        code: CallErrorCode,
        detail: str = "",
        path: str = "$",
        more: Sequence[CallFault] = (),
    ) -> None:
        super().__init__(f"{code} at {path}: {detail}")
        self.code = code
        self.detail = detail
        self.path = path
        #: Other faults of the same call.
        self.more = tuple(more)

    @property
    def status(self) -> int:
        """The HTTP status."""
        return _CODE_STATUSES.get(self.code, 400)


def refusal_status(reason: Refusal) -> int:
    """Return the HTTP status of a call that is refused as a whole for ``reason``."""
    return _REFUSAL_STATUSES[reason]


def call_error_response(
    status: int,
    fault: CallFault,
    more: Sequence[CallFault] = (),
    extra: Mapping[str, Any] = MappingProxyType({}),
    retry_after_s: int = 0,
) -> JsonResponse:
    """Return an error response; all errors have the same format.

    ``extra`` adds fields beside "error"; ``retry_after_s`` of 0 omits the Retry-After
    header.
    """
    content: dict[str, Any] = {"error": fault._asdict(), **extra}
    if more:
        content["faults"] = [each._asdict() for each in (fault, *more)]
    headers = {}
    if status == 401:
        headers["www-authenticate"] = 'Bearer realm="savorylead"'
    if retry_after_s and status in RETRY_STATUSES:
        headers["retry-after"] = str(retry_after_s)
    return JsonResponse(status, msgspec.json.encode(content), headers)
