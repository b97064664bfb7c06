"""The operations page documents every metric, setting and default."""

import re
from pathlib import Path

import pytest

from savorylead_daemon.observability import Metrics
from savorylead_daemon.settings._schema import DEFAULTS, SCHEMA

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
    documented = {
        name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])
    }
    assert documented == set(metric_names())


@pytest.mark.parametrize("name", sorted(fields(SCHEMA)))
def test_the_page_tells_each_setting(name):
    assert re.search(rf"[`.]{name}`", PAGE)


def defaults_on_the_page():
    table = PAGE.partition("## Settings of a daemon")[2].partition("## Presets")[0]
    documented = {}
    for row in table.splitlines():
        cells = [cell.strip() for cell in row.split("|")]
        if len(cells) > 3 and cells[1].startswith("`"):
            names = re.findall(r"`([a-z_.0-9]+)`", cells[1])
            documented.update(
                zip(names, cells[2].replace("`", "").split(", "), strict=False)
            )
    return documented


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (f"{section}.{field}", value)
        for section, values in DEFAULTS.items()
        for field, value in values.items()
    ],
)
def test_the_page_tells_each_default(name, value):
    text = value if isinstance(value, str) else f"{value:g}"
    if isinstance(value, int):
        text = str(value)
    assert defaults_on_the_page()[name] == text
