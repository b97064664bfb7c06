"""A lead waits for leases that a former lead gave workers after others ended its term.

The former lead is cut from the other daemons, then from the store, and reaches one
worker alone.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred

from savorylead.resources import Resources
from savorylead.store import KeyValue, Snapshot
from savorylead_daemon.pool import _early_ends, _lead_watch
from savorylead_daemon.pool._keys import (
    ended_lease_key,
    marker_key,
    term_leases_key,
)
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import LoggedEvent, ready_cell
from .cut_cases import Cut, Cuts, from_peers, from_workers

CUT_S = 10.0
#: Time from the cut between the daemons to the one from the store, less than a vote
#: takes: a lead that reaches the store learns of its end.
STORE_CUT_AFTER = timedelta(milliseconds=400)
STEP_S = 0.05


def leads_since(cell: PoolCell, term: int) -> list[str]:
    """Return the nodes that lead a later term than ``term``."""
    return [n for n, node in cell.nodes.items() if node.terms().get("pool", 0) > term]


def cell_with_long_tasks(seed: int) -> PoolCell:
    """Return a cell with a worker that is full of tasks of 20 s, and others with room.

    The workers of a pool are filled one after the other.
    """
    cell = ready_cell(nodes=6, seed=seed)
    cell.run(0.037 * seed)
    cell.connect_wait = timedelta(milliseconds=500)
    cell.workers.duration_of = lambda _: timedelta(seconds=20)
    cell.workers.resources_of = lambda task: Resources(
        3_000 if task.job.startswith("early") else 100
    )
    others = [name for name in cell.nodes if name != cell.lead_of()]
    for number in range(4):
        cell.submit(f"early{number}", job_spec(cores=3), others[number])
    cell.run(1.0 + 0.1 * seed)
    assert {record.worker for record in cell.workers.records} >= {"w0"}
    return cell


def cut_off_lead(cell: PoolCell, on_next_lead: Callable[[str], None]) -> None:
    """Cut the lead off; ``on_next_lead(name)`` is called once when another leads."""
    lead, term = cell.lead_of(), cell.nodes[cell.lead_of()].terms()["pool"]
    others = [name for name in cell.nodes if name != lead]
    cuts = Cuts(cell)
    cuts.begin(from_peers(lead, others), CUT_S)
    # Another worker that the next lead has claimed would tell the former one to stop.
    rest = sorted(cell.workers.machines.keys() - {"w0"})
    cuts.begin(from_workers([lead], rest), CUT_S)
    cuts.begin(from_workers(others, ["w0"]), CUT_S)
    from_store = Cut(silent_stores=frozenset({lead}))
    seconds = CUT_S - STORE_CUT_AFTER.total_seconds()
    cell.clock.call_later(STORE_CUT_AFTER, cuts.begin, from_store, seconds)
    is_told = False
    for number in range(int(CUT_S / STEP_S)):
        # Daemons notice that a lead is gone when they have a message for it.
        cell.submit(f"late{number}", job_spec(cores=0.1), others[number % len(others)])
        cell.run(STEP_S)
        found = leads_since(cell, term)
        if found and not is_told:
            is_told = True
            on_next_lead(found[0])
    assert is_told
    cell.run(12.0)


def change_nothing(_name: str) -> None:
    pass


@pytest.mark.parametrize("seed", [2, 3, 4])
def test_the_lead_after_the_next_one_still_waits(seed: int) -> None:
    # Guards against a shorter wait once the lead that followed the one that was voted
    # out has stopped.
    cell = cell_with_long_tasks(seed)
    stopped: list[str] = []

    def stop(name: str) -> None:
        stopped.append(name)
        Deferred.fromCoroutine(cell.nodes[name].resign())

    cut_off_lead(cell, stop)
    assert leads_since(cell, 2)
    assert cell.workers.breaches == []


async def end_without_mark(*_: object) -> None:
    """End leases for their holders as daemons of the earlier version do."""


def forget_terms(cell: PoolCell) -> None:
    """Have the lead be one of the earlier version, which records no leases."""
    cell.store.delete(term_leases_key("pool"))


def add_unmarking_member(cell: PoolCell) -> None:
    """Have one of the daemons be of the earlier version, which marks no leases."""
    other = next(name for name in cell.nodes if name != cell.lead_of())
    cell.store.delete(marker_key(other))
    cell.store.wake()
    cell.run(0.5)


@pytest.mark.parametrize("seed", [2, 3, 4])
@pytest.mark.parametrize("beside", [forget_terms, add_unmarking_member])
def test_a_vote_of_the_earlier_version_does_no_harm(
    beside: Callable[[PoolCell], None], seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Daemons of the earlier version end leases without a mark, and wait 4.9 s for the
    # leases of any former lead.
    cell = cell_with_long_tasks(seed)
    monkeypatch.setattr(_lead_watch, "mark_ended", end_without_mark)
    monkeypatch.setattr(_lead_watch.LeadWatch, "_supports_votes", lambda _: True)
    beside(cell)
    cut_off_lead(cell, change_nothing)
    assert cell.workers.breaches == []


@pytest.mark.parametrize("is_beside", [False, True])
def test_no_lease_is_ended_beside_a_daemon_that_marks_none(
    is_beside: bool, events: list[LoggedEvent]
) -> None:
    # Such a daemon could end the lease with the votes of those that mark.
    cell = cell_with_long_tasks(2)
    if is_beside:
        add_unmarking_member(cell)
    cut_off_lead(cell, change_nothing)
    ended = [each for each in events if each.event == "lead_lease_ended"]
    assert bool(ended) != is_beside
    assert cell.workers.breaches == []


@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b"\xff", None])
def test_an_unreadable_record_of_leases_proves_nothing(value: bytes | None) -> None:
    item = None if value is None else KeyValue("key", value, 5)
    record = _early_ends.decode_term_leases(item)
    assert _early_ends.ended_early(record, Snapshot((), 5))


def test_a_lease_ended_at_its_holders_request_is_marked() -> None:
    # The holder may not get the answer, renew the lease, and go on before a late call
    # ends it.
    cell = ready_cell(nodes=6)
    lead = cell.lead_of()
    lease_id = cell.nodes[lead].view.lead("pool").member.lease_id
    cell.views[lead].is_refused = True
    cell.run(3.0)
    assert lease_id not in cell.store.leases
    assert ended_lease_key(lease_id) in cell.store.items
