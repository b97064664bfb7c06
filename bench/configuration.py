"""Processor time of a change of the configuration, and of a key check."""

from __future__ import annotations

import copy
import random
import time
from collections.abc import Callable
from datetime import UTC, datetime

import msgspec

from bench._report import report
from savorylead.config import (
    CellDocument,
    KeyRing,
    check_document,
    decode_document,
    diff_documents,
    grant_key,
)
from savorylead.store import KeyValue
from savorylead_standins.nodes import share_document

BENCH = "configuration"
#: The size to design for, and a fraction and a multiple of it for the slope.
TEAM_COUNTS = (12, 46, 184)
KEYS_PER_TEAM = 4
WORKSPACES_PER_TEAM = 6
NOW = datetime(2026, 1, 1, tzinfo=UTC)


def document_of(teams: int) -> tuple[CellDocument, str]:
    """Return a document and the text of one of its keys."""
    document = share_document(1.0)
    rng = random.Random(1)
    text = ""
    for number in range(teams):
        name = f"team{number}"
        granted = [grant_key(rng, NOW) for _ in range(KEYS_PER_TEAM)]
        text = granted[0].text
        keys = {key.key_id: key.document for key in granted}
        limit = {"cores": 100.0, "memory_mb": 400_000}
        document["teams"][name] = {"share": 1.0, "limit": limit, "keys": keys}
        for place in range(WORKSPACES_PER_TEAM):
            label = f"{name}/workspace{place}"
            document["workspaces"][label] = {"team": name, "home_region": "north"}
    return document, text


def time_of(func: Callable[[], object], times: int) -> float:
    """Return the processor time of one call in seconds."""
    began = time.process_time()
    for _ in range(times):
        func()
    return (time.process_time() - began) / times


def measure(teams: int) -> None:
    document, text = document_of(teams)
    changed = copy.deepcopy(document)
    changed["preset"] = "peak"
    value = msgspec.json.encode(document)
    item = KeyValue("config-documents/edit", value, 1)
    ring = KeyRing(document)
    assert check_document(document) == []
    size = f"{teams}_teams"
    report(BENCH, f"document_{size}", len(value) / 1000, "kB", 1000)
    check = time_of(lambda: check_document(document), 5)
    report(BENCH, f"check_{size}", check * 1000, "ms")
    diff = time_of(lambda: diff_documents(document, changed), 20)
    report(BENCH, f"diff_{size}", diff * 1000, "ms")
    follow = time_of(lambda: KeyRing(decode_document(item)), 20)
    report(BENCH, f"put_in_force_{size}", follow * 1000, "ms")
    key = time_of(lambda: ring.check(text), 20_000)
    report(BENCH, f"key_check_{size}", key * 1e6, "us")


def main() -> None:
    """Print every figure; takes a few seconds."""
    for teams in TEAM_COUNTS:
        measure(teams)


if __name__ == "__main__":
    main()
