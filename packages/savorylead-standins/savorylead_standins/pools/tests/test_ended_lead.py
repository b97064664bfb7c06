"""A lead whose term ended makes no more calls to the store, workers and adviser."""

from __future__ import annotations

import gc
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

import pytest
from twisted.internet.defer import Deferred

from savorylead.pools import CellDocument
from savorylead.pools._pace import PaceOrder
from savorylead.resources import Resources
from savorylead_daemon.observability import EventLog
from savorylead_daemon.pool import _pool_lead, node as node_module
from savorylead_daemon.pool._keys import (
    GRANTS_KEY,
    intake_prefix,
    lead_key,
    progress_prefix,
    workers_key,
)
from savorylead_daemon.pool._term import Term
from savorylead_daemon.settings import LogLevel
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell, settled_cell

#: Longer than any call to a stand-in and than the longest sleep of a lead's tasks: 10 s
#: between two deletions of ended jobs.
WATCHED_S = 15.0
#: Time limit for a condition that a test waits for, such as the start of a call of the
#: lead. Ended jobs are deleted only every 10 s.
BEGINS_WITHIN = timedelta(seconds=12)
#: The round trip to the store takes 4 ms, the one to a worker 2 ms.
ROUND_TRIP_S = 0.005

#: In these cells, states of ended jobs are reported for 120 s and kept for 30 s more.
KEPT_S = 150.0
#: Parts of a team's limit are granted only if there is more than one pool.
POOLS = ("pool", "other")
LIMIT = Resources(16_000, 64_000, 0)


class Call(NamedTuple):
    """A call that a lead made."""

    what: str
    args: tuple[Any, ...]

    def writes(self, key: str) -> bool:
        """Return whether this is a transaction that puts a key with this prefix."""
        return self.what == "commit" and any(
            put.key.startswith(key) for put in self.args[1]
        )


