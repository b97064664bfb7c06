"""Evacuation of a failure domain: what runs there continues, and nothing starts."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta

import pytest

from savorylead.jobs import JobState
from savorylead_standins.pools import PoolCell, job_spec
from savorylead_standins.pools._pool_cell import CONFIG_KEY

from .cell_cases import other_node, ready_cell

#: Time from an order to evacuate until nothing starts in the domain any more.
EVACUATED_WITHIN = timedelta(seconds=5)
DOMAINS = ("left", "right")
IN_DOMAIN = {"left": {"w0", "w2", "w4"}, "right": {"w1", "w3", "w5"}}


def cell_of_two_domains(**changes: object) -> PoolCell:
    return ready_cell(workers=6, domains=DOMAINS, **changes)


def keep_submitting(cell: PoolCell, seconds: float, via: str = "") -> None:
    """Submit jobs that together need most of both domains."""
    for number in range(int(seconds / 0.25)):
        node = via or next(iter(cell.nodes))
        now = cell.clock.now().timestamp()
        cell.submit(f"job{now}-{number}", job_spec(count=5), node)
        cell.run(0.25)


def starts_in(
    cell: PoolCell, domain: str, since: datetime, until: datetime | None = None
) -> list[str]:
    return [
        str(record.task)
        for record in cell.workers.records
        if record.worker in IN_DOMAIN[domain]
        and record.began_at > since
        and (until is None or record.began_at <= until)
    ]


def no_fault(cell: PoolCell) -> None:
    pass


def kill_lead(cell: PoolCell) -> None:
    cell.kill(cell.lead_of())


def kill_all_and_restart(cell: PoolCell) -> None:
    for name in list(cell.nodes):
        cell.kill(name)
    cell.run(1.0)
    for name in ("node-0", "node-1", "node-2"):
        cell.start_node(name)


def store_refuses(cell: PoolCell) -> None:
    cell.store.refuses = True
    cell.run(4.5)
    cell.store.refuses = False


def store_is_silent(cell: PoolCell) -> None:
    cell.store.silent = True
    cell.run(4.5)
    cell.store.silent = False


def store_forgets_its_history(cell: PoolCell) -> None:
    cell.store.forget_history()
    cell.run(0.4)
    cell.store.forget_history()


def lead_is_cut_from_the_store(cell: PoolCell) -> None:
    name = cell.lead_of()
    cell.views[name].is_cut = True
    cell.run(6.0)
    cell.views[name].is_cut = False


def configuration_is_malformed_for_a_while(cell: PoolCell) -> None:
    cell.store.put(CONFIG_KEY, b"not a configuration")
    cell.run(1.0)
    cell.put_config(cell.document._replace(version=cell.document.version + 1))


FAULTS = [
    no_fault,
    kill_lead,
    kill_all_and_restart,
    store_refuses,
    store_is_silent,
    store_forgets_its_history,
    lead_is_cut_from_the_store,
    configuration_is_malformed_for_a_while,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("offset_s", [0.0, 0.3, 1.5])
@pytest.mark.parametrize("value", [b"{}", b"\xff not JSON"])
def test_nothing_starts_in_an_evacuated_domain(
    fault: Callable[[PoolCell], None], offset_s: float, value: bytes
) -> None:
    cell = cell_of_two_domains()
    via = other_node(cell)
    keep_submitting(cell, 2.0, via)
    cell.evacuate("left", value)
    ordered_at = cell.clock.now()
    keep_submitting(cell, offset_s, via)
    fault(cell)
    keep_submitting(cell, 12.0)
    assert starts_in(cell, "left", ordered_at + EVACUATED_WITHIN) == []
    # Guards against a vacuous pass of a cell that starts nothing.
    assert starts_in(cell, "right", ordered_at + EVACUATED_WITHIN)
    assert cell.workers.breaches == []


def test_a_domain_is_used_again_after_the_order_was_taken_back() -> None:
    cell = cell_of_two_domains()
    cell.evacuate("left")
    cell.run(2.0)
    cell.end_evacuation("left")
    taken_back_at = cell.clock.now()
    keep_submitting(cell, 4.0)
    assert starts_in(cell, "left", taken_back_at)


def test_orders_follow_each_other() -> None:
    cell = cell_of_two_domains()
    for domain, other in (("left", "right"), ("right", "left"), ("left", "right")):
        cell.evacuate(domain)
        ordered_at = cell.clock.now()
        keep_submitting(cell, 8.0)
        assert starts_in(cell, domain, ordered_at + EVACUATED_WITHIN) == []
        assert starts_in(cell, other, ordered_at + EVACUATED_WITHIN)
        cell.end_evacuation(domain)


def test_all_domains_may_be_evacuated() -> None:
    cell = cell_of_two_domains()
    for domain in DOMAINS:
        cell.evacuate(domain)
    ordered_at = cell.clock.now()
    keep_submitting(cell, 8.0)
    for domain in DOMAINS:
        assert starts_in(cell, domain, ordered_at + EVACUATED_WITHIN) == []


@pytest.mark.parametrize("key_suffix", ["", "elsewhere", "left/right"])
def test_an_order_for_no_known_domain_changes_nothing(key_suffix: str) -> None:
    cell = cell_of_two_domains()
    cell.evacuate(key_suffix)
    cell.run(3.0)
    began_at = cell.clock.now()
    keep_submitting(cell, 4.0)
    assert starts_in(cell, "left", began_at)
    assert starts_in(cell, "right", began_at)


def test_what_runs_in_the_domain_continues() -> None:
    cell = cell_of_two_domains()
    cell.workers.duration_of = lambda _: timedelta(seconds=9)
    cell.submit("long", job_spec(count=12))
    cell.run(1.0)
    running = len(starts_in(cell, "left", cell.clock.now() - timedelta(seconds=1)))
    assert running
    cell.evacuate("left")
    cell.run(14.0)
    assert cell.state("long") is JobState.COMPLETED
    # Each of its tasks ran once.
    assert len(cell.workers.records) == 12


def test_a_broken_run_restarts_in_another_domain() -> None:
    cell = cell_of_two_domains()
    cell.workers.duration_of = lambda _: timedelta(seconds=9)
    cell.submit("long", job_spec(count=12))
    cell.run(1.0)
    cell.evacuate("left")
    cell.run(5.0)
    crashed_at = cell.clock.now()
    cell.workers.machines["w0"].crash()
    cell.list_worker(cell.workers.machines["w0"].entry)
    cell.run(25.0)
    assert starts_in(cell, "left", crashed_at) == []
    assert cell.state("long") is JobState.COMPLETED


def test_cold_workers_are_used_last() -> None:
    cell = cell_of_two_domains()
    for worker in sorted(IN_DOMAIN["left"]):
        entry = cell.workers.machines[worker].entry
        cell.list_worker(entry._replace(cold_remaining_ms=4_000))
    cell.run(1.0)
    listed_at = cell.clock.now()
    for number in range(8):
        cell.submit(f"job{number}", job_spec(count=2))
        cell.run(0.3)
    warm_at = listed_at + timedelta(seconds=3)
    assert starts_in(cell, "left", listed_at, warm_at) == []
    # Room on cold workers is used once the others are full.
    cell.submit("wide", job_spec(count=40))
    cell.run(0.3)
    assert starts_in(cell, "left", listed_at, warm_at)
