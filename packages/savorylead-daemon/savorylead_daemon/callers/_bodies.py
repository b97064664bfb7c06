"""Parses and validates request bodies in full before any service is called."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

from savorylead.documents import json_path
from savorylead_daemon.routing import (
    MAX_FAULTS,
    MAX_FAULTY_ITEMS,
    CallError,
    CallErrorCode,
    CallFault,
    ShapeChecker,
    decode_json,
    raise_faults,
    raise_invalid_body,
)
from savorylead_daemon.services import RequestName, TaskDocument

from ._shapes import (
    AnswersBody,
    CancelBody,
    RequestNameBody,
    TaskBody,
    are_names_valid,
)

_TASK = ShapeChecker(TaskBody)
_TASKS = ShapeChecker(list[TaskBody])
_NAME = ShapeChecker(RequestNameBody)
_ANSWERS = ShapeChecker(AnswersBody)
_CANCEL = ShapeChecker(CancelBody)


class SubmitBody(NamedTuple):
    """The tasks of one submit."""

    tasks: list[TaskDocument]
    #: True if the body was a single object, False if it was an array.
    single: bool


class AnswersRequest(NamedTuple):
    """The tasks whose answers a caller requests, and how long it waits for them."""

    names: list[RequestName]
    wait: timedelta


class BodyReader:
    """Parses bodies; every method raises CallError with the faults of the body."""

    def __init__(self, max_items: int, max_wait: timedelta) -> None:
        self._max_items = max_items
        self._max_wait = max_wait

    def read_submit(self, body: bytes) -> SubmitBody:
        """Return the validated tasks of a submit."""
        value = decode_json(body)
        if isinstance(value, dict):
            return SubmitBody(self._read_tasks([value], single=True), True)
        if not isinstance(value, list):
            detail = "must be a task or an array of tasks"
            raise CallError(CallErrorCode.WRONG_TYPE, detail)
        return SubmitBody(self._read_tasks(value, single=False), False)

    def read_answers(self, body: bytes) -> AnswersRequest:
        """Return the names and the wait, capped at the maximum wait."""
        value = decode_json(body)
        names = self._read_names(value, _ANSWERS)
        wait = min(timedelta(seconds=value.get("wait_s", 0)), self._max_wait)
        return AnswersRequest(names, wait)

    def read_cancel(self, body: bytes) -> list[RequestName]:
        """Return the names of the tasks to cancel."""
        return self._read_names(decode_json(body), _CANCEL)

    def _read_tasks(self, values: list[Any], single: bool) -> list[TaskDocument]:
        self._check_length(len(values), "$")
        if not _TASKS.is_valid(values) or not are_names_valid(_names_in_tasks(values)):
            parts = None if single else ()
            raise_invalid_body(_faults_of_items(_TASK, _names_in_task, values, parts))
        raise_faults(list(_faults_across_fields(values, single)))
        return values

    def _read_names(self, value: Any, checker: ShapeChecker) -> list[RequestName]:
        """Return the names without duplicates, in the order of the body."""
        if isinstance(value, dict) and isinstance(value.get("requests"), list):
            self._check_length(len(value["requests"]), "$.requests")
        if not checker.is_valid(value):
            raise_invalid_body(_faults_of_names(value, checker))
        names = [RequestName(e["workspace"], e["request"]) for e in value["requests"]]
        if not are_names_valid(part for name in names for part in name):
            raise_invalid_body(_faults_of_names(value, checker))
        return list(dict.fromkeys(names))

    def _check_length(self, length: int, path: str) -> None:
        if length == 0:
            raise CallError(CallErrorCode.OUT_OF_RANGE, "must not be empty", path)
        if length > self._max_items:
            detail = f"{length} items; at most {self._max_items} in one call"
            raise CallError(CallErrorCode.TOO_MANY_ITEMS, detail, path)


def _names_in_tasks(tasks: list[TaskDocument]) -> Iterator[str]:
    return itertools.chain.from_iterable(map(_names_in_task, tasks))


def _names_in_task(task: TaskDocument) -> Iterator[str]:
    """Yield the names in a task that has already passed the shape check."""
    yield task["request"]
    yield task["workspace"]
    yield task["queue"]
    if "team" in task:
        yield task["team"]


def _faults_of_names(value: Any, checker: ShapeChecker) -> list[CallFault]:
    """Return the faults of a body with a list of task names."""
    if not isinstance(value, dict) or not isinstance(value.get("requests"), list):
        return checker.faults(value)
    faults = checker.faults({**value, "requests": []})
    items = value["requests"]
    return faults + _faults_of_items(_NAME, dict.values, items, ("requests",))


def _faults_of_items(
    checker: ShapeChecker,
    names_in: Callable[[Any], Iterable[str]],
    values: list[Any],
    parts: tuple[str, ...] | None,
) -> list[CallFault]:
    """Return the faults of the first invalid items.

    ``parts`` is the JSON path of the list in the body; None means that the body is
    itself the only item. Valid items are skipped by the fast check.
    """
    faults: list[CallFault] = []
    bad_items = 0
    for index, value in enumerate(values):
        if checker.is_valid(value) and are_names_valid(names_in(value)):
            continue
        path = () if parts is None else (*parts, index)
        faults.extend(checker.faults(value, path))
        bad_items += 1
        if bad_items >= MAX_FAULTY_ITEMS or len(faults) >= MAX_FAULTS:
            break
    return faults


def _faults_across_fields(
    tasks: list[TaskDocument], single: bool
) -> Iterator[CallFault]:
    first_index: dict[tuple[str, str], int] = {}
    for index, task in enumerate(tasks):
        name = (task["workspace"], task["request"])
        earlier = first_index.setdefault(name, index)
        if earlier != index:
            yield CallFault(
                CallErrorCode.DUPLICATE_REQUEST,
                json_path(*_task_path(index, single), "request"),
                f"the same task as at {json_path(earlier)}",
            )
        if (task["kind"] == "all_at_once") != ("members" in task):
            yield _members_fault(task, [*_task_path(index, single), "members"])


def _members_fault(task: TaskDocument, parts: list[str | int]) -> CallFault:
    if "members" in task:
        return CallFault(
            CallErrorCode.UNKNOWN_FIELD, json_path(*parts), "only for all_at_once"
        )
    return CallFault(
        CallErrorCode.MISSING_FIELD, json_path(*parts), "all_at_once needs it"
    )


def _task_path(index: int, single: bool) -> tuple[str | int, ...]:
    """Return the JSON path of a task in the body, as parts."""
    return () if single else (index,)
