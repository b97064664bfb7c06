"""The HTTP endpoint in front of complete daemons, as callers and operators use it."""

import copy
import random
from urllib.parse import quote

import pytest

from savorylead.journal import JournalSettings
from savorylead_daemon.entrance import build_http_site
from savorylead_daemon.observability import Metrics, Readiness
from savorylead_standins.cell import (
    OPERATOR_KEY,
    SETTINGS_KEY,
    CellShape,
    FakeCell,
    key_of,
)
from savorylead_standins.checkers import check_all
from savorylead_standins.services import MemoryConnection, small_limits

KEY = key_of("dispatch")
#: Time within which a configuration change takes effect at all daemons, in seconds.
IN_FORCE_S = 4
#: Time between two renewals of a worker, in seconds.
RENEWAL_S = 5
ENDS_WAIT_S = JournalSettings().max_end_delay.total_seconds()


def task(request, run_ms=500, **changes):
    return {
        "request": request,
        "workspace": "main",
        "queue": "day",
        "kind": "batch",
        "resources": {"cores": 1, "memory_mb": 100},
        "payload": f'{{"run_ms": {run_ms}, "answer": "{request}"}}',
        **changes,
    }


def answers_body(*requests, wait_s=0):
    names = [{"workspace": "main", "request": request} for request in requests]
    return {"requests": names, "wait_s": wait_s}


class CellOverHttp:
    """A cell of three daemons, each with its HTTP endpoint."""

    def __init__(self):
        self.cell = FakeCell(1, CellShape())
        self.cell.begin()
        self.cell.run(5)
        self.sites = {
            name: build_http_site(
                running.daemon.callers,
                running.daemon.operators,
                Metrics(cpu_seconds=lambda: 0.0),
                Readiness(),
                small_limits(),
                random.Random(1),
            )
            for name, running in self.cell.daemons.items()
        }

    def begin(self, daemon, method, path, body=b"", key=KEY):
        """Send a call and return its connection."""
        conn = MemoryConnection(self.sites[daemon])
        conn.request(method, path, body, key)
        return conn

    def call(self, daemon, method, path, body=b"", key=KEY):
        """Return the reply to a call, advancing the simulated time until it arrives."""
        conn = self.begin(daemon, method, path, body, key)
        for _ in range(100):
            if conn.replies():
                break
            self.cell.run(0.1)
        (reply,) = conn.replies()
        return reply

    def config(self, daemon="d1"):
        path = "/v1/operators/config"
        return self.call(daemon, "GET", path, key=OPERATOR_KEY).document()

    def apply(self, daemon, document, revision):
        body = {"document": document, "expected_revision": revision}
        path = "/v1/operators/config"
        return self.call(daemon, "POST", path, body, OPERATOR_KEY)

    def withdraw(self, daemon="d3"):
        config = self.config()
        document = copy.deepcopy(config["document"])
        for key in document["teams"]["dispatch"]["keys"].values():
            key["withdrawn"] = True
        assert self.apply(daemon, document, config["revision"]).status == 200

    def finish(self):
        history = self.cell.finish(settled=False)
        assert self.cell.errors == []
        assert check_all(history) == []
        return history


def code_of(reply):
    return reply.document().get("error", {}).get("code", "")


def test_a_task_accepted_by_one_daemon_is_answered_by_another():
    cell = CellOverHttp()
    requests = [f"r{number}" for number in range(6)]
    body = [task(request) for request in requests]
    reply = cell.call("d1", "POST", "/v1/tasks", body)
    assert [r["status"] for r in reply.document()["replies"]] == ["admitted"] * 6
    # A lead learns that a run ended at the next renewal at the latest, and the journal
    # may delay the record in order to write it in one batch with others.
    cell.cell.run(RENEWAL_S + 1 + ENDS_WAIT_S)
    reply = cell.call("d2", "POST", "/v1/answers", answers_body(*requests))
    outcomes = [view["outcome"] for view in reply.document()["tasks"]]
    assert [outcome["result"] for outcome in outcomes] == requests
    # The same submit through a third daemon starts nothing.
    assert cell.call("d3", "POST", "/v1/tasks", body).status == 200
    cell.cell.run(3)
    assert len(cell.finish().executions) == 6


@pytest.mark.parametrize(
    ("changes", "status", "code"),
    [
        ({"queue": "absent"}, 422, "unknown_queue"),
        ({"workspace": "absent"}, 422, "unknown_workspace"),
        ({"team": "planning"}, 403, "wrong_team"),
        ({"resources": {"cores": 5}}, 422, "impossible"),
        (
            {"kind": "all_at_once", "members": 17, "resources": {"cores": 1}},
            422,
            "over_limit",
        ),
    ],
)
def test_what_a_cell_refuses_has_its_status_and_runs_nothing(changes, status, code):
    cell = CellOverHttp()
    reply = cell.call("d1", "POST", "/v1/tasks", task("r", **changes))
    assert (reply.status, code_of(reply)) == (status, code)
    cell.cell.run(3)
    assert cell.finish().executions == []


