"""The callers' HTTP endpoint: paths, keys, limits and malformed requests."""

import pytest
from twisted.internet.defer import Deferred

from savorylead_standins.services import (
    DISPATCH_KEY,
    OPERATOR_KEY,
    MemoryConnection,
    MemoryGateway,
)

TASK = {
    "request": "b-1",
    "workspace": "tours",
    "queue": "open",
    "kind": "batch",
    "resources": {"cores": 1},
}


def error_of(reply):
    error = reply.document()["error"]
    return reply.status, error["code"], error["path"]


@pytest.mark.parametrize(
    ("method", "path", "status", "code"),
    [
        ("GET", "/", 404, "not_found"),
        ("GET", "/v1/nothing", 404, "not_found"),
        ("GET", "/v1/tasks/", 404, "not_found"),
        ("GET", "/v1//tasks", 404, "not_found"),
        ("GET", "/v1/../metrics", 404, "not_found"),
        ("DELETE", "/v1/tasks", 405, "method_not_allowed"),
        ("GET", "/v1/cancel", 405, "method_not_allowed"),
        ("POST", "/metrics", 405, "method_not_allowed"),
    ],
)
def test_other_paths_and_methods_are_refused(method, path, status, code):
    gateway = MemoryGateway()
    reply = gateway.connect().call(method, path, b"", DISPATCH_KEY)
    assert error_of(reply)[:2] == (status, code)
    assert gateway.metric(f'call_errors_total{{code="{code}"}}') == 1


def test_metrics_name_routes_and_never_paths():
    gateway = MemoryGateway()
    conn = gateway.connect()
    for number in range(20):
        conn.call("GET", f"/guess-{number}")
    assert gateway.metric('http_requests_total{route="none",status="404"}') == 20
    assert b"guess" not in gateway.metrics.render()[0]


@pytest.mark.parametrize(
    ("headers", "status", "code"),
    [
        ((), 401, "missing_key"),
        (("Authorization: ",), 401, "bad_authorization"),
        (("Authorization: Bearer",), 401, "bad_authorization"),
        (("Authorization: Bearer ",), 401, "bad_authorization"),
        (("Authorization: Basic abc",), 401, "bad_authorization"),
        (("Authorization: Bearer a b",), 401, "bad_authorization"),
        (("Authorization: Bearer \xe5\xe4",), 401, "bad_authorization"),
        (("Authorization: Bearer " + "x" * 257,), 401, "bad_authorization"),
        (
            (f"Authorization: Bearer {DISPATCH_KEY}", "authorization: Bearer other"),
            400,
            None,
        ),
        ((f"Authorization: bearer  {DISPATCH_KEY} ",), 200, None),
    ],
)
@pytest.mark.parametrize("path", ["/v1/tasks?workspace=tours", "/v1/operators/teams"])
def test_the_key_is_read_strictly(headers, status, code, path):
    gateway = MemoryGateway()
    gateway.callers.teams_by_key[OPERATOR_KEY] = "dispatch"
    headers = tuple(h.replace(DISPATCH_KEY, OPERATOR_KEY) for h in headers)
    reply = gateway.connect().call("GET", path, headers=headers)
    if status == 400:
        # The order of two Authorization headers gives neither of them precedence.
        status, code = 401, "bad_authorization"
    assert reply.status == status
    if code is not None:
        assert reply.document()["error"]["code"] == code
        assert reply.headers["www-authenticate"].startswith("Bearer")


def test_a_key_is_never_quoted_in_an_answer():
    gateway = MemoryGateway()
    secret = "team.very-secret-text!"
    reply = gateway.connect().call("GET", "/v1/tasks?workspace=a", key=secret)
    assert reply.status == 401
    assert b"very-secret" not in reply.body


