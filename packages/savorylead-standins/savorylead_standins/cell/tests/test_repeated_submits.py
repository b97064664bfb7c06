"""A retried submit never gets "not run" if an earlier one may have been accepted."""

import pytest

from savorylead.outcomes import NotRun, Refusal, Unknown
from savorylead_daemon.cell import MessageHandler, NoLeadError
from savorylead_daemon.peers import SubmitMessage
from savorylead_standins.cell import CellShape, FakeCell, key_of

TASK = {
    "request": "r1",
    "workspace": "main",
    "queue": "day",
    "kind": "batch",
    "resources": {"cores": 1, "memory_mb": 100},
    "run_time_s": 0.5,
    "payload": "{}",
}


@pytest.fixture
def cell():
    cell = FakeCell(1, CellShape())
    cell.begin()
    cell.run(5)
    return cell


def all_leads(cell):
    running = [daemon.daemon for daemon in cell.daemons.values()]
    return {n: lead for d in running for n, lead in d.supervisor.leads.items()}


def submit(cell, task):
    replies = []
    cell.do(
        cell.daemons["d1"].daemon.callers.submit(key_of("dispatch"), [task]),
        replies.extend,
    )
    cell.run(3)
    return replies[0]


@pytest.mark.parametrize("refusal", [Refusal.CONFIG_STALE, Refusal.KEY_WITHDRAWN])
@pytest.mark.parametrize("accepted_before", [True, False])
def test_lead_that_refuses_a_key_tells_the_truth(cell, refusal, accepted_before):
    submit(cell, TASK)
    leads = all_leads(cell)
    shard, spec = next(
        (name, record.spec)
        for name, lead in leads.items()
        for record in lead.records.values()
    )
    if not accepted_before:
        spec = spec._replace(id=spec.id._replace(request="r2"))
    handler = MessageHandler("d1", leads, lambda team, key: refusal, lambda: None)
    answers = []
    cell.do(handler.handle(SubmitMessage(shard, "any", (spec,))), answers.append)
    cell.run(3)
    reply = answers[0].replies[0]
    if accepted_before:
        assert isinstance(reply, Unknown)
    else:
        assert reply == NotRun(refusal)


def test_gateway_without_a_lead_claims_nothing(cell):
    class NoLeads:
        async def ask(self, shard, message, until):
            raise NoLeadError(shard, may_have_run=False)

    cell.daemons["d1"].daemon.callers._router = NoLeads()
    assert isinstance(submit(cell, TASK), Unknown)
