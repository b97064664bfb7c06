"""Validation, comparison and keys of configuration documents."""

import copy
import json
import random
from datetime import UTC, datetime
from pathlib import Path

import pytest

from savorylead.config import (
    ABSENT_FIELD,
    KeyHolder,
    KeyRing,
    KeyRole,
    UnknownKey,
    WithdrawnKey,
    check_document,
    diff_documents,
    grant_key,
)

EXAMPLES = Path(__file__).parents[5] / "examples"
MONTEVERDE = json.loads((EXAMPLES / "monteverde.json").read_text())["cell"]
NOW = datetime(2026, 1, 1, tzinfo=UTC)


def changed(*parts, value=None, remove=False):
    document = copy.deepcopy(MONTEVERDE)
    parent = document
    for part in parts[:-1]:
        parent = parent[part]
    if remove:
        del parent[parts[-1]]
    else:
        parent[parts[-1]] = value
    return document


@pytest.mark.parametrize("name", ["monteverde", "skyltverket"])
def test_the_examples_are_valid(name):
    cell = json.loads((EXAMPLES / f"{name}.json").read_text())["cell"]
    assert check_document(cell) == []


@pytest.mark.parametrize(
    ("parts", "value", "path"),
    [
        (("extra",), 1, "$.extra"),
        (("cell",), 5, "$.cell"),
        (("cell",), "a/b", "$.cell"),
        (("preset",), "holiday", "$.preset"),
        (("presets", "holiday"), {}, "$.presets.holiday"),
        (("presets", "peak", "ageing_s"), 0, "$.presets.peak.ageing_s"),
        (("presets", "peak", "spread_weight"), -1, "$.presets.peak.spread_weight"),
        (
            ("presets", "peak", "spread_weight"),
            float("nan"),
            "$.presets.peak.spread_weight",
        ),
        (("presets", "peak", "backfill"), 1, "$.presets.peak.backfill"),
        (("teams", "dispatch", "share"), 0, "$.teams.dispatch.share"),
        (("teams", "dispatch", "share"), True, "$.teams.dispatch.share"),
        (("teams", "dispatch", "share"), float("inf"), "$.teams.dispatch.share"),
        (
            ("teams", "dispatch", "limit", "cores"),
            -1,
            "$.teams.dispatch.limit.cores",
        ),
        (
            ("teams", "dispatch", "limit", "wheels"),
            1,
            "$.teams.dispatch.limit.wheels",
        ),
        (
            ("teams", "dispatch", "keys", "dispatch-demo", "sha256"),
            "AB",
            "$.teams.dispatch.keys['dispatch-demo'].sha256",
        ),
        (
            ("teams", "dispatch", "keys", "dispatch-demo", "granted_at"),
            "2026-01-01T00:00:00",
            "$.teams.dispatch.keys['dispatch-demo'].granted_at",
        ),
        (("queues", "nightly", "max_waiting"), 0, "$.queues.nightly.max_waiting"),
        (("queues", "nightly", "teams"), ["ghosts"], "$.queues.nightly.teams[0]"),
        (
            ("queues", "nightly", "teams"),
            ["planning", "planning"],
            "$.queues.nightly.teams[1]",
        ),
        (
            ("workspaces", "dispatch/tours", "home_region"),
            "moon",
            "$.workspaces['dispatch/tours'].home_region",
        ),
        (
            ("workspaces", "dispatch/tours", "team"),
            "planning",
            "$.workspaces['dispatch/tours']",
        ),
        (("shards", "mv-1", "domain"), "mv-2", "$.shards['mv-2'].racks"),
        (("shards", "mv-1", "region"), "a/b", "$.shards['mv-1'].region"),
        (
            ("shards", "mv/1"),
            {"region": "r", "domain": "d", "racks": []},
            "$.shards['mv/1']",
        ),
    ],
)
def test_one_fault_is_found_at_its_path(parts, value, path):
    faults = check_document(changed(*parts, value=value))
    assert [fault.path for fault in faults] == [path]


@pytest.mark.parametrize(
    "parts",
    [
        ("teams",),
        ("operators",),
        ("presets", "peak"),
        ("teams", "dispatch", "share"),
        ("shards", "mv-1", "racks"),
    ],
)
def test_a_missing_field_is_named(parts):
    faults = check_document(changed(*parts, remove=True))
    assert len(faults) == 1
    assert faults[0].message == "missing field"
    assert faults[0].path.endswith(parts[-1])


