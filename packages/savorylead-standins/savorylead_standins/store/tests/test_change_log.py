"""What watches are told of earlier writes."""

from __future__ import annotations

import pytest

from savorylead_standins.store import ChangeLog

_CAPACITY = 10_000


def _log(writes):
    log = ChangeLog()
    for revision, key in enumerate(writes, start=1):
        log.note(revision, key)
    return log


@pytest.mark.parametrize(
    ("prefix", "after", "keys"),
    [
        ("a/", 0, ("a/2", "a/1")),
        ("a/", 2, ("a/2", "a/1")),
        ("a/", 3, ("a/1",)),
        ("a/", 4, ()),
        ("b/", 0, ("b/1",)),
        ("c/", 0, ()),
        # The store has lost its memory since: everything may have changed.
        ("a/", 5, ("a/",)),
    ],
)
def test_keys_are_told_once_in_the_order_of_their_last_write(prefix, after, keys):
    changes = _log(["a/1", "b/1", "a/2", "a/1"]).since(prefix, after)
    assert changes == (4, keys)


@pytest.mark.parametrize(("after", "keys"), [(9, ("a/",)), (10, ("a/1",))])
def test_who_is_too_far_behind_reads_all_again(after, keys):
    log = _log(["a/1"] * (_CAPACITY + 10))
    assert log.since("a/", after).keys == keys


def test_a_write_wakes_only_those_who_wait_for_it():
    log = _log([])
    woken = []
    for prefix in ("a/", "b/", "a/1"):
        waiting = log.next_change(prefix)
        waiting.addCallback(lambda _, prefix=prefix: woken.append(prefix))
    log.note(1, "a/1")
    assert woken == ["a/", "a/1"]
    log.wake_all()
    assert woken == ["a/", "a/1", "b/"]
