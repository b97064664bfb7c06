"""Crashes of workers under a task, and the record of them for later leads."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypedDict

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


class IsolatedRun(NamedTuple):
    """A suspect's run, recorded before its start was ordered."""

    #: Id of the worker, and the start of its incarnation in Unix milliseconds.
    worker: str
    incarnation_start_ms: int
    #: The run's number.
    number: int


class SuspectTask(NamedTuple):
    """A task under which workers have crashed."""

    #: The task's name.
    task: str
    crashes: tuple[TaskCrash, ...]
    #: The last run that was started while the task was a suspect, if any.
    isolated_run: IsolatedRun | None


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
                "isolated_run": suspect.isolated_run and suspect.isolated_run._asdict(),
            }
            for suspect in suspects
        ]
    )


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
        None if run is None else IsolatedRun(**run),
    )
