"""The operators' HTTP interface and the probes."""

import copy

import pytest

from savorylead.resources import Resources
from savorylead.store import StoreTimeoutError
from savorylead_daemon.observability import Readiness
from savorylead_daemon.services import WorkerView
from savorylead_standins.services import DISPATCH_KEY, OPERATOR_KEY, MemoryGateway

READS = ["config", "members", "shards", "workers", "teams", "tasks"]


def error_of(reply):
    error = reply.document()["error"]
    return reply.status, error["code"], error["path"]


def with_preset(gateway, preset):
    document = copy.deepcopy(gateway.operators.document)
    document["preset"] = preset
    return document


@pytest.mark.parametrize("name", READS)
def test_a_caller_key_opens_nothing_of_the_operators(name):
    gateway = MemoryGateway()
    conn = gateway.connect()
    path = f"/v1/operators/{name}"
    assert error_of(conn.call("GET", path)) == (401, "missing_key", "$")
    assert error_of(conn.call("GET", path, key=DISPATCH_KEY))[1] == "unknown_key"
    assert conn.call("GET", path, key=OPERATOR_KEY).status == 200


@pytest.mark.parametrize("name", READS)
def test_a_read_in_a_store_outage_is_refused_with_retry_after(name):
    gateway = MemoryGateway()
    gateway.operators.store_error = StoreTimeoutError()
    reply = gateway.connect().call("GET", f"/v1/operators/{name}", key=OPERATOR_KEY)
    assert error_of(reply) == (503, "store_unavailable", "$")
    assert int(reply.headers["retry-after"]) >= 5


@pytest.mark.parametrize("name", [n for n in READS if n not in ("workers", "tasks")])
def test_an_unknown_parameter_is_refused(name):
    gateway = MemoryGateway()
    path = f"/v1/operators/{name}?team=dispatch"
    reply = gateway.connect().call("GET", path, key=OPERATOR_KEY)
    assert error_of(reply) == (400, "bad_parameter", "?team")


def test_views_name_their_fields_also_the_inner_ones():
    gateway = MemoryGateway()
    capacity = Resources(cores_milli=16_000, slots=8)
    gateway.operators.worker_views = [
        WorkerView("w-1", "mv-1", "r-1", "ready", capacity, Resources(), 0),
        WorkerView("w-2", "mv-2", "r-2", "ready", capacity, Resources(), 0),
    ]
    conn = gateway.connect()
    reply = conn.call("GET", "/v1/operators/workers?shard=mv-1", key=OPERATOR_KEY)
    (worker,) = reply.document()["workers"]
    assert worker["name"] == "w-1"
    assert worker["capacity"]["cores_milli"] == 16_000


def test_apply_replaces_the_document_at_the_expected_revision():
    gateway = MemoryGateway()
    body = {"document": with_preset(gateway, "peak"), "expected_revision": 7}
    conn = gateway.connect()
    reply = conn.call("POST", "/v1/operators/config", body, OPERATOR_KEY)
    assert (reply.status, reply.document()) == (200, {"revision": 8})
    assert gateway.operators.document["preset"] == "peak"


def test_the_loser_of_a_race_is_told_the_revision_and_the_document():
    gateway = MemoryGateway()
    conn = gateway.connect()
    first = {"document": with_preset(gateway, "peak"), "expected_revision": 7}
    second = {"document": with_preset(gateway, "maintenance"), "expected_revision": 7}
    assert conn.call("POST", "/v1/operators/config", first, OPERATOR_KEY).status == 200
    reply = conn.call("POST", "/v1/operators/config", second, OPERATOR_KEY)
    assert error_of(reply)[:2] == (409, "config_conflict")
    assert reply.document()["revision"] == 8
    assert reply.document()["document"]["preset"] == "peak"
    assert len(gateway.operators.applied) == 1
    assert gateway.metric('call_errors_total{code="config_conflict"}') == 1


def test_the_faults_of_a_document_are_listed():
    gateway = MemoryGateway()
    body = {"document": with_preset(gateway, "lazy"), "expected_revision": 7}
    conn = gateway.connect()
    reply = conn.call("POST", "/v1/operators/config", body, OPERATOR_KEY)
    assert error_of(reply)[:2] == (422, "config_rejected")
    assert reply.document()["config_faults"] == [
        {"path": "$.preset", "message": "no such preset"}
    ]
    assert gateway.operators.applied == []


def test_a_change_whose_reply_is_lost_is_said_to_be_unknown():
    gateway = MemoryGateway()
    gateway.operators.lost_reply = StoreTimeoutError()
    body = {"document": with_preset(gateway, "peak"), "expected_revision": 7}
    conn = gateway.connect()
    reply = conn.call("POST", "/v1/operators/config", body, OPERATOR_KEY)
    assert error_of(reply)[:2] == (504, "change_unknown")
    read = conn.call("GET", "/v1/operators/config", key=OPERATOR_KEY)
    assert read.document()["document"]["preset"] == "peak"


@pytest.mark.parametrize(
    ("body", "code", "path"),
    [
        (b"{", "bad_json", "$"),
        ({}, "missing_field", "$.document"),
        ({"document": [], "expected_revision": 1}, "wrong_type", "$.document"),
        ({"document": {}, "expected_revision": -1}, "out_of_range", None),
        ({"document": {}, "expected_revision": "7"}, "wrong_type", None),
        (
            {"document": {}, "expected_revision": 7, "force": 1},
            "unknown_field",
            "$.force",
        ),
    ],
)
def test_a_bad_change_is_refused(body, code, path):
    gateway = MemoryGateway()
    reply = gateway.connect().call("POST", "/v1/operators/config", body, OPERATOR_KEY)
    assert error_of(reply) == (400, code, path or "$.expected_revision")
    assert gateway.operators.applied == []


def test_readyz_follows_readiness_and_healthz_does_not():
    gateway = MemoryGateway()
    conn = gateway.connect()
    assert conn.call("GET", "/readyz").status == 503
    gateway.readiness.clear(Readiness.STARTING)
    assert conn.call("GET", "/readyz").status == 200
    gateway.readiness.block(Readiness.STOPPING)
    reply = conn.call("GET", "/readyz")
    assert reply.document() == {"status": "not_ready", "reasons": ["stopping"]}
    assert conn.call("GET", "/healthz").status == 200


def test_metrics_are_served_as_text():
    gateway = MemoryGateway()
    gateway.readiness.clear(Readiness.STARTING)
    reply = gateway.connect().call("GET", "/metrics")
    assert reply.headers["content-type"].startswith("text/plain")
    assert b"\nsavorylead_ready 1\n" in reply.body


def test_a_balancer_may_probe_by_head():
    gateway = MemoryGateway()
    conn = gateway.connect()
    conn.request("HEAD", "/readyz")
    conn.request("HEAD", "/healthz")
    heads = conn.written().split(b"\r\n\r\n")
    assert [head[:12] for head in heads] == [b"HTTP/1.1 503", b"HTTP/1.1 200", b""]
