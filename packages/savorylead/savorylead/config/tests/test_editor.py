"""Configuration edits under store failures."""

import copy
import random
from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred

from savorylead.config import (
    EditApplied,
    EditConflict,
    EditRejected,
    EditUncertainError,
)
from savorylead_standins.nodes import (
    ConfigCell as Cell,
    share_document as with_share,
)
from savorylead_standins.store import CallFate


@pytest.mark.parametrize(
    "fate", [CallFate.REPLY_LOST, CallFate.LANDS_LATE, CallFate.LOST, CallFate.REFUSED]
)
@pytest.mark.parametrize("prefix", ["config/", "config-documents/"])
def test_a_change_survives_a_failing_write(fate, prefix):
    cell = Cell("a")
    revision = cell.applied(2, 0)
    fates = [fate]
    cell.store.faults.fate = lambda call: (
        fates.pop()
        if call.method == "swap" and call.target.startswith(prefix) and fates
        else CallFate.ANSWERED
    )
    cell.applied(3, revision)
    cell.run(5)
    assert not fates
    assert cell.daemons[0].share() == 3.0
    cell.applied(4, cell.daemons[0].config.revision)
    assert len(cell.store.peek("config-documents/")) == 1


def test_a_lost_reply_that_another_change_followed_is_still_found():
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    fates = [CallFate.REPLY_LOST]
    cell.store.faults.fate = lambda call: (
        fates.pop()
        if (call.method, call.client, call.target) == ("swap", "a", "config/cell")
        and fates
        else CallFate.ANSWERED
    )
    results = []
    first = cell.daemons[0].editor.apply(with_share(3), revision)
    Deferred.fromCoroutine(first).addBoth(results.append)
    cell.run(0.3)
    between = cell.store.get("config/cell").revision
    cell.applied(4, between, daemon=1)
    cell.run(3)
    assert results == [EditApplied(between)]


def test_of_two_racing_operators_one_wins_and_the_other_is_told():
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    results = []
    for daemon, share in zip(cell.daemons, (3, 4), strict=True):
        edit = daemon.editor.apply(with_share(share), revision, by=daemon.name)
        Deferred.fromCoroutine(edit).addBoth(results.append)
    cell.run(5)
    applied = [r for r in results if isinstance(r, EditApplied)]
    conflicts = [r for r in results if isinstance(r, EditConflict)]
    assert len(applied) == len(conflicts) == 1
    assert conflicts[0].revision == applied[0].revision
    assert len(cell.store.peek("config-documents/")) == 1
    assert [record["paths"] for record in conflicts[0].since] == [
        ["$.teams.dispatch.share"]
    ]
    assert [change.path for change in conflicts[0].difference] == [
        "$.teams.dispatch.share"
    ]


async def increment_share(daemon, times):
    """Add 1 to a share ``times`` times, rereading and retrying after each conflict."""
    conflicts = 0
    for number in range(times):
        while True:
            current = daemon.config.current
            document = copy.deepcopy(current.document)
            document["teams"]["dispatch"]["share"] += 1
            edit = f"{daemon.name}-{number}-{current.revision}"
            result = await apply_until_known(
                daemon.editor, document, current.revision, edit
            )
            if isinstance(result, EditApplied):
                break
            conflicts += 1
            daemon.config.observe(result.revision)
            while daemon.config.revision < result.revision:
                await daemon.clock.sleep(timedelta(milliseconds=10))
    return conflicts


async def apply_until_known(editor, document, revision, edit):
    """Apply with the same edit id until the outcome is known."""
    while True:
        try:
            return await editor.apply(document, revision, edit=edit)
        except EditUncertainError:
            continue


@pytest.mark.parametrize("seed", range(4))
def test_operators_racing_over_a_lossy_store_lose_and_double_no_change(seed):
    cell = Cell("abc")
    cell.applied(2, 0)
    cell.run(2)
    rng = random.Random(seed)
    bad = [fate for fate in CallFate if fate is not CallFate.ANSWERED]
    cell.store.faults.fate = lambda call: (
        rng.choice(bad) if rng.random() < 0.3 else CallFate.ANSWERED
    )
    results = []
    for daemon in cell.daemons:
        Deferred.fromCoroutine(increment_share(daemon, 5)).addBoth(results.append)
    while len(results) < 3:
        cell.run(1)
    assert all(isinstance(conflicts, int) for conflicts in results)
    assert sum(results) > 0
    cell.store.faults.fate = lambda call: CallFate.ANSWERED
    cell.run(5)
    assert [daemon.share() for daemon in cell.daemons] == [17.0] * 3
    assert len(cell.store.peek("config/")) == 1
    for daemon in cell.daemons:
        assert daemon.seen == sorted(set(daemon.seen))


def test_a_repeated_edit_is_applied_once():
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    first = cell.daemons[0].editor.apply(with_share(3), revision, edit="e1")
    second = cell.daemons[1].editor.apply(with_share(3), revision, edit="e1")
    assert cell.result(first) == cell.result(second)


def test_the_fate_of_a_change_that_the_store_never_tells_is_uncertain():
    cell = Cell("a")
    revision = cell.applied(2, 0)
    cell.store.faults.down = True
    with pytest.raises(EditUncertainError):
        cell.result(cell.daemons[0].editor.apply(with_share(3), revision))


def test_an_invalid_document_is_not_written():
    cell = Cell("a")
    result = cell.result(cell.daemons[0].editor.apply(with_share(-1), 0))
    assert isinstance(result, EditRejected)
    assert [fault.path for fault in result.faults] == ["$.teams.dispatch.share"]
    assert cell.store.peek() == {}


def test_a_document_that_is_too_long_is_not_written():
    cell = Cell("a")
    document = with_share(2)
    names = [f"queue{number}" for number in range(20_000)]
    document["queues"] = dict.fromkeys(names, document["queues"]["nightly"])
    result = cell.result(cell.daemons[0].editor.apply(document, 0))
    assert [fault.path for fault in result.faults] == ["$"]


def test_what_every_daemon_polls_stays_short():
    cell = Cell("a")
    revision = 0
    document = with_share(1)
    queue = document["queues"]["nightly"]
    for number in range(40):
        queues = {f"queue-{number}-{place}": queue for place in range(200)}
        document = {**document, "queues": queues}
        result = cell.result(cell.daemons[0].editor.apply(document, revision))
        revision = result.revision
    cell.run(1)
    assert cell.daemons[0].config.revision == revision
    polled = sum(map(len, cell.store.peek("config/").values()))
    assert polled < 3000
    assert sum(map(len, cell.store.peek("config-documents/").values())) > 10_000


def test_a_document_that_was_replaced_while_it_was_read_is_read_anew():
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    cell.run(2)
    slow = cell.daemons[1]
    cell.store.faults.fate = lambda call: (
        CallFate.REFUSED
        if call.client == "b" and call.target.startswith("config-documents/")
        else CallFate.ANSWERED
    )
    for share in (3, 4):
        revision = cell.applied(share, revision)
        cell.run(1)
    assert slow.share() == 2.0
    cell.run(3)
    assert not slow.config.is_fresh()
    cell.store.faults.fate = lambda call: CallFate.ANSWERED
    cell.run(1)
    assert slow.share() == 4.0
    assert slow.config.is_fresh()