@pytest.mark.parametrize("size", [2_000, 2_001, 3_000])
def test_the_limit_of_a_body_is_exact(size):
    gateway = MemoryGateway(body_bytes=2_000)
    body = b" " * size
    reply = gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    expected = (400, "bad_json", "$") if size == 2_000 else (413, "body_too_large", "$")
    assert error_of(reply) == expected
    assert gateway.metric(f'call_errors_total{{code="{expected[1]}"}}') == 1


def test_a_body_without_a_stated_length_is_bounded_too():
    gateway = MemoryGateway(body_bytes=2_000)
    conn = gateway.connect()
    conn.send(
        b"POST /v1/tasks HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer a.b\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    for _ in range(30):
        conn.send(b"64\r\n" + b"x" * 100 + b"\r\n")
    conn.send(b"0\r\n\r\n")
    assert error_of(conn.replies()[0]) == (413, "body_too_large", "$")
    assert gateway.callers.views == {}


def test_a_body_far_over_the_limit_cuts_the_connection():
    gateway = MemoryGateway(body_bytes=2_000)
    conn = gateway.connect()
    conn.send(b"POST /v1/tasks HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n")
    for _ in range(50):
        if not conn.is_cut():
            conn.send(b"x" * 100)
    assert conn.is_cut()
    assert gateway.callers.views == {}


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"GET /healthz",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"POST /v1/tasks HTTP/1.1\r\nContent-Length: 100\r\n",
        b"POST /v1/tasks HTTP/1.1\r\nContent-Length: 100\r\n\r\n{",
    ],
    ids=["nothing", "line", "tls", "headers", "body"],
)
def test_a_slow_caller_that_never_ends_its_request_is_cut(data):
    gateway = MemoryGateway(connection_idle_s=5)
    conn = gateway.connect()
    conn.send(data)
    conn.time.advance(4)
    assert not conn.is_cut()
    conn.time.advance(2)
    assert conn.is_cut()


def test_a_caller_that_sends_a_byte_now_and_then_is_cut():
    gateway = MemoryGateway(connection_idle_s=5)
    conn = gateway.connect()
    conn.send(b"POST /v1/tasks HTTP/1.1\r\nContent-Length: 100\r\n\r\n")
    for _ in range(4):
        conn.time.advance(1)
        conn.send(b" ")
    assert not conn.is_cut()
    conn.time.advance(1.1)
    assert conn.is_cut()


def test_each_request_of_a_connection_has_its_own_deadline():
    gateway = MemoryGateway(connection_idle_s=5)
    conn = gateway.connect()
    for _ in range(4):
        conn.time.advance(4)
        assert conn.call("GET", "/healthz").status == 200
    conn.time.advance(5.1)
    assert conn.is_cut()


def test_connections_are_bounded_and_room_is_given_back():
    gateway = MemoryGateway(connections=2)
    conns = [gateway.connect(), gateway.connect()]
    assert gateway.site.buildProtocol(None) is None
    conns[0].leave()
    assert gateway.connect().call("GET", "/healthz").status == 200
    assert gateway.site.connections == 2


def test_bodies_together_are_bounded_and_room_is_given_back():
    gateway = MemoryGateway(body_bytes=2_000, buffered_bytes=3_000)
    head = (
        b"POST /v1/tasks HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer a.b\r\n"
        b"Content-Length: 2000\r\n\r\n"
    )
    slow = [gateway.connect() for _ in range(2)]
    for conn in slow:
        conn.send(head + b" " * 1_400)
    assert gateway.site.buffered_bytes == 2_800
    refused = gateway.connect().call("POST", "/v1/tasks", b" " * 300, DISPATCH_KEY)
    assert error_of(refused) == (503, "overloaded", "$")
    assert int(refused.headers["retry-after"]) >= 1
    slow[0].leave()
    assert gateway.site.buffered_bytes == 1_400
    slow[1].send(b" " * 600)
    assert error_of(slow[1].replies()[0]) == (400, "bad_json", "$")
    assert gateway.site.buffered_bytes == 0