def test_a_key_id_that_is_used_twice_is_named_in_both_places():
    key = MONTEVERDE["operators"]["operator-demo"]
    document = changed("operators", "dispatch-demo", value=key)
    assert [fault.path for fault in check_document(document)] == [
        "$.operators['dispatch-demo']",
        "$.teams.dispatch.keys['dispatch-demo']",
    ]


def test_every_fault_is_listed():
    document = changed("preset", remove=True)
    document["teams"]["dispatch"]["share"] = "much"
    document["teams"]["planning"]["extra"] = 1
    document["queues"]["nightly"]["max_waiting"] = -1
    document["presets"]["maintenance"]["ageing_s"] = -2
    del document["presets"]["peak"]
    document["teams"]["veterinary"]["share"] = 0
    document["workspaces"]["dispatch/tours"]["home_region"] = "moon"
    assert [fault.path for fault in check_document(document)] == [
        "$.preset",
        "$.presets.maintenance.ageing_s",
        "$.presets.peak",
        "$.queues.nightly.max_waiting",
        "$.teams.dispatch.share",
        "$.teams.planning.extra",
        "$.teams.veterinary.share",
        "$.workspaces['dispatch/tours'].home_region",
    ]


@pytest.mark.parametrize("raw", [None, 1, "x", [], [{}]])
def test_what_is_not_an_object_is_refused(raw):
    assert [fault.path for fault in check_document(raw)] == ["$"]


@pytest.mark.parametrize(
    ("before", "after", "changes"),
    [
        ({"a": 1}, {"a": 1}, []),
        ({"a": 1}, {"a": 2}, [("$.a", 1, 2)]),
        ({"a": 1}, {"a": True}, [("$.a", 1, True)]),
        ({"a": {"b": 1, "c": 2}}, {"a": {"b": 1}}, [("$.a.c", 2, ABSENT_FIELD)]),
        ({}, {"a-b": [1]}, [("$['a-b']", ABSENT_FIELD, [1])]),
        ({"a": [1, 2]}, {"a": [1, 3]}, [("$.a", [1, 2], [1, 3])]),
    ],
)
def test_diff(before, after, changes):
    assert [tuple(change) for change in diff_documents(before, after)] == changes


def ring_with(key, team="dispatch"):
    document = copy.deepcopy(MONTEVERDE)
    keys = document["operators"]
    if team:
        keys = document["teams"][team]["keys"]
    keys[key.key_id] = key.document
    return document


def test_a_granted_key_opens_its_team_until_it_is_withdrawn():
    key = grant_key(random.Random(1), NOW)
    document = ring_with(key)
    assert check_document(document) == []
    holder = KeyHolder(KeyRole.TEAM, "dispatch", key.key_id)
    assert KeyRing(document).check(key.text) == holder
    document["teams"]["dispatch"]["keys"][key.key_id]["withdrawn"] = True
    assert KeyRing(document).check(key.text) == WithdrawnKey(key.key_id)


def test_an_operators_key_opens_no_team():
    key = grant_key(random.Random(1), NOW)
    ring = KeyRing(ring_with(key, team=""))
    assert ring.check(key.text) == KeyHolder(KeyRole.OPERATOR, "", key.key_id)


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda text: "",
        lambda text: text[:-1],
        lambda text: text + "0",
        lambda text: text.replace(".", ""),
        lambda text: text.partition(".")[0] + ".",
        lambda text: "k0." + text.partition(".")[2],
        lambda text: "\ud800",
    ],
)
def test_a_wrong_key_is_unknown(corrupt):
    key = grant_key(random.Random(1), NOW)
    assert KeyRing(ring_with(key)).check(corrupt(key.text)) == UnknownKey()


def test_a_wrong_secret_does_not_tell_that_the_key_was_withdrawn():
    key = grant_key(random.Random(1), NOW)
    document = ring_with(key)
    document["teams"]["dispatch"]["keys"][key.key_id]["withdrawn"] = True
    assert KeyRing(document).check(f"{key.key_id}.guess") == UnknownKey()


def test_the_configuration_does_not_hold_the_text_of_a_key():
    key = grant_key(random.Random(1), NOW)
    secret = key.text.partition(".")[2]
    assert secret not in json.dumps(ring_with(key))
