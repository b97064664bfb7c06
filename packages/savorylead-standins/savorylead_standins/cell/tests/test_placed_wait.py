"""The measured wait for a placement includes the time to make it durable."""

from datetime import timedelta

from savorylead_daemon.lead import LeadObserver
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


def test_wait_ends_when_placement_is_durable(monkeypatch):
    waits_ms = []
    monkeypatch.setattr(
        LeadObserver, "placed", lambda self, spec, waited_ms: waits_ms.append(waited_ms)
    )
    cell = FakeCell(1, CellShape())
    cell.begin()
    cell.run(5)
    # Latency varies at random, so a write takes at least half of this.
    cell.store_faults.latency = timedelta(milliseconds=200)
    callers = cell.daemons["d1"].daemon.callers
    cell.do(callers.submit(key_of("dispatch"), [TASK]))
    cell.run(3)
    assert len(waits_ms) == 1
    assert waits_ms[0] >= 100
