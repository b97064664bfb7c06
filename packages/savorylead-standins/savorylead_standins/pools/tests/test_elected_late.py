"""A candidate loses its lease during an election."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet.defer import Deferred

from savorylead.store import KeyValue
from savorylead_daemon.pool._keys import lead_key, term_key

from .cell_cases import ready_cell


def test_a_candidate_that_resigns_leaves_no_key_that_never_ends() -> None:
    # Regression: the key of the lead was written without a lease, so it never expired
    # and no daemon could become the lead of the pool.
    cell = ready_cell()
    cell.store.delay = timedelta(milliseconds=30)
    cell.kill(cell.lead_of())
    candidates: list[str] = []

    def record_candidate(name: str, get):
        async def get_recorded(key: str) -> KeyValue | None:
            if key == term_key("pool"):
                candidates.append(name)
            return await get(key)

        return get_recorded

    for name in cell.nodes:
        cell.views[name].get = record_candidate(name, cell.views[name].get)
    while not candidates:
        cell.run(0.001)
        assert not any(node.leads for node in cell.nodes.values())
    Deferred.fromCoroutine(cell.nodes[candidates[0]].resign())
    cell.run(5.0)
    leased = {key for lease in cell.store.leases.values() for key in lease.keys}
    assert lead_key("pool") in leased
    assert [name for name, node in cell.nodes.items() if node.leads] != []
