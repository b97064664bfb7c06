"""Decoding of records in the view of the cell, including those of other versions."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import NamedTuple

import msgspec
import pytest
from twisted.internet.task import Clock as StepClock

from savorylead.clock import TwistedClock
from savorylead_daemon.observability import EventLog
from savorylead_daemon.pool._candidates import Machine
from savorylead_daemon.pool._cell_view import (
    CellView,
    LeadRecord,
    MemberRecord,
    encode_record,
)
from savorylead_daemon.pool._keys import lead_key, machine_key, member_key
from savorylead_standins.pools import MemoryCellStore, StoreView

MEMBER = MemberRecord("one", "incarnation", "10.0.0.1:1", "7")
MACHINE = Machine(2.0, 100.0, 300)


class EarlierMember(NamedTuple):
    """A member as encoded by daemons that did not report machines yet."""

    name: str
    incarnation: str
    address: str
    lease_id: str = ""


class EarlierLead(NamedTuple):
    """A lead as encoded by daemons that did not report machines yet."""

    member: EarlierMember
    term: int


def view_of(records: dict[str, bytes]) -> tuple[CellView, StepClock]:
    time = StepClock()
    clock = TwistedClock(time, datetime(2026, 1, 1, tzinfo=UTC))
    store = MemoryCellStore(clock)
    for key, value in records.items():
        store.put(key, value)
    view = CellView(StoreView(store), clock, EventLog(clock, 1))
    view.start()
    for _ in range(10):
        time.advance(0.01)
    return view, time


@pytest.mark.parametrize(
    "records, members, machines",
    [
        # A daemon of an earlier version, which does not report its machine.
        (
            {member_key("one"): b'["one","incarnation","10.0.0.1:1","7"]'},
            {"one": MEMBER},
            {},
        ),
        (
            {
                member_key("one"): encode_record(MEMBER),
                machine_key("one"): encode_record(MACHINE),
            },
            {"one": MEMBER},
            {"one": MACHINE},
        ),
        # A record without the fields that an earlier version did not have.
        ({machine_key("one"): b"[2.0]"}, {}, {"one": Machine(2.0)}),
        # A record that can't be decoded does not affect the others.
        (
            {member_key("one"): encode_record(MEMBER), machine_key("one"): b"[-"},
            {"one": MEMBER},
            {},
        ),
    ],
)
def test_members_of_other_versions_are_not_lost_from_the_view(
    records: dict[str, bytes],
    members: dict[str, MemberRecord],
    machines: dict[str, Machine],
) -> None:
    view, _ = view_of(records)
    assert view.members == members
    assert view.machines == machines
    view.stop()


def test_daemons_of_an_earlier_version_read_members_and_leads() -> None:
    # Such daemons could not decode these records with an additional field.
    member = msgspec.json.decode(encode_record(MEMBER), type=EarlierMember)
    assert member == MEMBER
    lead = encode_record(LeadRecord(MEMBER, 2))
    assert msgspec.json.decode(lead, type=EarlierLead) == (MEMBER, 2)
    assert lead_key("pool") == "savorylead/cell/lead/pool"
