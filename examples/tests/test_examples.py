import hashlib
import json
from pathlib import Path

import pytest

EXAMPLES = ("monteverde", "skyltverket")


def read(name):
    return json.loads((Path(__file__).parents[1] / f"{name}.json").read_text())


@pytest.mark.parametrize("name", EXAMPLES)
def test_each_demo_key_is_the_one_whose_hash_the_cell_holds(name):
    example = read(name)
    teams = example["cell"]["teams"]
    assert example["demo"]["keys"].keys() == teams.keys()
    for team, key in example["demo"]["keys"].items():
        key_id = key.partition(".")[0]
        digest = hashlib.sha256(key.encode()).hexdigest()
        assert teams[team]["keys"][key_id]["sha256"] == digest
    operator_key = example["demo"]["operator_key"]
    digest = hashlib.sha256(operator_key.encode()).hexdigest()
    assert example["demo"]["operator_key_sha256"] == digest


@pytest.mark.parametrize("name", EXAMPLES)
def test_the_cell_refers_only_to_what_it_holds(name):
    cell = read(name)["cell"]
    regions = {shard["region"] for shard in cell["shards"].values()}
    for label, workspace in cell["workspaces"].items():
        assert label.partition("/")[0] == workspace["team"]
        assert workspace["team"] in cell["teams"]
        assert workspace["home_region"] in regions
    for queue in cell["queues"].values():
        assert set(queue["teams"]) <= cell["teams"].keys()
        assert queue["open"] or queue["teams"]
    assert cell["preset"] in cell["presets"]
