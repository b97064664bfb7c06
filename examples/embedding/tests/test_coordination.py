"""The examples of the coordination parts run as they are printed in the docs."""

import importlib.util
import random
from datetime import UTC, datetime
from pathlib import Path

import pytest
from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead_standins.store import MemoryStore


def load(name):
    path = Path(__file__).parents[1] / f"{name}.py"
    module_spec = importlib.util.spec_from_file_location(f"embedding_{name}", path)
    module = importlib.util.module_from_spec(module_spec)
    module_spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    ("name", "function", "expected"),
    [
        ("journal", "write_and_read", ["intake/photographs/sign-17/0: placed"]),
        (
            "fenced_lead",
            "take_over",
            [
                "first must not act: epoch 1 of shard north is over",
                "second acted at epoch 2",
                "second leads",
            ],
        ),
        ("escrowed_limit", "share_limit", [6, 2]),
        (
            "in_force_config",
            "change_preset",
            ["ordinary", "peak", "fresh: True", "changed since: ['$.preset']"],
        ),
    ],
)
def test_example(name, function, expected):
    provider = task.Clock()
    clock = TwistedClock(provider, datetime(2026, 1, 1, tzinfo=UTC))
    store = MemoryStore(clock, random.Random(1))
    if name == "journal":
        store = store.client("process-1")
    results = []
    coroutine = getattr(load(name), function)(store, clock)
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    provider.pump([0.01] * 500)
    assert results == [expected]
