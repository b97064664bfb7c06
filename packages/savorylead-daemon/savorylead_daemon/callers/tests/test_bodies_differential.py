"""Differential test of the fast body check against jsonschema, on generated bodies."""

from datetime import timedelta

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from jsonschema import Draft202012Validator

from savorylead_daemon.callers import BodyReader
from savorylead_daemon.callers._shapes import TaskBody
from savorylead_daemon.routing import CallError, ShapeChecker

READER = BodyReader(max_items=10, max_wait=timedelta(seconds=30))
NAIVE = Draft202012Validator(msgspec.json.schema(list[TaskBody]))
AMOUNT_NAMES = ["cores", "memory_mb", "accelerators", "slots", "connections"]
FIELDS = [field.name for field in msgspec.structs.fields(TaskBody)]

NAMES = st.text(max_size=4) | st.sampled_from(["a/b", "a\n", "\u2028", "\x9f", "犬"])
NUMBERS = (
    st.integers(-2, 2)
    | st.integers(-(10**20), 10**20)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from([10**9, 10**9 + 1, 10_000, 10_001])
)
AMOUNTS = st.dictionaries(
    st.sampled_from([*AMOUNT_NAMES, "gpus"]),
    NUMBERS | st.booleans() | st.none(),
    max_size=3,
)
VALUES = st.one_of(
    NAMES,
    NUMBERS,
    st.booleans(),
    st.none(),
    AMOUNTS,
    st.lists(NUMBERS, max_size=2),
    st.sampled_from(["service", "batch", "all_at_once"]),
)


@st.composite
def tasks(draw):
    """Return a valid task with some fields changed, added or left out."""
    task = {
        "request": draw(st.sampled_from(["a", "b", "c"])),
        "workspace": "tours",
        "queue": "open",
        "kind": draw(st.sampled_from(["service", "batch"])),
        "resources": draw(AMOUNTS),
    }
    changes = draw(
        st.dictionaries(st.sampled_from([*FIELDS, "colour"]), VALUES, max_size=2)
    )
    left_out = draw(st.sets(st.sampled_from(FIELDS), max_size=1))
    return {k: v for k, v in {**task, **changes}.items() if k not in left_out}


def has_integer_amounts(value):
    """Return whether every number that must be an integer is written as one."""
    integers = [value.get("members", 0)]
    amounts = value.get("resources")
    if isinstance(amounts, dict):
        integers += [v for name, v in amounts.items() if name != "cores"]
    return not any(isinstance(number, float) for number in integers)


def is_valid_naively(body):
    """Return whether a body is valid by the schema and the rules across fields."""
    if not NAIVE.is_valid(body) or not all(map(has_integer_amounts, body)):
        return False
    if any(("members" in t) != (t["kind"] == "all_at_once") for t in body):
        return False
    if any(not t.keys() <= set(FIELDS) for t in body):
        return False
    if any(not t["resources"].keys() <= set(AMOUNT_NAMES) for t in body):
        return False
    names = [(t["workspace"], t["request"]) for t in body]
    return len(set(names)) == len(names)


@given(st.lists(tasks(), min_size=1, max_size=3))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_a_body_is_read_if_and_only_if_the_naive_check_finds_it_good(body):
    try:
        read = READER.read_submit(msgspec.json.encode(body))
    except CallError as exc:
        assert not is_valid_naively(body), str(exc)
        paths = [exc.path, *(fault.path for fault in exc.more)]
        assert all(path.startswith("$[") for path in paths)
    else:
        assert is_valid_naively(body)
        assert read.tasks == body


@given(st.binary(max_size=60) | st.text(max_size=30).map(str.encode))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_any_bytes_are_read_or_raise_call_error(body):
    for read in (READER.read_submit, READER.read_answers, READER.read_cancel):
        try:
            read(body)
        except CallError as exc:
            assert exc.status in (400, 413)


def test_a_body_is_refused_even_if_the_listing_finds_no_fault(monkeypatch):
    monkeypatch.setattr(ShapeChecker, "faults", lambda *args: [])
    for read in (READER.read_submit, READER.read_answers, READER.read_cancel):
        with pytest.raises(CallError):
            read(b'[{"request": "/"}]')
