"""HTTP routes of the callers' interface, which delegate to CallerService."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from savorylead.journal import Phase
from savorylead.outcomes import NotRun
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
    call_error_response,
    refusal_status,
    shielded,
)
from savorylead_daemon.services import (
    Admitted,
    CallerService,
    RefusedError,
    RequestName,
    SubmitReply,
    TaskView,
)
from savorylead_daemon.settings import LimitSettings

from ._bodies import BodyReader
from ._encoding import reply_document, task_page_document, task_view_document

#: Tasks in one page of a list unless the caller sets a limit.
DEFAULT_PAGE_TASKS = 100
MAX_PAGE_TASKS = 1_000
#: HTTP status of a submit whose effect is unknown.
UNKNOWN_STATUS = 504


def caller_routes(
    service: CallerService,
    metrics: Metrics,
    limits: LimitSettings,
    retry_after: RetryAfter,
) -> list[Route]:
    """Return the routes of the callers' interface."""
    handlers = _CallerHandlers(service, metrics, limits, retry_after)
    calls = AdmissionGate(limits.calls_at_once, limits.calls_at_once_per_key)
    waits = AdmissionGate(limits.waits_at_once, limits.waits_at_once_per_key)
    return [
        Route("POST", "/v1/tasks", "submit", handlers.submit, calls),
        Route("GET", "/v1/tasks", "list_tasks", handlers.list_tasks, calls),
        Route("POST", "/v1/answers", "answers", handlers.answers, waits),
        Route("POST", "/v1/cancel", "cancel", handlers.cancel, calls),
    ]


class _CallerHandlers:
    """One method for each route."""

    def __init__(
        self,
        service: CallerService,
        metrics: Metrics,
        limits: LimitSettings,
        retry_after: RetryAfter,
    ) -> None:
        self._service = service
        self._metrics = metrics
        self._bodies = BodyReader(limits.tasks_per_call, limits.answer_wait)
        self._retry_after = retry_after

    async def submit(self, request: JsonRequest, key: str) -> JsonResponse:
        """Accept one task or an array of tasks."""
        body = self._bodies.read_submit(request.body)
        try:
            replies = await shielded(self._service.submit(key, body.tasks))
        except RefusedError as exc:
            raise _relative_to_body(exc, body.single) from exc
        self._check_count(replies, body.tasks)
        for reply in replies:
            if isinstance(reply, NotRun):
                self._metrics.count_refusal(reply.reason)
        documents = {"replies": [reply_document(reply) for reply in replies]}
        if body.single:
            return self._single_response(replies[0], documents)
        return json_response(200, documents)

    async def answers(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return tasks, waiting until the first of them has an outcome."""
        query = self._bodies.read_answers(request.body)
        # A wait changes no state, so it may be cancelled when its client disconnects.
        views = await self._service.answers(key, query.names, query.wait)
        return self._matched_response(views, query.names)

    async def cancel(self, request: JsonRequest, key: str) -> JsonResponse:
        """Cancel tasks."""
        names = self._bodies.read_cancel(request.body)
        views = await shielded(self._service.cancel(key, names))
        return self._matched_response(views, names)

    async def list_tasks(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return one page of the list of a workspace's tasks."""
        query = Parameters(request.query, ("workspace", "phase", "limit", "after"))
        page = await self._service.list_tasks(
            key,
            query.required("workspace"),
            query.choice("phase", list(Phase)),
            query.count("limit", DEFAULT_PAGE_TASKS, MAX_PAGE_TASKS),
            query.text("after"),
        )
        return json_response(200, task_page_document(page))

    def _single_response(
        self, reply: SubmitReply, documents: dict[str, Any]
    ) -> JsonResponse:
        """Return the response to a single task; its status reflects the reply."""
        if isinstance(reply, Admitted):
            return json_response(200, documents)
        if isinstance(reply, NotRun):
            return call_error_response(
                refusal_status(reply.reason),
                CallFault(reply.reason, "$", reply.detail),
                extra=documents,
                retry_after_s=self._retry_after.seconds(reply.reason),
            )
        return call_error_response(
            UNKNOWN_STATUS,
            CallFault("unknown", "$", reply.detail),
            extra=documents,
            retry_after_s=self._retry_after.seconds(),
        )

    def _matched_response(
        self, views: Sequence[TaskView], names: Sequence[RequestName]
    ) -> JsonResponse:
        """Return the views; raises CallError unless they match the names in order."""
        self._check_count(views, names)
        for view, name in zip(views, names, strict=True):
            if (view.task.workspace, view.task.request) != name:
                raise CallError(
                    CallErrorCode.DAMAGED_ANSWER,
                    f"asked for {name.request}, got the answer of {view.task}",
                )
        documents = [task_view_document(view) for view in views]
        return json_response(200, {"tasks": documents})

    def _check_count(self, answers: Sequence[Any], requests: Sequence[Any]) -> None:
        if len(answers) != len(requests):
            raise CallError(
                CallErrorCode.DAMAGED_ANSWER,
                f"{len(answers)} answers to {len(requests)} questions; ask again",
            )


def _relative_to_body(exc: RefusedError, single: bool) -> RefusedError:
    """Return the refusal with its path relative to the body as it was sent."""
    if not single or not exc.path.startswith("$[0]"):
        return exc
    path = "$" + exc.path.removeprefix("$[0]")
    return RefusedError(exc.reason, exc.detail, path)
