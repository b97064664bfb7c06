"""Assignment of shards to daemons."""

import pytest

from savorylead.domains import (
    LeadAssignment,
    Member,
    MemberRecord,
    Shard,
    assign_leads,
    next_lead_steps,
)

NOW_MS = 100_000
SHARDS = [Shard(f"s{number}", "north", f"d{number}") for number in range(7)]


def record(name, region="north", leading=True, settled_at_ms=0):
    member = Member(name, region, "d1", "127.0.0.1:1", f"{name}-1", leading)
    return MemberRecord(member, settled_at_ms)


def leads_of(assignments):
    return {name: step.lead for name, step in assignments.items()}


def settled(names):
    return [record(name) for name in names]


@pytest.mark.parametrize("count", [1, 2, 3, 6, 7, 12])
def test_no_daemon_leads_more_than_its_even_share(count):
    assignments = assign_leads(
        SHARDS, settled(f"d{n}" for n in range(count)), {}, NOW_MS
    )
    leads = list(leads_of(assignments).values())
    assert len(leads) == 7
    loads = [leads.count(f"d{n}") for n in range(count)]
    assert max(loads) - min(loads) <= 1
    assert all(step.vacant for step in assignments.values())


def test_members_in_any_order_give_the_same_assignment():
    records = settled("abcdef")
    backwards = records[::-1]
    assert assign_leads(SHARDS, records, {}, NOW_MS) == assign_leads(
        SHARDS[::-1], backwards, {}, NOW_MS
    )


def test_other_regions_and_leaving_daemons_get_no_shard():
    records = [record("a", region="south"), record("b", leading=False), record("c")]
    leads = leads_of(assign_leads(SHARDS, records, {}, NOW_MS))
    assert set(leads.values()) == {"c"}


def test_a_region_without_daemons_has_no_lead():
    assignments = assign_leads(SHARDS[:1], [record("a", region="south")], {}, NOW_MS)
    assert assignments["s0"] == LeadAssignment("s0", "", False)


@pytest.mark.parametrize(
    ("holder", "vacant"),
    [
        ("", True),  # The lead resigned.
        ("gone", True),  # The lead's lease lapsed.
        ("leaving", False),  # It must resign first.
        ("a", False),  # It leads already.
    ],
)
def test_vacancy(holder, vacant):
    records = [record("a"), record("leaving", leading=False)]
    step = assign_leads(SHARDS[:1], records, {"s0": holder}, NOW_MS)["s0"]
    assert step == LeadAssignment("s0", "a", vacant)


def test_returning_daemon_gets_shards_back_only_once_it_is_settled():
    names = ["a", "b", "c"]
    full = leads_of(assign_leads(SHARDS, settled(names), {}, NOW_MS))
    without = leads_of(assign_leads(SHARDS, settled(["a", "b"]), full, NOW_MS))
    assert "c" not in without.values()
    returned = [*settled(["a", "b"]), record("c", settled_at_ms=NOW_MS + 1)]
    assert leads_of(assign_leads(SHARDS, returned, without, NOW_MS)) == without
    again = leads_of(assign_leads(SHARDS, returned, without, NOW_MS + 1))
    moved = {name for name in again if again[name] != without[name]}
    assert moved
    assert {again[name] for name in moved} == {"c"}
    assert max(list(again.values()).count(name) for name in names) == 3


@pytest.mark.parametrize(
    ("registered_ago_ms", "vacant"), [(2_999, False), (3_000, True)]
)
def test_who_registered_just_now_does_not_take_shards_of_absent_leads(
    registered_ago_ms, vacant
):
    member = record("a")._replace(registered_at_ms=NOW_MS - registered_ago_ms)
    step = assign_leads(SHARDS[:1], [member], {"s0": "absent"}, NOW_MS)["s0"]
    assert step.vacant is vacant
    assert assign_leads(SHARDS[:1], [member], {"s0": ""}, NOW_MS)["s0"].vacant


@pytest.mark.parametrize("lost", ["a", "b", "c", "d", "e", "f"])
def test_death_of_a_daemon_moves_only_its_shards(lost):
    names = ["a", "b", "c", "d", "e", "f"]
    full = leads_of(assign_leads(SHARDS, settled(names), {}, NOW_MS))
    left = [name for name in names if name != lost]
    after = leads_of(assign_leads(SHARDS, settled(left), full, NOW_MS))
    moved = {name for name in full if after[name] != full[name]}
    assert moved == {name for name in full if full[name] == lost}


def test_shard_of_a_lost_lead_goes_to_a_settled_daemon():
    records = [record("a"), record("b", settled_at_ms=NOW_MS + 1)]
    leads = dict.fromkeys((shard.name for shard in SHARDS), "gone")
    assert set(leads_of(assign_leads(SHARDS, records, leads, NOW_MS)).values()) == {"a"}


def test_a_new_cell_is_led_before_anybody_is_settled():
    records = [record(name, settled_at_ms=NOW_MS + 1) for name in "abc"]
    assert set(leads_of(assign_leads(SHARDS, records, {}, NOW_MS)).values()) == {
        "a",
        "b",
        "c",
    }


@pytest.mark.parametrize(
    ("held", "assignment", "lead", "to_open", "to_resign"),
    [
        ([], LeadAssignment("s0", "me", True), "", ["s0"], []),
        ([], LeadAssignment("s0", "me", False), "other", [], []),
        ([], LeadAssignment("s0", "other", False), "me", ["s0"], []),
        (["s0"], LeadAssignment("s0", "me", False), "me", [], []),
        (["s0"], LeadAssignment("s0", "other", False), "me", [], ["s0"]),
        (["s0"], LeadAssignment("s0", "", False), "me", [], []),
        ([], LeadAssignment("s0", "other", True), "", [], []),
    ],
)
def test_next_steps(held, assignment, lead, to_open, to_resign):
    steps = next_lead_steps("me", held, {"s0": assignment}, {"s0": lead})
    assert steps == (tuple(to_open), tuple(to_resign))