class Calls:
    """The calls of one lead: those that began, and those in flight."""

    def __init__(self) -> None:
        self.began: list[Call] = []
        self.under_way: list[Call] = []

    def recorded(self, what: str, call: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a call so that it is recorded here."""

        async def make(*args: Any) -> Any:
            made = Call(what, args)
            self.began.append(made)
            self.under_way.append(made)
            try:
                return await call(*args)
            finally:
                self.under_way.remove(made)

        return make


class Recorded:
    """A proxy that records every call of a lead to an object."""

    def __init__(self, called: object, calls: Calls) -> None:
        self._called = called
        self._calls = calls

    def __getattr__(self, name: str) -> Callable[..., Any]:
        return self._calls.recorded(name, getattr(self._called, name))


@pytest.fixture
def calls(monkeypatch: pytest.MonkeyPatch) -> dict[int, Calls]:
    """Return the calls of the leads of one pool by their terms."""
    recorded: dict[int, Calls] = {}

    def recorded_lead(
        parts: _pool_lead.LeadParts,
        term: Term,
        document: CellDocument,
        evacuated: frozenset[str],
        on_superseded: Callable[[str], None],
    ) -> _pool_lead.PoolLead:
        if term.pool != "pool":
            return _pool_lead.PoolLead(parts, term, document, evacuated, on_superseded)
        of_term = recorded[term.number] = Calls()
        parts = parts._replace(
            store=Recorded(parts.store, of_term),
            calls=Recorded(parts.calls, of_term),
            ask_adviser=of_term.recorded("advise", parts.ask_adviser),
        )
        return _pool_lead.PoolLead(parts, term, document, evacuated, on_superseded)

    monkeypatch.setattr(node_module, "PoolLead", recorded_lead)
    return recorded


def lead_calls(cell: PoolCell) -> Calls:
    """Return the calls of the present lead."""
    return cell.nodes[cell.lead_of()].leads["pool"]._parts.store._calls


def run_until(cell: PoolCell, happened: Callable[[], bool]) -> None:
    """Advance the clock until a condition holds."""
    until = cell.clock.now() + BEGINS_WITHIN
    while not happened():
        assert cell.clock.now() < until
        cell.run(0.001)


def run_until_called(cell: PoolCell, is_meant: Callable[[Call], bool]) -> None:
    """Advance the clock until a matching call of the lead is in flight."""
    run_until(cell, lambda: any(is_meant(c) for c in lead_calls(cell).under_way))


def list_new_worker(cell: PoolCell) -> None:
    """Register one more worker, which the lead records before it uses it."""
    entry = cell.workers.machines["w0"].entry._replace(id="new")
    cell.workers.add(entry)
    cell.list_worker(entry)


def begin_to_record_workers(cell: PoolCell) -> None:
    list_new_worker(cell)
    run_until_called(cell, writes_workers)


def test_a_lead_whose_lease_lapsed_with_the_store_writes_nothing_afterwards(
    calls: dict[int, Calls],
) -> None:
    # Regression: an outage ended all leases while a write of the list of workers was
    # pending. The former lead repeated the write indefinitely, and each was refused.
    cell = ready_cell()
    former = cell.lead_of()
    begin_to_record_workers(cell)
    cell.store.refuses = True
    cell.run(5.0)
    cell.store.refuses = False
    run_until(cell, lambda: cell.nodes[former].terms().get("pool") != 1)
    began = len(calls[1].began)
    cell.run(WATCHED_S)
    assert calls[1].began[began:] == []


def test_a_lead_that_another_one_followed_during_its_write_writes_nothing_afterwards(
    calls: dict[int, Calls],
) -> None:
    cell = ready_cell()
    former = cell.lead_of()
    cell.store.delay = timedelta(milliseconds=60)
    begin_to_record_workers(cell)
    cell.store.delete(lead_key("pool"))
    cell.store.wake()
    run_until(cell, lambda: cell.nodes[former].terms().get("pool") != 1)
    began = len(calls[1].began)
    cell.run(WATCHED_S)
    assert 2 in calls
    assert calls[1].began[began:] == []


def writes_workers(call: Call) -> bool:
    return call.writes(workers_key("pool"))


def writes_progress(call: Call) -> bool:
    return call.writes(progress_prefix("pool"))


def writes_grants(call: Call) -> bool:
    return call.writes(GRANTS_KEY)


def deletes(call: Call) -> bool:
    return call.what == "commit" and len(call.args) > 2


def reads(prefix: str) -> Callable[[Call], bool]:
    return lambda call: call.what == "page" and call.args[0] == prefix


def is_call(what: str) -> Callable[[Call], bool]:
    return lambda call: call.what == what


def submit(cell: PoolCell) -> None:
    cell.submit("job", job_spec(count=4))


def cancel(cell: PoolCell) -> None:
    cell.workers.duration_of = lambda _: timedelta(seconds=60)
    submit(cell)
    cell.run(0.5)
    cell.cancel("job")


def start_at_silent_workers(cell: PoolCell) -> None:
    submit(cell)
    run_until_called(cell, is_call("start"))
    for machine in cell.workers.machines.values():
        machine.is_cut = True


def pace(cell: PoolCell) -> None:
    cell.workers.duration_of = lambda _: timedelta(seconds=60)
    submit(cell)
    cell.run(0.5)
    lead = cell.nodes[cell.lead_of()].leads["pool"]
    lead._report_processor._pace.decide = lambda worker, _: [
        PaceOrder(run, 50) for run in worker.runs.values()
    ]


def finish_a_job(cell: PoolCell) -> None:
    submit(cell)
    cell.run(0.9)


def outlive_a_job(cell: PoolCell) -> None:
    submit(cell)
    cell.run(KEPT_S)


def start_anew(cell: PoolCell) -> None:
    former = cell.lead_of()
    Deferred.fromCoroutine(cell.nodes[former].resign())
    run_until(cell, lambda: any(node.leads for node in cell.nodes.values()))


@pytest.mark.parametrize(
    ("prepare", "is_meant"),
    [
        (start_anew, reads(intake_prefix("pool"))),
        (start_anew, reads(workers_key("pool"))),
        (lambda _: None, is_call("changes")),
        (list_new_worker, writes_workers),
        (submit, writes_progress),
        (submit, writes_grants),
        (outlive_a_job, deletes),
        (submit, is_call("hold")),
        (submit, is_call("start")),
        (start_at_silent_workers, is_call("stop")),
        (cancel, is_call("stop")),
        (pace, is_call("pace")),
        (submit, is_call("advise")),
    ],
    ids=[
        "load",
        "load of workers",
        "intake",
        "record of workers",
        "progress",
        "grants",
        "deletion of ended jobs",
        "look at a worker",
        "start",
        "stop of an unclear start",
        "stop",
        "pace",
        "advice",
    ],
)
def test_no_call_of_a_lead_outlasts_it(
    prepare: Callable[[PoolCell], None],
    is_meant: Callable[[Call], bool],
    calls: dict[int, Calls],
) -> None:
    cell = ready_cell(advised=True, pools=POOLS, limit=LIMIT)
    prepare(cell)
    run_until_called(cell, is_meant)
    ended, former = lead_calls(cell), cell.nodes[cell.lead_of()]
    asked_at = cell.clock.now()
    Deferred.fromCoroutine(former.resign())
    # It first records which runs may crash their workers.
    run_until(cell, lambda: "pool" not in former.terms())
    assert cell.clock.now() - asked_at <= _pool_lead.RESIGN_WAIT
    began = len(ended.began)
    assert ended.under_way == []
    cell.run(WATCHED_S)
    assert ended.began[began:] == []


@pytest.mark.parametrize(
    ("prepare", "is_meant"),
    [
        (list_new_worker, writes_workers),
        (submit, writes_progress),
        (submit, writes_grants),
        (outlive_a_job, deletes),
    ],
    ids=["record of workers", "progress", "grants", "deletion of ended jobs"],
)
def test_a_lead_ends_by_the_first_write_that_shows_that_its_key_is_gone(
    prepare: Callable[[PoolCell], None],
    is_meant: Callable[[Call], bool],
    calls: dict[int, Calls],
) -> None:
    cell = ready_cell(pools=POOLS, limit=LIMIT)
    former = cell.lead_of()
    prepare(cell)
    run_until_called(cell, is_meant)
    ended = lead_calls(cell)
    # No watch is notified, so the view of the cell does not include the deletion yet.
    cell.store.delete(lead_key("pool"))
    cell.run(ROUND_TRIP_S)
    assert "pool" not in cell.nodes[former].terms()
    began = len(ended.began)
    cell.run(WATCHED_S)
    assert ended.began[began:] == []


@pytest.mark.parametrize(
    ("is_polled_before", "kind"),
    # Idle workers that have not reported for a while are polled before a start.
    [(True, "start"), (False, "hold")],
)
def test_a_lead_ends_by_the_first_worker_that_a_later_one_has_used(
    is_polled_before: bool, kind: str, calls: dict[int, Calls]
) -> None:
    cell = settled_cell()
    former = cell.lead_of()
    if is_polled_before:
        for session in cell.nodes[former].leads["pool"]._state.sessions.values():
            session.poll_soon()
        cell.run(0.1)
    for machine in cell.workers.machines.values():
        machine.fence = 2
    submit(cell)
    run_until_called(cell, is_call(kind))
    cell.run(ROUND_TRIP_S)
    assert "pool" not in cell.nodes[former].terms()
    began = len(calls[1].began)
    cell.run(WATCHED_S)
    assert calls[1].began[began:] == []
    assert cell.workers.records == []


#: Log events of a lead about its own writes.
ON_WRITES = {"lead_writes_dropped", "progress_unwritten", "store_failed"}


@pytest.mark.parametrize(
    ("prepare", "dropped"),
    [
        (lambda _: None, []),
        (begin_to_record_workers, [{"jobs": 0, "workers": True, "grants": False}]),
        (finish_a_job, [{"jobs": 1, "workers": False, "grants": False}]),
    ],
    ids=["nothing", "workers", "progress"],
)
def test_what_a_lead_leaves_unwritten_is_one_line(
    prepare: Callable[[PoolCell], None],
    dropped: list[dict[str, object]],
    calls: dict[int, Calls],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cell = ready_cell()
    prepare(cell)
    cell.store.refuses = True
    cell.run(1.0)
    lines: list[tuple[str, dict[str, object]]] = []

    def note(log: EventLog, level: LogLevel, event: str, **details: object) -> None:
        if event in ON_WRITES:
            lines.append((event, details))

    monkeypatch.setattr(EventLog, "log_event", note)
    Deferred.fromCoroutine(cell.nodes[cell.lead_of()].resign())
    cell.run(WATCHED_S)
    own = {"pool": "pool", "term": 1}
    assert lines == [("lead_writes_dropped", {**own, **row}) for row in dropped]


@pytest.mark.parametrize("silent", [False, True])
def test_nothing_that_is_collected_resumes_what_is_collected_too(silent: bool) -> None:
    # Regression: a garbage-collected coroutine ran its "finally" clause, which resumed
    # a coroutine that was already finished.
    for number in range(6):
        cell = PoolCell(workers=24, seed=number)
        cell.run(0.05 + 0.02 * number)
        submit(cell)
        cell.store.silent = silent
        cell.run(0.9)
        del cell
        gc.collect()
