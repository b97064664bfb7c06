"""Submits over the callers' HTTP interface: validation, refusal and atomicity."""

import typing

import msgspec
import pytest
from twisted.internet.defer import Deferred

from savorylead.contracts import TaskId
from savorylead.outcomes import Refusal
from savorylead_daemon.callers._shapes import TaskBody
from savorylead_daemon.services import RefusedError, TaskDocument
from savorylead_standins.services import DISPATCH_KEY, PLANNING_KEY, MemoryGateway

#: Marks a field to leave out.
ABSENT = object()


def task(request="b-1", **changes):
    document = {
        "request": request,
        "workspace": "tours",
        "queue": "open",
        "kind": "batch",
        "resources": {"cores": 0.5, "memory_mb": 512},
        **changes,
    }
    return {name: value for name, value in document.items() if value is not ABSENT}


def error_of(reply):
    error = reply.document()["error"]
    return reply.status, error["code"], error["path"]


def test_the_bounds_cover_every_field_of_a_task():
    hints = typing.get_type_hints(TaskDocument, include_extras=True)
    needed = {
        name
        for name, hint in hints.items()
        if typing.get_origin(hint) is not typing.NotRequired
    }
    fields = msgspec.structs.fields(TaskBody)
    assert {field.name for field in fields} == hints.keys()
    assert {field.name for field in fields if field.required} == needed


def test_one_task_is_admitted():
    gateway = MemoryGateway()
    reply = gateway.connect().call("POST", "/v1/tasks", task(), DISPATCH_KEY)
    assert reply.status == 200
    assert reply.headers["content-type"] == "application/json"
    name = {"team": "dispatch", "workspace": "tours", "request": "b-1", "member": 0}
    assert reply.document() == {
        "replies": [
            {"status": "admitted", "task": {"id": "dispatch/tours/b-1/0", **name}}
        ]
    }


@pytest.mark.parametrize(
    "changes",
    [
        {"request": "Stubb-Åre-犬橇-🛷"},
        {"request": "x" * 200},
        {"kind": "all_at_once", "members": 8},
        {"kind": "service", "repeatable": False, "urgent": True},
        {"resources": {}},
        {"resources": {"cores": 4, "accelerators": 1, "slots": 1, "connections": 9}},
        {"run_time_s": 1.5, "start_within_s": 7, "payload": "å" * 1000},
        {"team": "dispatch"},
    ],
)
def test_good_tasks_reach_the_service_as_they_were_written(changes):
    gateway = MemoryGateway()
    received = []
    inner = gateway.callers.submit

    async def submit(key, tasks):
        received.extend(tasks)
        return await inner(key, tasks)

    gateway.callers.submit = submit
    reply = gateway.connect().call("POST", "/v1/tasks", task(**changes), DISPATCH_KEY)
    assert reply.status == 200, reply.body
    assert received == [task(**changes)]


BAD_TASKS = [
    ({"colour": "red"}, "unknown_field", ".colour"),
    ({"resources": {"gpus": 1}}, "unknown_field", ".resources.gpus"),
    ({"request": ABSENT}, "missing_field", ".request"),
    ({"kind": ABSENT}, "missing_field", ".kind"),
    ({"resources": ABSENT}, "missing_field", ".resources"),
    ({"request": 7}, "wrong_type", ".request"),
    ({"request": None}, "wrong_type", ".request"),
    ({"request": ""}, "out_of_range", ".request"),
    ({"request": "x" * 201}, "out_of_range", ".request"),
    ({"request": "a/b"}, "bad_value", ".request"),
    ({"request": "a\n"}, "bad_value", ".request"),
    ({"request": "a\x00"}, "bad_value", ".request"),
    ({"request": "a\u0085"}, "bad_value", ".request"),
    ({"workspace": "../other"}, "bad_value", ".workspace"),
    ({"kind": "cron"}, "bad_value", ".kind"),
    ({"kind": 1}, "bad_value", ".kind"),
    ({"resources": []}, "wrong_type", ".resources"),
    ({"resources": {"cores": -0.5}}, "out_of_range", ".resources.cores"),
    ({"resources": {"cores": "1"}}, "wrong_type", ".resources.cores"),
    ({"resources": {"cores": True}}, "wrong_type", ".resources.cores"),
    ({"resources": {"memory_mb": -1}}, "out_of_range", ".resources.memory_mb"),
    ({"resources": {"memory_mb": 1.5}}, "wrong_type", ".resources.memory_mb"),
    ({"resources": {"memory_mb": 1.0}}, "wrong_type", ".resources.memory_mb"),
    ({"resources": {"slots": 10**30}}, "out_of_range", ".resources.slots"),
    ({"resources": {"accelerators": None}}, "wrong_type", ".resources.accelerators"),
    ({"repeatable": "yes"}, "wrong_type", ".repeatable"),
    ({"urgent": 1}, "wrong_type", ".urgent"),
    ({"run_time_s": -1}, "out_of_range", ".run_time_s"),
    ({"start_within_s": 1e300}, "out_of_range", ".start_within_s"),
    ({"kind": "all_at_once", "members": 0}, "out_of_range", ".members"),
    ({"kind": "all_at_once", "members": 10_001}, "out_of_range", ".members"),
    ({"kind": "all_at_once"}, "missing_field", ".members"),
    ({"members": 2}, "unknown_field", ".members"),
    ({"payload": "x" * 65_537}, "out_of_range", ".payload"),
    ({"payload": {}}, "wrong_type", ".payload"),
]


