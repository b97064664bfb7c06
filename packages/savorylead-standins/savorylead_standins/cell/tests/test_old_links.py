"""Connections to VMs and daemons that no longer exist are closed, and no others."""

import pytest

from savorylead_standins.cell import FakeCell


@pytest.fixture
def kept(monkeypatch):
    cell = FakeCell(1)
    cell.begin()
    cell.run(5)
    parts = cell.daemons["d1"].daemon._parts
    kept = {"vms": [], "daemons": []}
    monkeypatch.setattr(parts.contract, "keep_only", kept["vms"].append)
    monkeypatch.setattr(parts.transport, "keep_only", kept["daemons"].append)
    return cell, kept


def test_only_what_is_listed_keeps_its_link(kept):
    cell, kept = kept
    gone = cell.workers.pop("dom1-w2")
    cell.kill("d3")
    cell.run(301)
    listed = {worker.worker.endpoint for worker in cell.workers.values()}
    assert gone.worker.endpoint not in listed
    assert kept["vms"][-1] == listed
    assert kept["daemons"][-1] == {"d1#1", "d2#2"}


def test_a_leaving_vm_keeps_its_link(kept):
    cell, kept = kept
    cell.leave_worker("dom1-w2")
    cell.run(301)
    assert cell.workers["dom1-w2"].worker.endpoint in kept["vms"][-1]