def test_a_withdrawn_key_stops_everywhere_within_seconds():
    cell = CellOverHttp()
    cell.withdraw()
    cell.cell.run(IN_FORCE_S)
    for daemon in cell.sites:
        reply = cell.call(daemon, "POST", "/v1/tasks", task("late"))
        assert (reply.status, code_of(reply)) == (401, "key_withdrawn")
    assert cell.finish().executions == []


def test_a_wait_that_began_before_its_key_was_withdrawn_gets_no_answer():
    cell = CellOverHttp()
    body = task("slow", run_ms=8_000)
    assert cell.call("d1", "POST", "/v1/tasks", body).status == 200
    waiting = cell.begin("d2", "POST", "/v1/answers", answers_body("slow", wait_s=25))
    cell.withdraw()
    cell.cell.run(15)
    (reply,) = waiting.replies()
    assert code_of(reply) == "key_withdrawn"
    assert b"slow" not in reply.body
    assert len(cell.finish().executions) == 1


def test_of_two_racing_operators_one_wins_and_all_daemons_follow():
    cell = CellOverHttp()
    config = cell.config()
    replies = []
    for daemon, preset in (("d1", "peak"), ("d2", "maintenance")):
        document = {**config["document"], "preset": preset}
        replies.append(cell.apply(daemon, document, config["revision"]))
    assert [reply.status for reply in replies] == [200, 409]
    loser = replies[1].document()
    assert loser["revision"] == replies[0].document()["revision"]
    assert loser["document"]["preset"] == "peak"
    cell.cell.run(IN_FORCE_S)
    path = "/v1/operators/members"
    members = cell.call("d3", "GET", path, key=OPERATOR_KEY).document()["members"]
    assert {member["revision"] for member in members} == {loser["revision"]}
    assert len(members) == 3


@pytest.mark.parametrize("limit", [1, 4, 7, 100])
@pytest.mark.parametrize(
    ("path", "key"),
    [("/v1/tasks?workspace=main", KEY), ("/v1/operators/tasks?team=", OPERATOR_KEY)],
)
def test_the_parts_of_a_list_make_up_the_whole(path, key, limit):
    cell = CellOverHttp()
    requests = [f"r{number:02}-å犬" for number in range(20)]
    body = [task(request) for request in requests]
    assert cell.call("d1", "POST", "/v1/tasks", body).status == 200
    listed, after = [], ""
    for _ in range(len(requests) + 1):
        query = f"{path}&limit={limit}&after={quote(after)}"
        page = cell.call("d2", "GET", query, key=key).document()
        assert len(page["tasks"]) <= limit
        listed += [view["task"]["request"] for view in page["tasks"]]
        after = page["next_after"]
        if not after:
            break
    assert after == ""
    assert listed == requests


def test_a_cancelled_task_stays_cancelled_and_an_unknown_one_gets_a_tombstone():
    cell = CellOverHttp()
    body = [task(f"r{number}", run_ms=60_000) for number in range(30)]
    assert cell.call("d1", "POST", "/v1/tasks", body).status == 200
    cell.cell.run(1)
    names = answers_body(*[f"r{number}" for number in range(30)], "ghost")
    del names["wait_s"]
    assert cell.call("d2", "POST", "/v1/cancel", names).status == 200
    cell.cell.run(10)
    views = cell.call("d3", "POST", "/v1/answers", {**names, "wait_s": 0})
    statuses = [view["outcome"]["status"] for view in views.document()["tasks"]]
    assert statuses == ["cancelled"] * 30 + ["not_run"]
    late = cell.call("d1", "POST", "/v1/tasks", task("ghost"))
    assert (late.status, code_of(late)) == (410, "tombstone")
    cell.finish()


def test_a_withdrawn_operator_key_is_refused_even_if_it_is_in_the_settings():
    cell = CellOverHttp()
    config = cell.config()
    document = copy.deepcopy(config["document"])
    for key in document["operators"].values():
        key["withdrawn"] = True
    assert cell.apply("d1", document, config["revision"]).status == 200
    cell.cell.run(IN_FORCE_S)
    for daemon in cell.sites:
        path = "/v1/operators/members"
        refused = cell.call(daemon, "GET", path, key=OPERATOR_KEY)
        assert (refused.status, code_of(refused)) == (401, "key_withdrawn")
        # A key from the settings that is not in the configuration remains valid, so
        # that operators who withdrew their last key are not locked out.
        assert cell.call(daemon, "GET", path, key=SETTINGS_KEY).status == 200
        # It gives no access to the callers' interface.
        assert (
            cell.call(daemon, "POST", "/v1/tasks", task("a"), SETTINGS_KEY).status
            == 401
        )
