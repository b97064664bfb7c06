"""The record of learned durations survives a lead, and bad ones are refused."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest

from savorylead.jobs import RecordError
from savorylead.pools import LearnedDurations, decode_durations, encode_durations
from savorylead.pools._duration_record import MAX_BYTES, MAX_QUEUES, DurationRecord
from savorylead.pools._queue_regression import QueueMoments
from savorylead.pools._worker_speeds import MAX_WORKERS, WorkerSpeed

from .duration_cases import Load, bimodal
from .pool_cases import step_of

KEY = "durations/pool"
QUEUE = [9.0, 6.5, 6.9, 0.5, 0.6, 0.3, 0.04]
WORKER = [8.0, -0.6, 1_796_611_200_000]


def document(**changes: Any) -> bytes:
    """Return a record as JSON."""
    fields = {"version": 1, "queues": {"q": QUEUE}, "workers": {"w": WORKER}}
    return json.dumps(fields | changes).encode()


def queue_with(index: int, value: float) -> bytes:
    """Return a record with another value in a queue's row."""
    return document(queues={"q": [*QUEUE[:index], value, *QUEUE[index + 1 :]]})


def test_a_later_lead_goes_on_with_the_same_estimates() -> None:
    load = Load(LearnedDurations(), bimodal(24), 1)
    for _ in range(60):
        load.run_step(900, 8)
    former = load.estimator
    assert isinstance(former, LearnedDurations)
    later = LearnedDurations()
    later.restore(decode_durations(KEY, encode_durations(former.record())))
    for number in range(24):
        factor = former.factor(f"w{number}")
        assert later.factor(f"w{number}") == pytest.approx(factor, rel=0.001)
    step = step_of("next", "normal", count=3)
    assert later.step_ms(step) == pytest.approx(former.step_ms(step), rel=0.001)
    assert later.tail_ms(step) == pytest.approx(former.tail_ms(step), rel=0.001)


def test_what_was_observed_since_goes_before_the_record() -> None:
    # Guards against a record that is read late, and replaces what the lead has learned.
    durations = LearnedDurations()
    step = step_of("j", "q", count=2)
    for index in range(2):
        step.mark_done(index)
        durations.observe(step, f"w{index}", 1_000)
    learned = durations.record()
    speeds = {f"w{n}": WorkerSpeed(8.0, 0.5, 1) for n in range(MAX_WORKERS)}
    queues = {f"q{n}": QueueMoments(*QUEUE) for n in range(MAX_QUEUES)}
    queues["q"] = QueueMoments(*QUEUE)
    durations.restore(DurationRecord(queues, speeds))
    record = durations.record()
    assert record.queues["q"] == learned.queues["q"]
    assert record.workers["w0"] == learned.workers["w0"]
    assert list(record.workers)[-2:] == ["w0", "w1"]
    assert record.workers["w2"] == speeds["w2"]
    assert len(record.workers) == MAX_WORKERS
    assert len(record.queues) == MAX_QUEUES


@pytest.mark.parametrize("name_length", [1, 30, 60, 250, 400])
def test_a_record_is_bounded_and_leaves_out_the_least_recently_observed(
    name_length: int,
) -> None:
    pad = "x" * name_length
    queues = {f"{pad}{n}": QueueMoments(*QUEUE) for n in range(MAX_QUEUES)}
    workers = {
        f"{pad}{n}": WorkerSpeed(123.45678, -0.123456, 1_796_611_200_000)
        for n in range(MAX_WORKERS)
    }
    value = encode_durations(DurationRecord(queues, workers))
    assert len(value) <= MAX_BYTES
    decoded = decode_durations(KEY, value)
    kept = list(decoded.workers)
    assert kept == list(workers)[len(workers) - len(kept) :]
    if name_length < 200:
        assert len(decoded.queues) == MAX_QUEUES
        assert len(kept) > 400


BROKEN = {
    "empty": b"",
    "cut off": document()[:-5],
    "not UTF-8": b'{"version": 1, "queues": {"\xff": []}, "workers": {}}',
    "nested deeply": b"[" * 100_000,
    "an array": b"[1, {}, {}]",
    "without workers": b'{"version": 1, "queues": {}}',
    "of another version": document(version=2),
    "of a version in words": document(version="1"),
    "of a later shape": b'{"version": 2, "pools": []}',
    "oversized": document(workers={f"w{n}": WORKER for n in range(3_000)}),
    "padded": document() + b" " * MAX_BYTES,
    "too many queues": document(queues={f"q{n}": QUEUE for n in range(65)}),
    "too many workers": document(workers={f"{n}": [1, 0, 1] for n in range(1_025)}),
    "a short row": document(queues={"q": QUEUE[:-1]}),
    "a long row": document(workers={"w": [*WORKER, 0]}),
    "text in a row": document(workers={"w": ["8", 0.0, 1]}),
    "not a number": queue_with(1, float("nan")),
    "infinite": queue_with(1, float("inf")),
    "beyond floats": document().replace(b"6.5", b"1e999"),
    "a large number": queue_with(1, 1e300),
    "a negative count": queue_with(0, -1.0),
    "no count": queue_with(0, 0.0),
    "a large count": queue_with(0, 1e12),
    "a negative variance": queue_with(3, -0.5),
    "no variance within a step": queue_with(6, 0.0),
    "a negative count of a worker": document(workers={"w": [-3.0, 0.1, 1]}),
    "an infinite worker": document(workers={"w": [3.0, float("inf"), 1]}),
    "a fractional incarnation": document(workers={"w": [3.0, 0.1, 1.5]}),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_records_are_refused(name: str) -> None:
    with pytest.raises(RecordError):
        decode_durations(KEY, BROKEN[name])


@pytest.mark.parametrize("count", [0.001, 1.0, 1e6])
@pytest.mark.parametrize(
    "row",
    [
        [50.0, 50.0, 50.0, 50.0, 50.0, 50.0],
        [50.0, -50.0, 50.0, 0.0, 50.0, 0.001],
        [-50.0, 50.0, 0.0, 0.0, -50.0, 50.0],
    ],
)
@pytest.mark.parametrize("mean", [50.0, -50.0])
def test_estimates_from_extreme_records_are_finite(
    count: float, row: list[float], mean: float
) -> None:
    # Guards against a lead that fails in each pass since a record that decodes leads to
    # a number beyond floats.
    queues = {"normal": [count, *row]}
    workers = {"w0": [count, mean, 1], "w1": [count, -mean, 1]}
    durations = LearnedDurations()
    durations.restore(decode_durations(KEY, document(queues=queues, workers=workers)))
    for number, declared_ms in enumerate((0, 1, 10**300)):
        step = step_of(f"j{number}", "normal", count=3, estimate_ms=declared_ms)
        for index in range(2):
            values = [
                durations.estimate_ms("normal", step.spec),
                durations.step_ms(step),
                durations.tail_ms(step),
                durations.elsewhere_ms(step, "w0"),
                durations.factor("w0"),
            ]
            assert all(math.isfinite(value) and value > 0 for value in values)
            step.mark_done(index)
            durations.observe(step, f"w{index}", 1_000)


def test_unknown_fields_of_a_record_are_ignored() -> None:
    record = decode_durations(KEY, document(since_ms=5))
    assert record.queues == {"q": QueueMoments(*QUEUE)}
    assert record.workers == {"w": WorkerSpeed(*WORKER)}
