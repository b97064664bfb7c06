"""Answers, cancellation and task lists over the callers' HTTP interface."""

import pytest

from savorylead.contracts import TaskId
from savorylead_daemon.routing import AdmissionGate, CallError
from savorylead_standins.services import DISPATCH_KEY, PLANNING_KEY, MemoryGateway


def task(request):
    return {
        "request": request,
        "workspace": "tours",
        "queue": "open",
        "kind": "batch",
        "resources": {"cores": 1},
    }


def name(request):
    return {"workspace": "tours", "request": request}


def task_id(request):
    return TaskId("dispatch", "tours", request)


def gateway_with(*requests, **limits):
    gateway = MemoryGateway(**limits)
    body = [task(request) for request in requests]
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert reply.status == 200
    return gateway


def error_of(reply):
    error = reply.document()["error"]
    return reply.status, error["code"], error["path"]


def answers_body(*requests, wait_s=20):
    return {"requests": [name(request) for request in requests], "wait_s": wait_s}


def test_an_available_answer_is_returned_at_once_in_full():
    gateway = gateway_with("a", "b")
    result = "linje å " * 10_000
    gateway.callers.end(task_id("a"), result)
    reply = gateway.connect().call(
        "POST", "/v1/answers", answers_body("b", "a"), DISPATCH_KEY
    )
    views = reply.document()["tasks"]
    assert [view["task"]["request"] for view in views] == ["b", "a"]
    assert views[0]["outcome"] is None
    assert views[1]["outcome"]["status"] == "done"
    assert views[1]["outcome"]["result"] == result


def test_a_wait_ends_with_the_first_outcome():
    gateway = gateway_with("a", "b")
    conn = gateway.connect()
    conn.request("POST", "/v1/answers", answers_body("a", "b"), DISPATCH_KEY)
    assert conn.replies() == []
    gateway.callers.end(task_id("b"), "ready")
    views = conn.replies()[0].document()["tasks"]
    assert [view["outcome"] is None for view in views] == [True, False]


@pytest.mark.parametrize(("wait_s", "ends_after_s"), [(3, 3), (0, 0), (1e6, 5)])
def test_a_wait_ends_without_an_outcome_and_never_exceeds_the_bound(
    wait_s, ends_after_s
):
    gateway = gateway_with("a", answer_wait_s=5)
    conn = gateway.connect()
    conn.request("POST", "/v1/answers", answers_body("a", wait_s=wait_s), DISPATCH_KEY)
    if ends_after_s:
        gateway.time.advance(ends_after_s - 0.01)
        assert conn.replies() == []
        gateway.time.advance(0.02)
    assert conn.replies()[0].document()["tasks"][0]["outcome"] is None


