"""The record of learned durations, from which a later lead goes on."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

import msgspec

from savorylead.jobs import RecordError

from ._queue_regression import QueueMoments
from ._worker_speeds import MAX_WORKERS, WorkerSpeed

VERSION = 1
#: Queues of which durations are kept, so that memory and the record are bounded.
MAX_QUEUES = 64
#: Largest record in bytes.
MAX_BYTES = 65_536
#: Longest recorded name of a queue or worker, in bytes of JSON.
MAX_NAME_BYTES = 256
#: Largest absolute value of a recorded number, other than a count or a time. Logarithms
#: of durations of thousands of years are below it, and e to some times its power is a
#: float.
MAX_NUMBER = 50.0
#: Largest recorded count. Beyond it, counts make no difference.
MAX_COUNT = 1_000_000.0
#: Decimals of recorded numbers, an error of 0.01% of a duration.
DECIMALS = 4


class DurationRecord(NamedTuple):
    """What is learned of queues and workers, least recently observed first."""

    queues: Mapping[str, QueueMoments]
    workers: dict[str, WorkerSpeed]


class _Document(TypedDict):
    version: int
    queues: dict[str, tuple[float, float, float, float, float, float, float]]
    workers: dict[str, tuple[float, float, int]]


class _Version(TypedDict):
    version: int


def encode_durations(record: DurationRecord) -> bytes:
    """Return the record as JSON.

    The least recently observed workers are left out if it would become too large.
    """
    encode = msgspec.json.encode
    queues = [
        _entry(name, [_count(m.count), *_rounded(m[1:])])
        for name, m in record.queues.items()
    ]
    queues = [entry for entry in queues if entry]
    left = MAX_BYTES - sum(len(entry) + 1 for entry in queues) - 64
    workers: list[bytes] = []
    for name, speed in reversed(record.workers.items()):
        values = [_count(speed.count), *_rounded([speed.mean])]
        entry = _entry(name, [*values, speed.incarnation_start_ms])
        left -= len(entry) + 1
        if left < 0:
            break
        if entry:
            workers.append(entry)
    workers.reverse()
    return b'{"version":%b,"queues":{%b},"workers":{%b}}' % (
        encode(VERSION),
        b",".join(queues),
        b",".join(workers),
    )


def decode_durations(key: str, value: bytes) -> DurationRecord:
    """Return the record stored under ``key``; raises RecordError."""
    if len(value) > MAX_BYTES:
        raise RecordError(key, f"{len(value)} bytes")
    try:
        version = msgspec.json.decode(value, type=_Version)["version"]
        if version != VERSION:
            raise RecordError(key, f"version {version}")
        document = msgspec.json.decode(value, type=_Document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise RecordError(key, str(exc)) from exc
    queues = {name: QueueMoments(*row) for name, row in document["queues"].items()}
    workers = {name: WorkerSpeed(*row) for name, row in document["workers"].items()}
    if len(queues) > MAX_QUEUES or len(workers) > MAX_WORKERS:
        raise RecordError(key, f"{len(queues)} queues, {len(workers)} workers")
    for name, moments in queues.items():
        if not _is_valid_queue(moments):
            raise RecordError(key, f"queue {name!r} has a number out of range")
    for name, speed in workers.items():
        if not (_is_count(speed.count) and _is_number(speed.mean)):
            raise RecordError(key, f"worker {name!r} has a number out of range")
    return DurationRecord(queues, workers)


def _is_valid_queue(moments: QueueMoments) -> bool:
    variances = (
        moments.variance_actual,
        moments.variance_declared,
        moments.variance_within,
    )
    return (
        _is_count(moments.count)
        and all(map(_is_number, moments[1:]))
        and min(variances) >= 0
        and moments.variance_within > 0
    )


def _is_count(value: float) -> bool:
    # A count without weight would divide by zero at the next observation.
    return math.isfinite(value) and 0 < value <= MAX_COUNT


def _is_number(value: float) -> bool:
    return math.isfinite(value) and abs(value) <= MAX_NUMBER


def _entry(name: str, values: list[float]) -> bytes:
    """Return the member of a JSON object, empty if its name is too long."""
    encoded = msgspec.json.encode(name)
    if len(encoded) > MAX_NAME_BYTES:
        return b""
    return encoded + b":" + msgspec.json.encode(values)


def _count(value: float) -> float:
    return round(min(MAX_COUNT, max(value, 10**-DECIMALS)), DECIMALS)


def _rounded(values: Iterable[float]) -> list[float]:
    return [round(value, DECIMALS) for value in values]