@pytest.mark.parametrize("as_array", [False, True])
@pytest.mark.parametrize(("changes", "code", "path"), BAD_TASKS)
def test_a_bad_task_is_refused_with_code_and_path(changes, code, path, as_array):
    gateway = MemoryGateway()
    body = task(**changes)
    prefix = "$"
    if as_array:
        body = [task("good-1"), body, task("good-2")]
        prefix = "$[1]"
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert error_of(reply) == (400, code, prefix + path)
    assert gateway.callers.views == {}
    assert gateway.metric(f'call_errors_total{{code="{code}"}}') == 1
    assert gateway.metric('refusals_total{reason="bad_request"}') == 1


@pytest.mark.parametrize(
    ("body", "status", "code", "path"),
    [
        (b"", 400, "bad_json", "$"),
        (b"{", 400, "bad_json", "$"),
        (b"{'a': 1}", 400, "bad_json", "$"),
        (b"[" * 100_000, 400, "bad_json", "$"),
        (b'{"a":' * 5_000 + b"1" + b"}" * 5_000, 400, "bad_json", "$"),
        (b'{"a": ' + b"[" * 900 + b"]" * 900 + b"}", 400, "unknown_field", "$.a"),
        (b"[" * 900 + b"]" * 900, 400, "wrong_type", "$[0]"),
        (b'{"request": "\\ud800"}', 400, "bad_json", "$"),
        (b"\xff\xfe{}", 400, "bad_json", "$"),
        (b"NaN", 400, "bad_json", "$"),
        (b"[1e999]", 400, "bad_json", "$"),
        (b"null", 400, "wrong_type", "$"),
        (b'"task"', 400, "wrong_type", "$"),
        (b"7", 400, "wrong_type", "$"),
        (b"[]", 400, "out_of_range", "$"),
        (b"[[]]", 400, "wrong_type", "$[0]"),
        (b"[null]", 400, "wrong_type", "$[0]"),
        (b"{}", 400, "missing_field", "$.kind"),
    ],
)
def test_a_body_that_is_no_task_is_refused(body, status, code, path):
    gateway = MemoryGateway()
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert error_of(reply) == (status, code, path)
    assert gateway.callers.views == {}


def test_every_fault_is_listed_not_only_the_first():
    gateway = MemoryGateway()
    bad = task(kind="cron", colour="red", resources={"cores": -1}, queue=ABSENT)
    body = [task("b-0"), bad, task("b-2", urgent="no")]
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    faults = [(f["path"], f["code"]) for f in reply.document()["faults"]]
    assert faults == [
        ("$[1].colour", "unknown_field"),
        ("$[1].kind", "bad_value"),
        ("$[1].queue", "missing_field"),
        ("$[1].resources.cores", "out_of_range"),
        ("$[2].urgent", "wrong_type"),
    ]


def test_the_list_of_faults_is_bounded():
    gateway = MemoryGateway()
    unknown = {f"field-{n}": n for n in range(5_000)}
    body = [task(f"b-{n}", **unknown) for n in range(20)]
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert reply.status == 400
    assert len(reply.document()["faults"]) == 50


def test_fields_after_many_unknown_ones_are_not_reported_missing():
    gateway = MemoryGateway()
    body = {**{f"field-{n}": n for n in range(1_000)}, **task()}
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    codes = {fault["code"] for fault in reply.document()["faults"]}
    assert codes == {"unknown_field"}


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({f"field-{n}": n for n in range(100_000)}, "unknown_field"),
        ({"resources": {f"field-{n}": n for n in range(1_000)}}, "unknown_field"),
        ({"kind": "x" * 1_000_000}, "bad_value"),
        ({"x" * 1_000_000: 1}, "unknown_field"),
        ({"resources": [[0] * 1_000] * 1_000}, "wrong_type"),
    ],
    ids=["fields", "amounts", "text", "name", "nested"],
)
def test_a_bulky_body_is_refused_by_a_short_answer(changes, code):
    gateway = MemoryGateway()
    body = {**task(), **changes}
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert error_of(reply)[:2] == (400, code)
    assert len(reply.body) < 250_000


