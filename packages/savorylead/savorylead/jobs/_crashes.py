"""Crashes of workers under a task, and the record of them for later leads."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple, NotRequired, TypedDict

import msgspec

from ._records import RecordError


class TaskCrash(NamedTuple):
    """A crash of a worker while a run of the task was on it."""

    #: Id of the worker.
    worker: str
    #: When the worker stopped answering, in Unix milliseconds.
    at_ms: int
    #: How long the run had been there, in milliseconds.
    age_ms: int
    #: Whether no run of the worker was clearly younger, which makes it the likeliest
    #: cause: most crashes come with the start.
    is_youngest: bool
    #: Whether the worker certainly crashed, and had confirmed the run's start. An order
    #: without an answer may have found the worker crashed.
    is_confirmed: bool


class RecordedRun(NamedTuple):
    """A run under which a worker may crash before a lead recognizes it.

    It is a suspect's, recorded before its start was ordered, or it is on a worker that
    does not answer, or it began just before its lead resigned. All times are in Unix
    milliseconds, and 0 if unknown or in a record of an earlier build.
    """

    #: Id of the worker, and the start of its incarnation.
    worker: str
    incarnation_start_ms: int
    #: The run's number.
    number: int
    #: When its start was ordered, and when the worker confirmed it.
    sent_at_ms: int = 0
    confirmed_at_ms: int = 0
    #: Until when it may be about to crash its worker, as a suspect's run.
    suspect_until_ms: int = 0
    #: Since when the worker does not answer, and when it last did.
    silent_since_ms: int = 0
    last_answer_ms: int = 0


class SuspectTask(NamedTuple):
    """A task under which workers have crashed, or may just crash."""

    #: The task's name.
    task: str
    #: Empty if no crash under it is known yet.
    crashes: tuple[TaskCrash, ...]
    #: Its run under which a crash would count; None if there is none.
    recorded_run: RecordedRun | None


class _CrashDocument(TypedDict):
    worker: str
    at_ms: int
    age_ms: int
    is_youngest: bool
    is_confirmed: bool


class _RunDocument(TypedDict):
    worker: str
    incarnation_start_ms: int
    number: int
    # Not in records of ea1850b and before.
    sent_at_ms: NotRequired[int]
    confirmed_at_ms: NotRequired[int]
    suspect_until_ms: NotRequired[int]
    silent_since_ms: NotRequired[int]
    last_answer_ms: NotRequired[int]


# Objects with named fields, so that later versions can add fields to them.
class _SuspectDocument(TypedDict):
    task: str
    crashes: list[_CrashDocument]
    isolated_run: _RunDocument | None


def encode_suspects(suspects: Iterable[SuspectTask]) -> bytes:
    """Return the record of a pool's suspects as a JSON array of objects."""
    return msgspec.json.encode(
        [
            {
                "task": suspect.task,
                "crashes": [crash._asdict() for crash in suspect.crashes],
                "isolated_run": _run_document(suspect.recorded_run),
            }
            for suspect in suspects
        ]
    )


def _run_document(run: RecordedRun | None) -> dict[str, object] | None:
    """Return a run as it is recorded, without the times that are unknown."""
    if run is None:
        return None
    defaults = RecordedRun._field_defaults
    return {k: v for k, v in run._asdict().items() if k not in defaults or v}


def decode_suspects(key: str, value: bytes) -> Sequence[SuspectTask]:
    """Return the suspects stored under ``key``; raises RecordError."""
    try:
        documents = msgspec.json.decode(value, type=list[_SuspectDocument])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise RecordError(key, str(exc)) from exc
    return [_suspect(document) for document in documents]


def _suspect(document: _SuspectDocument) -> SuspectTask:
    run = document["isolated_run"]
    return SuspectTask(
        document["task"],
        tuple(TaskCrash(**crash) for crash in document["crashes"]),
        None if run is None else RecordedRun(**run),
    )
