"""The operators' page tells every metric and every setting."""

import re
from pathlib import Path

import pytest

from savorylead_daemon.observability import Metrics
from savorylead_daemon.settings._schema import SCHEMA

ROOT = Path(__file__).parents[5]
PAGE = (ROOT / "docs/OPERATIONS.md").read_text()


def metric_names():
    body, _ = Metrics(cpu_seconds=lambda: 0.0).render()
    return re.findall(r"^# TYPE savorylead_(\w+)", body.decode(), re.MULTILINE)


def fields(schema):
    for name, part in schema["properties"].items():
        if "properties" in part:
            yield from fields(part)
        else:
            yield name


@pytest.mark.parametrize("name", metric_names())
def test_the_page_tells_each_metric(name):
    assert f"`{name}`" in PAGE


def test_the_page_tells_no_other_metric():
    table = PAGE.partition("## Metrics and alarms")[2].partition("## Further")[0]
    rows = [line for line in table.splitlines() if line.startswith("| `")]
    told = {name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])}
    assert told == set(metric_names())


@pytest.mark.parametrize("name", sorted(fields(SCHEMA)))
def test_the_page_tells_each_setting(name):
    assert re.search(rf"[`.]{name}`", PAGE)
