"""Records and messages of dfb5967, de0a453 and a2328f7 have the same bytes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import pytest

from savorylead.jobs import (
    RecordedRun,
    RecordError,
    SuspectTask,
    TaskCrash,
    decode_job,
    decode_progress,
    decode_suspects,
    encode_job,
    encode_progress,
    encode_suspects,
)
from savorylead.pools import AdviceCost, Queue, decode_grants, encode_grants
from savorylead_daemon.pool import _keys
from savorylead_daemon.pool._candidates import Machine
from savorylead_daemon.pool._cell_view import LeadRecord, MemberRecord, encode_record
from savorylead_daemon.pool._job_claims import JobClaim, decode_claim, encode_claim
from savorylead_daemon.pool._peer_messages import (
    AdmissionQuery,
    AdviceReply,
    Done,
    GrantsWritten,
    JobAccepted,
    JobCancelled,
    JobStoreRequest,
    LeadReply,
    LeaseEndRequest,
    PeerAdviceRequest,
    PendingQuery,
    ReachabilityQuery,
    StateQuery,
)
from savorylead_daemon.pool._pool_records import RecordedWorker


class Record(NamedTuple):
    """A record as an earlier build wrote it."""

    value: bytes
    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes]


RECORDS = {
    "job": Record(
        b'["0a1b2c3d4e5f6071","pool","queue","team",1764950400000,["payload",'
        b'[[3,[1000,100,0,0,0],700,[],false,false,false,"","",0,false,false,"",0,'
        b'false,0],[2,[2000,100,1,0,0],0,[0],false,true,false,"","",0,false,false,'
        b'"",0,false,0]],0,0,0]]',
        lambda value: decode_job("key", value),
        encode_job,
    ),
    "progress": Record(
        b'["",true,0,[[0,0,false,[1,2],[[0,[1,65]]]]]]',
        lambda value: decode_progress("key", value),
        encode_progress,
    ),
    "ended job": Record(
        b'["failed",true,1764950401000,[]]',
        lambda value: decode_progress("key", value),
        encode_progress,
    ),
    "workers": Record(
        b'[[["i-1","pool","10.0.0.1:80","zone",[8000,64000,0,0,0],["kind","r1"],'
        b'"r1",true,1764950000000,null,0]]]',
        lambda value: msgspec.json.decode(value, type=list[RecordedWorker]),
        msgspec.json.encode,
    ),
    # The records below are those of de0a453.
    "suspects": Record(
        b'[{"task":"0a1b2c3d4e5f6071.0.0.2","crashes":[{"worker":"i-1",'
        b'"at_ms":1764950400000,"age_ms":12,"is_youngest":true,"is_confirmed":true}],'
        b'"isolated_run":{"worker":"i-2","incarnation_start_ms":1764950000000,'
        b'"number":66}}]',
        lambda value: decode_suspects("key", value),
        encode_suspects,
    ),
    "member": Record(
        b'["edge-1","0a","10.0.0.1:71","9"]',
        lambda value: msgspec.json.decode(value, type=MemberRecord),
        encode_record,
    ),
    "lead": Record(
        b'[["edge-1","0a","10.0.0.1:71","9"],7]',
        lambda value: msgspec.json.decode(value, type=LeadRecord),
        encode_record,
    ),
    # The records below are those of a2328f7.
    "workers, one leaving": Record(
        b'[[["i-1","pool","10.0.0.1:80","zone",[8000,64000,0,0,0],["kind","r1"],'
        b'"r1",false,1764950000000,30000,1500]]]',
        lambda value: msgspec.json.decode(value, type=list[RecordedWorker]),
        msgspec.json.encode,
    ),
    "machine": Record(
        b"[2.0,100.0,512]",
        lambda value: msgspec.json.decode(value, type=Machine),
        encode_record,
    ),
    "grants": Record(
        b'[{"team":{"pool":[[1000,256,0,0,0],[4000,512,1,0,0]]}}]',
        decode_grants,
        encode_grants,
    ),
    # Earlier builds read a claim as a part of a team that they do not know.
    "grants with a claim": Record(
        b'[{"team":{"pool":[[1000,256,0,0,0],[4000,512,1,0,0]]},'
        b'"\\u0000claims/team":{"pool":[[6000,512,0,0,0],[3,2000]]}}]',
        decode_grants,
        encode_grants,
    ),
    "claim without a queue": Record(
        b'{"pool":"pool"}',
        lambda value: decode_claim("key", value),
        encode_claim,
    ),
    "claim": Record(
        b'{"pool":"pool","queue":{"name":"q","host":"host","prefix":"/q/",'
        b'"pool":"pool","priority":1,"max_attempts":3,"stretch":2.0,'
        b'"objective_ms":3000}}',
        lambda value: decode_claim("key", value),
        encode_claim,
    ),
    "claim of an advised queue": Record(
        b'{"pool":"pool","queue":{"name":"q","host":"host","prefix":"/q/",'
        b'"pool":"pool","priority":1,"max_attempts":3,"stretch":2.0,'
        b'"objective_ms":3000,"anonymous":true,"advice":{"decide_ms":20.0,'
        b'"per_worker_ms":0.5,"valid_ms":2000}}}',
        lambda value: decode_claim("key", value),
        encode_claim,
    ),
}

_JOB = (
    b'["0a1b2c3d4e5f6071","pool","queue","team",1764950400000,["payload",'
    b'[[1,[1000,100,0,0,0],1000,[],false,false,false,"","",0,false,false,"",0,false,'
    b"0]],0,0,0]]"
)
#: Messages as the builds of de0a453 and a2328f7 sent them.
MESSAGES: dict[type, bytes] = {
    JobAccepted: b"[" + _JOB + b",7]",
    AdmissionQuery: b'["pool","0a1b2c3d4e5f6071","queue","team",[[1,[1000,100,0,0,0],'
    b'1000,[],false,false,false,"","",0,false,false,"",0,false,0]]]',
    JobCancelled: b'["pool","0a1b2c3d4e5f6071"]',
    StateQuery: b'["pool","0a1b2c3d4e5f6071"]',
    PendingQuery: b'["pool","queue"]',
    GrantsWritten: b'["pool"]',
    JobStoreRequest: b"[" + _JOB + b"]",
    LeaseEndRequest: b'["9"]',
    ReachabilityQuery: b'["pool","10.0.0.1:71"]',
    Done: b"[true]",
    PeerAdviceRequest: b'["s",["w"],1.5]',
    LeadReply: b'[true,true,"running",3,false,0,"","",0]',
    AdviceReply: b'[{"w":"ticket"},2000,"",false]',
}
#: Further answers of the build of a2328f7.
ANSWERS: list[tuple[type, bytes]] = [
    (LeadReply, b'[false,false,"",0,false,0,"edge-1","10.0.0.1:71",7]'),
    (LeadReply, b'[true,true,"",0,true,1500,"","",0]'),
    (AdviceReply, b'[{},0,"AdviserBusyError",true]'),
]


@pytest.mark.parametrize(
    ("kind", "body"),
    [*MESSAGES.items(), *ANSWERS],
    ids=[kind.__name__ for kind in (*MESSAGES, *(kind for kind, _ in ANSWERS))],
)
def test_messages_have_the_bytes_of_the_earlier_build(kind: type, body: bytes) -> None:
    assert msgspec.json.encode(msgspec.json.decode(body, type=kind)) == body


@pytest.mark.parametrize("record", RECORDS.values(), ids=RECORDS)
def test_records_have_the_bytes_of_the_earlier_build(record: Record) -> None:
    assert record.encode(record.decode(record.value)) == record.value


@pytest.mark.parametrize(
    "key",
    [
        _keys.crashes_key("pool"),
        _keys.claim_key("0a1b2c3d4e5f6071"),
        _keys.term_leases_key("pool"),
        _keys.ended_lease_key("7"),
    ],
)
def test_added_keys_are_under_no_prefix_that_the_earlier_build_reads(key: str) -> None:
    read = [
        _keys.CELL_PREFIX,
        _keys.GRANTS_KEY,
        _keys.term_key("pool"),
        _keys.workers_key("pool"),
        _keys.intake_prefix("pool"),
        _keys.progress_prefix("pool"),
    ]
    assert not any(key.startswith(prefix) for prefix in read)


@pytest.mark.parametrize("key", [_keys.pool_key("pool"), _keys.marker_key("edge-1")])
def test_the_earlier_build_takes_added_keys_for_no_other_record(key: str) -> None:
    # It reads all keys of the cell, and ignores those of kinds that it does not know.
    known = (_keys.MEMBER_PREFIX, _keys.MACHINE_PREFIX, _keys.LEAD_PREFIX)
    assert not key.startswith(known)


QUEUE = Queue("q", "host", "/q/", "pool", 1, 3, 2.0, 3_000, False, None)


@pytest.mark.parametrize(
    "queue",
    [None, QUEUE, QUEUE._replace(advice=AdviceCost(20.0, 0.5, 2_000))],
    ids=["unknown", "plain", "advised"],
)
def test_a_claim_keeps_the_queue_and_ignores_fields_of_a_later_build(
    queue: Queue | None,
) -> None:
    document = msgspec.json.decode(encode_claim(JobClaim.of("pool", queue)))
    document["added"] = [1]
    if queue is not None:
        document["queue"]["added"] = {"a": 1}
    claim = decode_claim("key", msgspec.json.encode(document))
    assert (claim.pool, claim.accepted_queue()) == ("pool", queue)


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b'{"queue":1}', b"\xff", b"[" * 100_000]
)
def test_a_malformed_claim_raises_an_error(value: bytes) -> None:
    with pytest.raises(RecordError):
        decode_claim("key", value)


SUSPECT = SuspectTask(
    "0a1b2c3d4e5f6071.0.0.2",
    (TaskCrash("i-1", 1_764_950_400_000, 12, True, True),),
    RecordedRun("i-2", 1_764_950_000_000, 66),
)


#: A run on a worker that did not answer; nothing has crashed under its task so far.
EXPOSED = SuspectTask(
    "0a1b2c3d4e5f6071.0.0.3",
    (),
    RecordedRun("i-3", 1_764_950_000_000, 67, 11, 12, 13, 14, 15),
)


@pytest.mark.parametrize(
    "suspects",
    [[], [SUSPECT], [SUSPECT, SUSPECT._replace(recorded_run=None)], [EXPOSED]],
)
def test_suspects_are_read_as_they_were_written(suspects: list[SuspectTask]) -> None:
    assert decode_suspects("key", encode_suspects(suspects)) == suspects


def test_an_exposed_run_is_written_as_earlier_builds_read_it() -> None:
    # Builds up to ea1850b take these fields, ignore further ones, and begin the task's
    # crashes with an empty list.
    [document] = msgspec.json.decode(encode_suspects([EXPOSED]))
    assert (document["task"], document["crashes"]) == (EXPOSED.task, [])
    known = {"worker", "incarnation_start_ms", "number"}
    run = {key: document["isolated_run"][key] for key in known}
    assert run == {
        "worker": "i-3",
        "incarnation_start_ms": 1_764_950_000_000,
        "number": 67,
    }


def test_fields_of_a_later_build_are_ignored() -> None:
    [document] = msgspec.json.decode(encode_suspects([SUSPECT]))
    document["added"] = [1]
    document["crashes"][0]["added"] = {"a": 1}
    document["isolated_run"]["added"] = None
    value = msgspec.json.encode([document])
    assert decode_suspects("key", value) == [SUSPECT]


@pytest.mark.parametrize(
    "value", [b"", b"{", b'{"a":1}', b'[{"task":1}]', b"\xff", b"[" * 100_000]
)
def test_a_malformed_record_of_suspects_raises_an_error(value: bytes) -> None:
    with pytest.raises(RecordError):
        decode_suspects("key", value)
