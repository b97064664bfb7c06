"""A team over its share gets immediate refusals for work that cannot run in time."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import Any

import pytest

from savorylead.jobs import JobState
from savorylead.pools import Team
from savorylead.resources import Resources
from savorylead_daemon.pool import CallerAnswer, _admission
from savorylead_standins.pools import PoolCell, job_spec
from savorylead_standins.pools._pool_cell import KEY

from .cell_cases import ready_cell

Kind = CallerAnswer.Kind
#: Share of each team, in jobs per second. The pool's 32 cores run 16 such jobs per
#: second.
WEIGHT = 4.0
STEP = {"count": 2, "estimate_ms": 1_000}


def two_teams(**changes: Any) -> PoolCell:
    """Return a cell with two teams of equal weight."""
    cell = ready_cell(**changes)
    teams = (
        Team("team", frozenset({KEY}), WEIGHT, Resources()),
        Team("calm", frozenset({"calm-key"}), WEIGHT, Resources()),
    )
    cell.put_config(cell.document._replace(version=2, teams=teams))
    cell.run(1.0)
    return cell


def send(cell: PoolCell, name: str, rng: random.Random, key: str = KEY) -> None:
    """Submit one job at a random node."""
    body = cell.encode(job_spec(**STEP))
    via = rng.choice(sorted(cell.nodes))
    cell.call("submit", f"/q/{name}", via, body, name, key=key)


def load(
    cell: PoolCell, seconds: int, hot_per_s: int, rest_s: float = 2.0
) -> tuple[list[str], list[str]]:
    """Submit ``hot_per_s`` jobs per second for one team, 3 for the other.

    Nothing is submitted during the final ``rest_s``. Returns the job ids per team.
    """
    rng = random.Random(3)
    hot, calm = [], []
    for tick in range(seconds * 60):
        if tick % (60 // hot_per_s) == 0:
            hot.append(f"hot{tick}")
            send(cell, hot[-1], rng)
        if tick % 20 == 0:
            calm.append(f"calm{tick}")
            send(cell, calm[-1], rng, "calm-key")
        cell.run(1 / 60)
    cell.run(rest_s)
    return hot, calm


def kinds(cell: PoolCell, names: list[str]) -> list[CallerAnswer.Kind]:
    """Return the kinds of the answers to the calls."""
    return [cell.answer(name).kind for name in names]


def test_a_hot_team_is_told_when_to_come_back_and_the_others_are_served() -> None:
    # Regression: a team that submitted 30 jobs per second, with a share of 4 and a pool
    # capacity of 16, had all of them accepted.
    cell = two_teams()
    hot, calm = load(cell, seconds=8, hot_per_s=30)
    assert set(kinds(cell, calm)) == {Kind.DONE}
    answers = [cell.answer(name) for name in hot]
    refused = [a for a in answers if a.kind is Kind.NOT_NOW]
    assert {a.error for a in refused} == {"backlog"}
    assert all(1 <= a.retry_after_s <= 45 for a in refused)
    accepted = [n for n, a in zip(hot, answers, strict=True) if a.kind is Kind.DONE]
    # Capacity that the calm team leaves unused still goes to the hot team.
    assert len(accepted) >= 8 * (16 - 4) * 0.75
    assert len(refused) >= 8 * (30 - 16) * 0.75
    cell.run(8.0)
    done = [cell.state(name, "node-0") for name in accepted + calm]
    assert set(done) == {JobState.COMPLETED}


def test_a_team_beyond_its_share_is_served_where_there_is_room() -> None:
    cell = two_teams()
    hot, calm = load(cell, seconds=4, hot_per_s=10)
    assert set(kinds(cell, hot + calm)) == {Kind.DONE}


def test_a_job_that_was_accepted_is_accepted_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The caller lost the answer and submits again while new jobs are refused.
    monkeypatch.setattr(_admission, "MAX_OPEN_JOBS", 10)
    cell = two_teams()
    cell.workers.duration_of = lambda _: timedelta(seconds=60)
    load(cell, seconds=2, hot_per_s=30, rest_s=0.1)
    assert cell.answer("hot0").kind is Kind.DONE
    body = cell.encode(job_spec(**STEP))
    for via in cell.nodes:
        cell.call("submit", f"/q/new {via}", via, body, f"new {via}")
        cell.call("submit", "/q/hot0", via, body, f"again {via}")
    cell.run(0.2)
    assert set(kinds(cell, [f"new {via}" for via in cell.nodes])) == {Kind.NOT_NOW}
    assert set(kinds(cell, [f"again {via}" for via in cell.nodes])) == {Kind.DONE}


def test_no_one_waits_for_a_lead_that_does_not_answer() -> None:
    # The team is being refused, so the gateway queries the lead, which does not answer.
    cell = two_teams()
    hot, _ = load(cell, seconds=4, hot_per_s=30, rest_s=0.1)
    assert cell.answer(hot[-1]).kind is Kind.NOT_NOW
    lead = cell.lead_of()
    cell.mute.add(lead)
    via = next(name for name in cell.nodes if name != lead)
    cell.call("submit", "/q/late", via, cell.encode(job_spec(**STEP)), "late")
    cell.run(0.2)
    assert cell.answer("late").kind is Kind.DONE


@pytest.mark.parametrize("workers", [4, 0])
@pytest.mark.parametrize("most", [10, 40])
def test_no_more_jobs_are_accepted_than_a_lead_can_keep(
    most: int, workers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Ten times the load, all within the team's share: memory use must stay bounded,
    # also when no worker is left.
    monkeypatch.setattr(_admission, "MAX_OPEN_JOBS", most)
    cell = two_teams(workers=workers)
    teams = (Team("team", frozenset({KEY}), 1_000.0, Resources()),)
    cell.put_config(cell.document._replace(version=3, teams=teams))
    cell.run(1.0)
    rng = random.Random(5)
    open_jobs = cell.nodes[cell.lead_of()].leads["pool"]._state.jobs.open
    largest = 0
    for tick in range(600):
        send(cell, f"j{tick}", rng)
        cell.run(1 / 160)
        largest = max(largest, len(open_jobs))
    # 8 more jobs, submitted within 50 ms, may be in flight when the limit is reached.
    assert largest <= most + 8
    refused = [
        a for n in range(600) if (a := cell.answer(f"j{n}")) and a.kind is Kind.NOT_NOW
    ]
    assert refused
    assert {a.error for a in refused} == {"backlog"}
