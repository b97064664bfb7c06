"""The API page lists every error code with its status."""

import re
from pathlib import Path

import pytest

from savorylead.outcomes import Refusal
from savorylead_daemon.routing import CallError, CallErrorCode, refusal_status

ROOT = Path(__file__).parents[5]
ROW = re.compile(r"\| `([a-z_]+)` \| (\d{3}) \|")


def statuses_on_the_page():
    page = (ROOT / "docs/API.md").read_text()
    return [(code, int(status)) for code, status in ROW.findall(page)]


def statuses_in_the_code():
    calls = [(code.value, CallError(code).status) for code in CallErrorCode]
    refusals = [(reason.value, refusal_status(reason)) for reason in Refusal]
    return calls + refusals


def test_the_page_lists_each_code_once_with_its_status():
    assert sorted(statuses_on_the_page()) == sorted(statuses_in_the_code())


@pytest.mark.parametrize("reason", list(Refusal))
def test_codes_of_calls_and_refusals_are_disjoint(reason):
    assert reason.value not in [code.value for code in CallErrorCode]
