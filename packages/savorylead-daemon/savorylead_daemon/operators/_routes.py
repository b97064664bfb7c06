"""HTTP routes of the operators' interface, which delegate to OperatorService."""

from __future__ import annotations

from collections.abc import Coroutine, Sequence
from typing import Annotated, Any, NamedTuple, TypeVar

from msgspec import Meta, Struct

from savorylead.journal import Phase
from savorylead.outcomes import Refusal
from savorylead.store import StoreError
from savorylead_daemon.callers import task_page_document
from savorylead_daemon.http import JsonRequest, JsonResponse, json_response
from savorylead_daemon.observability import Metrics
from savorylead_daemon.routing import (
    AdmissionGate,
    CallError,
    CallErrorCode,
    CallFault,
    Parameters,
    RetryAfter,
    Route,
    ShapeChecker,
    call_error_response,
    decode_json,
    raise_invalid_body,
    shielded,
)
from savorylead_daemon.services import (
    ConfigApplied,
    ConfigConflict,
    ConfigRejected,
    OperatorService,
    RefusedError,
)

T = TypeVar("T")

#: Concurrent calls of operators. They are limited separately from those of callers, so
#: that a high load of callers can't lock the operators out.
OPERATOR_CALLS_AT_ONCE = 32
#: Concurrent calls of operators with the same key.
OPERATOR_CALLS_AT_ONCE_PER_KEY = 16
DEFAULT_PAGE_TASKS = 100
MAX_PAGE_TASKS = 1_000


class ApplyBody(Struct, forbid_unknown_fields=True):
    """A complete configuration and the revision that it replaces."""

    #: Validated by the service, which implements the rules of a configuration.
    document: dict[str, Any]
    expected_revision: Annotated[int, Meta(ge=0)]


_APPLY = ShapeChecker(ApplyBody)


def operator_routes(
    service: OperatorService, metrics: Metrics, retry_after: RetryAfter
) -> list[Route]:
    """Return the routes of the operators' interface."""
    handlers = _OperatorHandlers(service, metrics, retry_after)
    gate = AdmissionGate(OPERATOR_CALLS_AT_ONCE, OPERATOR_CALLS_AT_ONCE_PER_KEY)
    reads = {
        "config": handlers.read_config,
        "members": handlers.members,
        "shards": handlers.shards,
        "workers": handlers.workers,
        "teams": handlers.teams,
        "tasks": handlers.tasks,
    }
    routes = [
        Route("GET", f"/v1/operators/{name}", f"operators_{name}", handler, gate)
        for name, handler in reads.items()
    ]
    apply = Route(
        "POST", "/v1/operators/config", "operators_apply", handlers.apply, gate
    )
    return [*routes, apply]


class _OperatorHandlers:
    """One method for each route."""

    def __init__(
        self, service: OperatorService, metrics: Metrics, retry_after: RetryAfter
    ) -> None:
        self._service = service
        self._metrics = metrics
        self._retry_after = retry_after

    async def read_config(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return the newest configuration and its revision."""
        Parameters(request.query, ())
        view = await self._read(self._service.read_config(key))
        return json_response(200, view._asdict())

    async def apply(self, request: JsonRequest, key: str) -> JsonResponse:
        """Replace the configuration if its revision equals the expected one."""
        body = decode_json(request.body)
        if not _APPLY.is_valid(body):
            raise_invalid_body(_APPLY.faults(body))
        applying = self._service.apply_config(
            key, body["document"], body["expected_revision"]
        )
        try:
            result = await shielded(applying)
        except StoreError as exc:
            # The write may have taken effect, so the operator must read the
            # configuration before applying it again.
            raise CallError(
                CallErrorCode.CHANGE_UNKNOWN,
                f"{type(exc).__name__}: read the configuration before applying again",
            ) from exc
        return self._applied_response(result)

    async def members(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return every daemon."""
        Parameters(request.query, ())
        return _list_response("members", await self._read(self._service.members(key)))

    async def shards(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return every shard."""
        Parameters(request.query, ())
        return _list_response("shards", await self._read(self._service.shards(key)))

    async def workers(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return the workers of one shard or of all."""
        shard = Parameters(request.query, ("shard",)).text("shard")
        views = await self._read(self._service.workers(key, shard))
        return _list_response("workers", views)

    async def teams(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return every team."""
        Parameters(request.query, ())
        return _list_response("teams", await self._read(self._service.teams(key)))

    async def tasks(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return one page of the tasks of one team or of all."""
        query = Parameters(request.query, ("team", "phase", "limit", "after"))
        reading = self._service.tasks(
            key,
            query.text("team"),
            query.choice("phase", list(Phase)),
            query.count("limit", DEFAULT_PAGE_TASKS, MAX_PAGE_TASKS),
            query.text("after"),
        )
        return json_response(200, task_page_document(await self._read(reading)))

    async def _read(self, reading: Coroutine[Any, Any, T]) -> T:
        try:
            return await reading
        except StoreError as exc:
            raise RefusedError(Refusal.STORE_UNAVAILABLE, type(exc).__name__) from exc

    def _applied_response(
        self, result: ConfigApplied | ConfigConflict | ConfigRejected
    ) -> JsonResponse:
        match result:
            case ConfigApplied(revision):
                return json_response(200, {"revision": revision})
            case ConfigConflict(revision, document):
                return self._refuse(
                    CallErrorCode.CONFIG_CONFLICT,
                    f"the configuration is at revision {revision}",
                    {"revision": revision, "document": document},
                )
            case ConfigRejected(faults):
                documents = [fault._asdict() for fault in faults]
                return self._refuse(
                    CallErrorCode.CONFIG_REJECTED,
                    f"{len(faults)} faults in the document",
                    {"config_faults": documents},
                )

    def _refuse(
        self, code: CallErrorCode, detail: str, extra: dict[str, Any]
    ) -> JsonResponse:
        self._metrics.count_call_error(code)
        error = CallError(code, detail)
        return call_error_response(
            error.status, CallFault(code, "$.document", detail), extra=extra
        )


def _list_response(name: str, views: Sequence[NamedTuple]) -> JsonResponse:
    return json_response(200, {name: [_to_document(view) for view in views]})


def _to_document(value: Any) -> Any:
    """Convert named tuples, including nested ones, to dictionaries."""
    if hasattr(value, "_asdict"):
        return {name: _to_document(each) for name, each in value._asdict().items()}
    return value