def test_a_request_that_arrives_byte_by_byte_is_served():
    gateway = MemoryGateway()
    fast, slow = gateway.connect(), gateway.connect()
    body = b'{"requests": [{"workspace": "tours", "request": "\xc3\xa5"}]}'
    fast.request("POST", "/v1/answers", body, DISPATCH_KEY)
    head = (
        f"POST /v1/answers HTTP/1.1\r\nHost: cell\r\n"
        f"Authorization: Bearer {DISPATCH_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    for byte in head.encode() + body:
        slow.send(bytes([byte]))
    assert slow.replies()[0].document() == fast.replies()[0].document()
    assert slow.replies()[0].status == 200


def test_the_traffic_of_a_site_is_what_went_over_its_connections():
    gateway = MemoryGateway()
    conn = gateway.connect()
    request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    conn.send(request * 3)
    assert gateway.site.traffic.received == 3 * len(request)
    assert gateway.site.traffic.sent == len(conn.written())


def test_pipelined_requests_are_answered_in_their_order():
    gateway = MemoryGateway()
    conn = gateway.connect()
    requests = b""
    for path in ("/healthz", "/nothing", "/readyz", "/healthz"):
        requests += f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    conn.send(requests)
    assert [reply.status for reply in conn.replies()] == [200, 404, 503, 200]


def test_a_pipelined_request_waits_for_the_long_poll_before_it():
    gateway = MemoryGateway()
    conn = gateway.connect()
    conn.call("POST", "/v1/tasks", TASK, DISPATCH_KEY)
    query = {"requests": [{"workspace": "tours", "request": "b-1"}], "wait_s": 9}
    conn.request("POST", "/v1/answers", query, DISPATCH_KEY)
    conn.request("GET", "/healthz")
    assert len(conn.replies()) == 1
    gateway.time.advance(9)
    assert [len(r.document()) for r in conn.replies()[1:]] == [1, 1]
    assert conn.replies()[1].document()["tasks"][0]["outcome"] is None
    assert conn.replies()[2].document() == {"status": "ok"}


@pytest.mark.parametrize(
    "data",
    [
        b"GET /healthz\r\n\r\n",
        b"GET /healthz HTTP/1.1\r\nbad header line\r\n\r\n",
        b"GET /healthz HTTP/1.1\r\n" + b"A: b\r\n" * 2_000 + b"\r\n",
        b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n",
        b"POST /v1/tasks HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"POST /v1/tasks HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        b"POST /v1/tasks HTTP/1.1\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
    ids=["http09", "colon", "many", "long", "negative", "two", "smuggle"],
)
def test_malformed_http_closes_its_connection_and_the_daemon_keeps_serving(data):
    gateway = MemoryGateway()
    conn = gateway.connect()
    conn.send(data)
    assert conn.is_cut()
    assert gateway.callers.views == {}
    assert gateway.connect().call("GET", "/healthz").status == 200


def test_an_unforeseen_failure_is_answered_without_its_text():
    gateway = MemoryGateway()

    async def broken(*args):
        raise ZeroDivisionError("secret detail")

    gateway.callers.submit = broken
    reply = gateway.connect().call("POST", "/v1/tasks", TASK, DISPATCH_KEY)
    assert error_of(reply) == (500, "internal", "$")
    assert b"secret" not in reply.body
    assert gateway.metric('call_errors_total{code="internal"}') == 1


def test_callers_can_not_lock_the_operators_or_the_probes_out():
    gateway = MemoryGateway(calls_at_once=1, waits_at_once=1)
    gateway.callers.submit_gate = Deferred()
    gateway.connect().request("POST", "/v1/tasks", TASK, DISPATCH_KEY)
    conn = MemoryConnection(gateway.site)
    refused = conn.call("POST", "/v1/tasks", TASK, DISPATCH_KEY)
    assert error_of(refused) == (503, "overloaded", "$")
    assert conn.call("GET", "/v1/operators/teams", key=OPERATOR_KEY).status == 200
    assert conn.call("GET", "/healthz").status == 200
    assert conn.call("GET", "/metrics").status == 200