def test_a_client_that_leaves_ends_its_wait():
    gateway = gateway_with("a")
    conn = gateway.connect()
    conn.request("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY)
    assert gateway.callers.waiting_calls() == 1
    conn.leave()
    assert gateway.callers.waiting_calls() == 0
    assert gateway.metric('call_errors_total{code="client_gone"}') == 1
    # The next call still gets the answer.
    gateway.callers.end(task_id("a"), "ready")
    reply = gateway.connect().call(
        "POST", "/v1/answers", answers_body("a"), DISPATCH_KEY
    )
    assert reply.document()["tasks"][0]["outcome"]["result"] == "ready"


def test_open_requests_are_counted_until_they_end_or_their_client_leaves():
    gateway = gateway_with("a")
    conns = [gateway.connect() for _ in range(3)]
    for conn in conns:
        conn.request("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY)
    assert len(gateway.site.pending_results) == 3
    conns[0].leave()
    assert len(gateway.site.pending_results) == 2
    gateway.callers.end(task_id("a"), "ready")
    assert len(gateway.site.pending_results) == 0


def test_a_planned_stop_closes_idle_connections_and_cuts_no_answer():
    gateway = gateway_with("a")
    idle, waiting = gateway.connect(), gateway.connect()
    idle.call("GET", "/healthz")
    waiting.request("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY)
    gateway.site.end_connections()
    assert idle.is_cut()
    assert not waiting.is_cut()
    gateway.callers.end(task_id("a"), "ready")
    assert waiting.replies()[0].status == 200
    assert waiting.is_cut()


def test_a_wait_outlasts_the_idle_timeout_of_its_connection():
    gateway = gateway_with("a", connection_idle_s=2)
    conn = gateway.connect()
    conn.request("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY)
    for time in (conn.time, gateway.time):
        time.advance(10)
    assert not conn.is_cut()
    gateway.callers.end(task_id("a"), "ready")
    assert conn.replies()[0].status == 200
    conn.time.advance(2.1)
    assert conn.is_cut()


def test_waits_are_bounded_apart_from_other_calls():
    gateway = gateway_with("a", waits_at_once=2, calls_at_once=1)
    waiting = [gateway.connect() for _ in range(2)]
    for conn in waiting:
        conn.request("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY)
    conn = gateway.connect()
    refused = conn.call("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY)
    assert error_of(refused) == (503, "overloaded", "$")
    assert int(refused.headers["retry-after"]) >= 1
    # Submits are still accepted, and a client that disconnects frees its slot.
    assert conn.call("POST", "/v1/tasks", task("b"), DISPATCH_KEY).status == 200
    waiting[0].leave()
    conn.request("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY)
    gateway.callers.end(task_id("a"), "ready")
    assert conn.replies()[-1].status == 200


def test_one_key_does_not_lock_the_others_out():
    gateway = gateway_with("a", waits_at_once=4, waits_at_once_per_key=2)
    for _ in range(2):
        gateway.connect().request(
            "POST", "/v1/answers", answers_body("a"), DISPATCH_KEY
        )
    conn = gateway.connect()
    refused = conn.call("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY)
    assert error_of(refused) == (503, "overloaded", "$")
    conn.request("POST", "/v1/answers", answers_body("a", wait_s=1), PLANNING_KEY)
    gateway.time.advance(1)
    assert conn.replies()[-1].status == 200
    # The first two calls are answered eventually, which frees their slots.
    gateway.callers.end(task_id("a"), "ready")
    assert (
        conn.call("POST", "/v1/answers", answers_body("a"), DISPATCH_KEY).status == 200
    )


def test_wrong_keys_leave_nothing_behind():
    gate = AdmissionGate(capacity=2, capacity_per_key=1)
    for number in range(100):
        with gate.admit(f"guess-{number}"):
            pass
    with gate.admit("a"), gate.admit("b"), pytest.raises(CallError):
        gate.admit("c").__enter__()
    assert vars(gate)["_admitted_by_key"] == {}


@pytest.mark.parametrize(
    "digest", ["", "0" * 64, "not a digest"], ids=["empty", "other", "text"]
)
def test_a_damaged_answer_is_never_given_out(digest):
    gateway = gateway_with("a")
    gateway.callers.end(task_id("a"), "ready", digest)
    for method, path, body in (
        ("POST", "/v1/answers", answers_body("a")),
        ("GET", "/v1/tasks?workspace=tours", b""),
    ):
        reply = gateway.connect().call(method, path, body, DISPATCH_KEY)
        assert error_of(reply) == (502, "damaged_answer", "$")
        assert b"ready" not in reply.body


@pytest.mark.parametrize(
    "swap",
    [
        lambda views: views[::-1],
        lambda views: views[:1],
        lambda views: [*views, views[0]],
        lambda views: [views[0], views[0]],
    ],
    ids=["reversed", "cut", "longer", "doubled"],
)
@pytest.mark.parametrize("path", ["/v1/answers", "/v1/cancel"])
def test_an_answer_of_another_request_is_never_given_out(swap, path):
    gateway = gateway_with("a", "b")
    for method in ("answers", "cancel"):
        inner = getattr(gateway.callers, method)

        async def swapped(*args, inner=inner):
            return swap(await inner(*args))

        setattr(gateway.callers, method, swapped)
    gateway.callers.end(task_id("a"), "ready")
    body = answers_body("a", "b")
    if path == "/v1/cancel":
        del body["wait_s"]
    reply = gateway.connect().call("POST", path, body, DISPATCH_KEY)
    assert error_of(reply) == (502, "damaged_answer", "$")


def test_another_team_sees_and_cancels_only_its_own():
    gateway = gateway_with("a")
    conn = gateway.connect()
    reply = conn.call("POST", "/v1/answers", answers_body("a", wait_s=0), PLANNING_KEY)
    assert reply.document()["tasks"][0]["phase"] == "absent"
    conn.call("POST", "/v1/cancel", {"requests": [name("a")]}, PLANNING_KEY)
    assert gateway.callers.views[task_id("a")].outcome is None
    reply = conn.call(
        "GET", "/v1/tasks?workspace=tours&phase=queued", b"", DISPATCH_KEY
    )
    assert len(reply.document()["tasks"]) == 1


def test_a_key_withdrawn_between_two_waits_gets_no_answer():
    gateway = gateway_with("a")
    conn = gateway.connect()
    conn.call("POST", "/v1/answers", answers_body("a", wait_s=0), DISPATCH_KEY)
    gateway.callers.withdrawn_keys.add(DISPATCH_KEY)
    reply = conn.call("POST", "/v1/answers", answers_body("a", wait_s=0), DISPATCH_KEY)
    assert error_of(reply) == (401, "key_withdrawn", "$")


def test_cancel_names_a_task_once_and_leaves_a_tombstone_of_an_unknown_one():
    gateway = gateway_with("a")
    body = {"requests": [name("a"), name("ghost"), name("a")]}
    reply = gateway.connect().call("POST", "/v1/cancel", body, DISPATCH_KEY)
    outcomes = [view["outcome"] for view in reply.document()["tasks"]]
    assert outcomes == [
        {"status": "cancelled", "started": False},
        {"status": "not_run", "reason": "tombstone", "detail": ""},
    ]
    late = gateway.connect().call("POST", "/v1/tasks", task("ghost"), DISPATCH_KEY)
    assert error_of(late) == (410, "tombstone", "$")


@pytest.mark.parametrize("path", ["/v1/answers", "/v1/cancel"])
@pytest.mark.parametrize(
    ("body", "status", "code", "at"),
    [
        (b"{", 400, "bad_json", "$"),
        (b"[]", 400, "wrong_type", "$"),
        (b"{}", 400, "missing_field", "$.requests"),
        ({"requests": {}}, 400, "wrong_type", "$.requests"),
        ({"requests": []}, 400, "out_of_range", "$.requests"),
        ({"requests": [name("a")], "x": 1}, 400, "unknown_field", "$.x"),
        ({"requests": ["a"]}, 400, "wrong_type", "$.requests[0]"),
        (
            {"requests": [name("a"), {"request": "a"}]},
            400,
            "missing_field",
            "$.requests[1].workspace",
        ),
        (
            {"requests": [{**name("a"), "team": "dispatch"}]},
            400,
            "unknown_field",
            "$.requests[0].team",
        ),
        ({"requests": [name("")]}, 400, "out_of_range", "$.requests[0].request"),
        ({"requests": [name("a")] * 4}, 413, "too_many_items", "$.requests"),
        ({"requests": [name("a")], "wait_s": -1}, 400, None, "$.wait_s"),
    ],
)
def test_bad_names_are_refused(path, body, status, code, at):
    gateway = MemoryGateway(tasks_per_call=3)
    reply = gateway.connect().call("POST", path, body, DISPATCH_KEY)
    if code is None:
        code = "out_of_range" if path == "/v1/answers" else "unknown_field"
    assert error_of(reply) == (status, code, at)
    assert gateway.callers.views == {}


@pytest.mark.parametrize(
    ("query", "path"),
    [
        ("", "?workspace"),
        ("workspace=", "?workspace"),
        ("workspace=tours&colour=red", "?colour"),
        ("workspace=tours&phase=lost", "?phase"),
        ("workspace=tours&limit=0", "?limit"),
        ("workspace=tours&limit=-1", "?limit"),
        ("workspace=tours&limit=1001", "?limit"),
        ("workspace=tours&limit=" + "9" * 900, "?limit"),
        ("workspace=tours&limit=%D9%A3", "?limit"),
        ("workspace=" + "x" * 1001, "?workspace"),
    ],
)
def test_bad_parameters_are_refused(query, path):
    gateway = MemoryGateway()
    reply = gateway.connect().call("GET", f"/v1/tasks?{query}", b"", DISPATCH_KEY)
    assert error_of(reply) == (400, "bad_parameter", path)


def test_a_list_is_read_in_parts():
    requests = [f"r-{n}-å" for n in range(5)]
    gateway = gateway_with(*requests)
    conn = gateway.connect()
    listed, after = [], ""
    while True:
        path = f"/v1/tasks?workspace=tours&limit=2&after={after}"
        page = conn.call("GET", path, b"", DISPATCH_KEY).document()
        listed += [view["task"]["request"] for view in page["tasks"]]
        after = page["next_after"].replace("å", "%C3%A5")
        if not after:
            break
    assert listed == requests