def test_the_same_task_twice_in_one_call_is_refused():
    gateway = MemoryGateway()
    body = [task("b-1"), task("b-2"), task("b-1", urgent=True)]
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert error_of(reply) == (400, "duplicate_request", "$[2].request")
    assert gateway.callers.views == {}


def test_more_tasks_than_allowed_are_refused():
    gateway = MemoryGateway(tasks_per_call=3)
    body = [task(f"b-{n}") for n in range(4)]
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert error_of(reply) == (413, "too_many_items", "$")
    reply = gateway.connect().call("POST", "/v1/tasks", body[:3], DISPATCH_KEY)
    assert reply.status == 200


@pytest.mark.parametrize(
    ("key", "changes", "status", "code", "path"),
    [
        ("stranger.secret", {}, 401, "unknown_key", "$"),
        ("withdrawn.secret", {}, 401, "key_withdrawn", "$"),
        (PLANNING_KEY, {"team": "dispatch"}, 403, "wrong_team", "$.team"),
        (DISPATCH_KEY, {"queue": "absent"}, 422, "unknown_queue", "$.queue"),
        (DISPATCH_KEY, {"resources": {"cores": 33}}, 422, "impossible", "$"),
    ],
)
def test_a_refused_task_is_told_by_status_code_and_path(
    key, changes, status, code, path
):
    gateway = MemoryGateway()
    gateway.callers.withdrawn_keys.add("withdrawn.secret")
    reply = gateway.connect().call("POST", "/v1/tasks", task(**changes), key)
    assert error_of(reply) == (status, code, path)
    assert gateway.callers.views == {}
    assert gateway.metric(f'refusals_total{{reason="{code}"}}') == 1
    assert ("www-authenticate" in reply.headers) == (status == 401)


def test_one_refused_task_of_an_array_leaves_nothing_accepted():
    gateway = MemoryGateway()
    body = [task("b-1"), task("b-2", queue="absent")]
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert error_of(reply) == (422, "unknown_queue", "$[1].queue")
    assert gateway.callers.views == {}


def test_each_task_of_an_array_has_its_own_reply():
    gateway = MemoryGateway()
    body = [task("b-1"), task("b-2", resources={"cores": 99}), task("b-3")]
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert reply.status == 200
    statuses = [each["status"] for each in reply.document()["replies"]]
    assert statuses == ["admitted", "not_run", "admitted"]
    assert reply.document()["replies"][1]["reason"] == "impossible"
    assert gateway.metric('refusals_total{reason="impossible"}') == 1


@pytest.mark.parametrize("reason", list(Refusal))
def test_each_refusal_has_a_status_and_a_retry_delay(reason):
    gateway = MemoryGateway()
    gateway.callers.refusal = RefusedError(reason, "because")
    reply = gateway.connect().call("POST", "/v1/tasks", task(), DISPATCH_KEY)
    assert error_of(reply)[1] == reason
    assert 400 <= reply.status <= 503
    assert ("retry-after" in reply.headers) == (reply.status in (429, 503))
    if "retry-after" in reply.headers:
        assert 1 <= int(reply.headers["retry-after"]) <= 15


def test_clients_refused_together_get_different_retry_delays():
    gateway = MemoryGateway()
    gateway.callers.refusal = RefusedError(Refusal.STORE_UNAVAILABLE)
    conn = gateway.connect()
    delays = {
        conn.call("POST", "/v1/tasks", task(), DISPATCH_KEY).headers["retry-after"]
        for _ in range(50)
    }
    assert len(delays) > 5


def test_a_repeated_submit_gets_the_same_answer_and_a_changed_one_is_refused():
    gateway = MemoryGateway()
    conn = gateway.connect()
    first = conn.call("POST", "/v1/tasks", task(), DISPATCH_KEY)
    assert conn.call("POST", "/v1/tasks", task(), DISPATCH_KEY) == first
    other = conn.call("POST", "/v1/tasks", task(urgent=True), DISPATCH_KEY)
    assert error_of(other) == (409, "id_reused", "$")


@pytest.mark.parametrize("count", [0, 2, 4])
def test_a_service_reply_with_a_wrong_number_of_tasks_is_an_error(count):
    gateway = MemoryGateway()

    async def submit(key, tasks):
        return [None] * count

    gateway.callers.submit = submit
    body = [task("b-1"), task("b-2"), task("b-3")]
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert error_of(reply) == (502, "damaged_answer", "$")


def test_a_client_that_leaves_does_not_interrupt_its_submit():
    gateway = MemoryGateway()
    gate = gateway.callers.submit_gate = Deferred()
    conn = gateway.connect()
    conn.request("POST", "/v1/tasks", task(), DISPATCH_KEY)
    conn.leave()
    assert gateway.callers.views == {}
    gate.callback(None)
    assert TaskId("dispatch", "tours", "b-1") in gateway.callers.views
    assert gateway.metric('call_errors_total{code="client_gone"}') == 1
