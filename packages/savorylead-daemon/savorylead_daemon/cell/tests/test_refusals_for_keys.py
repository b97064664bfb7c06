"""Replies to callers and operators while keys and the store change."""

import copy

from twisted.internet.defer import Deferred

from savorylead.config import CONFIG_KEY
from savorylead.outcomes import NotRun, Refusal, Unknown
from savorylead_daemon.services import Admitted, ConfigApplied, RequestName
from savorylead_standins.cell import OPERATOR_KEY, FakeCell, key_of
from savorylead_standins.store import CallFate

TASK = {
    "request": "r1",
    "workspace": "main",
    "queue": "day",
    "kind": "batch",
    "resources": {"cores": 1},
    "payload": '{"run_ms": 100}',
}


def started_cell():
    cell = FakeCell(1)
    cell.begin()
    cell.run(5)
    return cell


def submit(cell, task):
    replies = []
    daemon = cell.daemons["d1"].daemon
    cell.do(daemon.callers.submit(key_of("dispatch"), [task]), replies.extend)
    cell.run(2)
    return replies[0]


def refuse_key_at_leads(cell):
    """Make the leads refuse a key that the gateway still considers valid."""
    for running in cell.daemons.values():
        handler = running.daemon._handler
        handler._recheck_key = lambda team, key_id: Refusal.KEY_WITHDRAWN


def test_repeat_of_an_accepted_task_is_never_answered_not_run():
    cell = started_cell()
    assert isinstance(submit(cell, TASK), Admitted)
    refuse_key_at_leads(cell)
    assert isinstance(submit(cell, TASK), Unknown)
    fresh = submit(cell, {**TASK, "request": "r2"})
    assert fresh == NotRun(Refusal.KEY_WITHDRAWN)
    executions = cell.finish().executions
    assert [execution.task.request for execution in executions] == ["r1"]


def test_cancel_that_the_lead_may_not_do_is_refused():
    cell = started_cell()
    submit(cell, {**TASK, "payload": '{"run_ms": null}'})
    refuse_key_at_leads(cell)
    errors = []
    for running in cell.daemons.values():
        callers = running.daemon.callers
        names = [RequestName("main", "r1")]
        cancelling = Deferred.fromCoroutine(callers.cancel(key_of("dispatch"), names))
        cancelling.addErrback(errors.append)
    cell.run(2)
    assert [error.value.reason for error in errors] == [Refusal.KEY_WITHDRAWN] * 3


def test_accepted_change_is_in_force_where_it_was_accepted_though_store_fails():
    cell = started_cell()
    daemon = cell.daemons["d1"].daemon
    document = copy.deepcopy(daemon.config.current.document)
    document["preset"] = "peak"
    revision = daemon.config.revision

    def fail_after_write(call):
        if call.method == "swap" and call.target == CONFIG_KEY:
            cell.store_faults.fate = lambda call: CallFate.REFUSED
        return CallFate.ANSWERED

    cell.store_faults.fate = fail_after_write
    results = []
    applying = daemon.operators.apply_config(OPERATOR_KEY, document, revision)
    cell.do(
        applying,
        lambda result: results.append((result, daemon.config.current.revision)),
    )
    cell.run(0.5)
    (result, in_force) = results[0]
    assert isinstance(result, ConfigApplied)
    assert in_force == result.revision
    assert daemon.config.current.document["preset"] == "peak"
