"""The durable records of a job and their encoding."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ._spec import JobSpec, SpecError, check_spec


class JobRecord(NamedTuple):
    """The immutable record of an accepted job."""

    #: The id that the caller chose.
    id: str
    #: The pool whose workers run it.
    pool: str
    #: The queue to which it was submitted.
    queue: str
    team: str
    #: When it was accepted, in Unix milliseconds.
    accepted_at_ms: int
    spec: JobSpec


class StepProgress(NamedTuple):
    """Progress of the tasks of a step's occurrence."""

    occurrence: int
    step: int
    all_done: bool
    #: Indices of the done tasks; empty if all are done.
    done: tuple[int, ...]
    #: Numbers of failed runs by task index; those of a gang under -1.
    failed: tuple[tuple[int, tuple[int, ...]], ...]


class ProgressRecord(NamedTuple):
    """The record of a job's progress, rewritten by the lead when tasks end."""

    #: The final state; empty before.
    state: str
    started: bool
    #: When the final state was reached, in Unix milliseconds; 0 before.
    ended_at_ms: int
    #: Empty once the job has a final state.
    steps: tuple[StepProgress, ...]


class RecordError(Exception):
    """A stored record can't be decoded or does not match its job."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


def encode_job(record: JobRecord) -> bytes:
    """Return the record as a JSON array."""
    return msgspec.json.encode(record)


def decode_job(key: str, value: bytes) -> JobRecord:
    """Return the record stored under ``key``; raises RecordError.

    The specification is checked again, since a daemon of another version may have
    accepted values that this one can't compute with.
    """
    try:
        record = msgspec.json.decode(value, type=JobRecord)
        check_spec(record.spec)
    except (msgspec.DecodeError, SpecError) as exc:
        raise RecordError(key, str(exc)) from exc
    return record


def encode_progress(record: ProgressRecord) -> bytes:
    """Return the record as a JSON array."""
    return msgspec.json.encode(record)


def decode_progress(key: str, value: bytes) -> ProgressRecord:
    """Return the record stored under ``key``; raises RecordError."""
    try:
        return msgspec.json.decode(value, type=ProgressRecord)
    except msgspec.DecodeError as exc:
        raise RecordError(key, str(exc)) from exc
