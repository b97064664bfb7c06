"""The log tells how long an ended lead's leases hold, and how long the next waits."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from savorylead_daemon.pool._cell_lease import (
    END_THROUGH_PEER_AFTER,
    LEASE_TTL,
    RENEW_INTERVAL,
    RETRY_DELAY,
    SAFETY_MARGIN,
)
from savorylead_daemon.pool._keys import lead_key
from savorylead_daemon.pool._pool_fleet import (
    MAX_LOGGED_FORMER_LEASES,
    former_lease_timeout,
)
from savorylead_daemon.pool._worker_session import RENEW_WAIT, WORKER_LEASE_MS
from savorylead_standins.pools import PoolCell, job_spec
from savorylead_standins.pools._pool_cell import WORKERS_PREFIX

from .cell_cases import LoggedEvent, ready_cell

MS = timedelta(milliseconds=1)
#: Longest time of a call to the store or a worker in these cells.
CALL_MS = 10


def details_of(events: list[LoggedEvent], name: str) -> list[dict[str, Any]]:
    """Return the details of all lines of one event."""
    return [each.details for each in events if each.event == name]


def cell_with_runs(workers: int) -> PoolCell:
    """Return a cell in which every worker has long runs."""
    cell = ready_cell(workers=workers)
    cell.workers.duration_of = lambda _: timedelta(seconds=60)
    for number in range(workers):
        cell.submit(f"job{number}", job_spec(count=6))
    cell.run(3.0)
    lead = cell.nodes[cell.lead_of()].leads["pool"]
    assert all(worker.runs for worker in lead._state.workers.values())
    return cell


def resign(cell: PoolCell) -> None:
    Deferred.fromCoroutine(cell.nodes[cell.lead_of()].resign())


def end_lease(cell: PoolCell) -> None:
    cell.store.end_lease(cell.nodes[cell.lead_of()]._lease.id)
    cell.run(1.0)


def delete_lead_key(cell: PoolCell) -> None:
    cell.store.delete(lead_key("pool"))
    cell.store.wake()
    cell.run(1.0)


def note_lost_lease(cell: PoolCell) -> None:
    """Have the lead learn of the end of its lease by a renewal, not by its view."""
    cell.nodes[cell.lead_of()]._lease._handle_loss()


@pytest.mark.parametrize("end", [resign, end_lease, delete_lead_key, note_lost_lease])
def test_a_lead_that_ends_tells_how_long_its_leases_may_hold(
    end: Callable[[PoolCell], None], events: list[LoggedEvent]
) -> None:
    cell = cell_with_runs(workers=3)
    events.clear()
    end(cell)
    (line,) = details_of(events, "lead_leases_left")
    assert (line["pool"], line["term"], line["leased_workers"]) == ("pool", 1, 3)
    assert 0 <= line["renewed_ms_ago"] <= RENEW_INTERVAL // MS + CALL_MS
    # A worker with runs is renewed once a second.
    least_ms = WORKER_LEASE_MS - RENEW_WAIT // MS - CALL_MS
    assert least_ms <= line["longest_lease_ms"] <= WORKER_LEASE_MS


@pytest.mark.parametrize(
    ("end", "reason"),
    [(resign, "resigned"), (end_lease, "key_gone"), (delete_lead_key, "key_gone")],
)
def test_ended_terms_are_counted_by_reason(
    end: Callable[[PoolCell], None], reason: str
) -> None:
    cell = ready_cell()
    former = cell.nodes[cell.lead_of()]
    assert former.ended_terms() == {}
    end(cell)
    assert former.ended_terms() == {("pool", reason): 1}


def test_a_lead_without_runs_leaves_no_lease(events: list[LoggedEvent]) -> None:
    cell = ready_cell()
    # The claims of the workers count as leases until this is over.
    cell.run(2 * WORKER_LEASE_MS / 1_000)
    resign(cell)
    (line,) = details_of(events, "lead_leases_left")
    assert (line["leased_workers"], line["longest_lease_ms"]) == (0, 0)


def test_the_age_of_the_last_renewal_counts_from_its_sending() -> None:
    cell = ready_cell()
    lease = cell.nodes[cell.lead_of()]._lease
    cell.store.delay = timedelta(milliseconds=60)
    cell.run(1.0)
    before = lease.proved_at
    while lease.proved_at == before:
        cell.run(0.001)
    assert lease.renewed_ms_ago() >= 2 * cell.store.delay // MS


def test_lines_on_a_lease_tell_the_age_of_its_last_renewal(
    events: list[LoggedEvent],
) -> None:
    cell = ready_cell()
    lease = cell.nodes[cell.lead_of()]._lease
    proved_at = lease.proved_at
    events.clear()
    cell.store.refuses = True
    cell.run(4.0)
    cell.store.refuses = False
    cell.run(2.0)
    ages = {
        each.event: each.details["renewed_ms_ago"]
        for each in events
        if each.event in ("lease_given_up", "lease_unproved", "lease_lost")
        and each.details["lease"] in lease_ids(events, "lease_given_up")
    }
    end_through_peer_ms = END_THROUGH_PEER_AFTER // MS
    unproved_ms = (LEASE_TTL - SAFETY_MARGIN) // MS
    retry_ms = RETRY_DELAY // MS + CALL_MS
    assert ages["lease_given_up"] >= end_through_peer_ms
    assert unproved_ms <= ages["lease_unproved"] <= unproved_ms + 2 * retry_ms
    assert ages["lease_lost"] >= 4_000 - RENEW_INTERVAL // MS - CALL_MS
    assert proved_at is not None and lease.proved_at > proved_at


def lease_ids(events: list[LoggedEvent], name: str) -> set[str]:
    """Return the leases that the lines of one event name."""
    return {details["lease"] for details in details_of(events, name)}


@pytest.mark.parametrize("unlisted", [False, True])
def test_the_next_lead_tells_how_long_it_waited_and_for_whom(
    unlisted: bool, events: list[LoggedEvent]
) -> None:
    cell = cell_with_runs(workers=3)
    machine = cell.workers.machines["w0"]
    machine.is_cut = True
    if unlisted:
        cell.store.delete(f"{WORKERS_PREFIX}w0")
    events.clear()
    end_lease(cell)
    cell.run(7.0)
    (located,) = details_of(events, "runs_located")
    timeout_ms = former_lease_timeout(WORKER_LEASE_MS) // MS
    assert located["unreached"] == ["w0"]
    assert timeout_ms <= located["waited_ms"] <= timeout_ms + RENEW_WAIT // MS
    waited = {"pool": "pool", "term": 2, "waited_ms": located["waited_ms"]}
    assert details_of(events, "former_lease_over") == [
        {"worker": "w0", **waited, "listed": not unlisted}
    ]


def test_a_next_lead_that_reaches_all_workers_waited_for_none(
    events: list[LoggedEvent],
) -> None:
    cell = cell_with_runs(workers=3)
    events.clear()
    end_lease(cell)
    cell.run(7.0)
    (located,) = details_of(events, "runs_located")
    assert located["unreached"] == []
    assert located["waited_ms"] < 1_000
    assert details_of(events, "former_lease_over") == []


def test_no_more_than_twenty_workers_are_named_one_by_one(
    events: list[LoggedEvent],
) -> None:
    cell = ready_cell(workers=24)
    for machine in list(cell.workers.machines.values())[:22]:
        machine.is_cut = True
    events.clear()
    end_lease(cell)
    cell.run(7.0)
    (located,) = details_of(events, "runs_located")
    assert len(located["unreached"]) == 22
    lines = details_of(events, "former_lease_over")
    assert len({line["worker"] for line in lines}) == MAX_LOGGED_FORMER_LEASES == 20
