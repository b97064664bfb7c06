"""Semantic checks of the structurally valid parts of a document."""

from __future__ import annotations

import math
import re
from collections import Counter
from collections.abc import Iterator
from datetime import datetime
from typing import Any

from savorylead.documents import DocumentFault, json_path

from ._document import KeyDocument

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


class _ValidParts:
    """Access to the structurally valid parts of a document."""

    def __init__(
        self, raw: dict[str, Any], invalid_paths: set[tuple[str, ...]]
    ) -> None:
        self._raw = raw
        self._invalid_paths = invalid_paths

    def entries(self, section: str) -> dict[str, Any]:
        """Return the valid entries of a section."""
        return {
            name: entry
            for name, entry in self._section(section).items()
            if (section, name) not in self._invalid_paths
        }

    def names(self, section: str) -> set[str]:
        """Return the names of all entries of a section, including invalid ones."""
        return set(self._section(section))

    def regions(self) -> set[str] | None:
        """Return the regions of all shards, or None if any shard is invalid."""
        shards = self.entries("shards")
        if not self.is_valid_section("shards") or len(shards) < len(
            self.names("shards")
        ):
            return None
        return {shard["region"] for shard in shards.values()}

    def is_valid_section(self, section: str) -> bool:
        """Return whether the section is present and itself valid."""
        return section in self._raw and (section,) not in self._invalid_paths

    def _section(self, section: str) -> dict[str, Any]:
        return self._raw[section] if self.is_valid_section(section) else {}


def semantic_faults(
    raw: dict[str, Any], invalid_paths: set[tuple[str, ...]]
) -> Iterator[DocumentFault]:
    """Yield the semantic faults of all parts that are not in ``invalid_paths``.

    Each item of ``invalid_paths`` is the path of a section or of an entry in a section.
    """
    document = _ValidParts(raw, invalid_paths)
    if document.is_valid_section("cell"):
        yield from _check_name(raw["cell"], "cell")
    yield from _check_names(document)
    yield from _check_shards(document)
    yield from _check_teams(document)
    yield from _check_keys(document)
    yield from _check_workspaces(document)
    yield from _check_queues(document)
    yield from _check_presets(document)


def _check_names(document: _ValidParts) -> Iterator[DocumentFault]:
    for section in ("shards", "teams", "queues"):
        for name in document.names(section):
            yield from _check_name(name, section, name)


def _check_name(name: str, *parts: str) -> Iterator[DocumentFault]:
    if not _NAME.fullmatch(name):
        message = "a name has 1 to 63 letters, digits, '_' or '-'"
        yield DocumentFault(json_path(*parts), message)


def _check_shards(document: _ValidParts) -> Iterator[DocumentFault]:
    shards = document.entries("shards")
    if document.is_valid_section("shards") and not document.names("shards"):
        yield DocumentFault(json_path("shards"), "at least one shard is needed")
    owners: dict[tuple[str, str], str] = {}
    regions: dict[str, str] = {}
    for name, shard in shards.items():
        for field in ("region", "domain"):
            yield from _check_name(shard[field], "shards", name, field)
        region = regions.setdefault(shard["domain"], shard["region"])
        if region != shard["region"]:
            message = f"domain {shard['domain']} lies in region {region} as well"
            yield DocumentFault(json_path("shards", name, "region"), message)
        for rack in shard["racks"] or [""]:
            owner = _conflicting_shard(owners, shard["domain"], rack)
            if owner is not None:
                message = f"these workers belong to shard {owner} already"
                yield DocumentFault(json_path("shards", name, "racks"), message)
                break
        for rack in shard["racks"] or [""]:
            owners.setdefault((shard["domain"], rack), name)


def _conflicting_shard(
    owners: dict[tuple[str, str], str], domain: str, rack: str
) -> str | None:
    """Return a shard that already has the rack; an empty rack is the whole domain."""
    if rack:
        return owners.get((domain, rack)) or owners.get((domain, ""))
    for owner_domain, owner_rack in owners:
        if owner_domain == domain:
            return owners[owner_domain, owner_rack]
    return None


def _check_teams(document: _ValidParts) -> Iterator[DocumentFault]:
    for name, team in document.entries("teams").items():
        share = team["share"]
        if not (math.isfinite(share) and share > 0):
            yield DocumentFault(json_path("teams", name, "share"), "must be over 0")
        for dimension, amount in team["limit"].items():
            if not (math.isfinite(amount) and amount >= 0):
                path = json_path("teams", name, "limit", dimension)
                yield DocumentFault(path, "must be 0 or more")


def _check_keys(document: _ValidParts) -> Iterator[DocumentFault]:
    located_keys = [
        (("teams", name, "keys", key_id), key)
        for name, team in document.entries("teams").items()
        for key_id, key in team["keys"].items()
    ]
    located_keys += [
        (("operators", key_id), key)
        for key_id, key in document.entries("operators").items()
    ]
    uses = Counter(parts[-1] for parts, _ in located_keys)
    for parts, key in located_keys:
        yield from _check_name(parts[-1], *parts)
        yield from _check_key(key, parts)
        if uses[parts[-1]] > 1:
            yield DocumentFault(json_path(*parts), "the key id is used twice")


def _check_key(key: KeyDocument, parts: tuple[str, ...]) -> Iterator[DocumentFault]:
    if not _SHA256.fullmatch(key["sha256"]):
        message = "must be 64 hexadecimal digits in lower case"
        yield DocumentFault(json_path(*parts, "sha256"), message)
    try:
        granted_at = datetime.fromisoformat(key["granted_at"])
    except ValueError:
        granted_at = None
    if granted_at is None or granted_at.tzinfo is None:
        message = "must be an ISO 8601 time with an offset"
        yield DocumentFault(json_path(*parts, "granted_at"), message)


def _check_workspaces(document: _ValidParts) -> Iterator[DocumentFault]:
    regions = document.regions()
    teams = document.names("teams")
    for name, workspace in document.entries("workspaces").items():
        team, _, base_name = name.partition("/")
        if team != workspace["team"] or not _NAME.fullmatch(base_name):
            message = "must be the team, '/', and a name"
            yield DocumentFault(json_path("workspaces", name), message)
        if document.is_valid_section("teams") and workspace["team"] not in teams:
            path = json_path("workspaces", name, "team")
            yield DocumentFault(path, f"there is no team {workspace['team']}")
        if regions is not None and workspace["home_region"] not in regions:
            path = json_path("workspaces", name, "home_region")
            message = f"no shard lies in region {workspace['home_region']}"
            yield DocumentFault(path, message)


def _check_queues(document: _ValidParts) -> Iterator[DocumentFault]:
    teams = document.names("teams")
    for name, queue in document.entries("queues").items():
        for index, team in enumerate(queue["teams"]):
            path = json_path("queues", name, "teams", index)
            if document.is_valid_section("teams") and team not in teams:
                yield DocumentFault(path, f"there is no team {team}")
            elif team in queue["teams"][:index]:
                yield DocumentFault(path, f"team {team} is listed twice")
        if queue["max_waiting"] <= 0:
            path = json_path("queues", name, "max_waiting")
            yield DocumentFault(path, "must be over 0")


def _check_presets(document: _ValidParts) -> Iterator[DocumentFault]:
    for name, preset in document.entries("presets").items():
        for field, value in preset.items():
            yield from _check_weight(name, field, value)


def _check_weight(preset: str, field: str, value: Any) -> Iterator[DocumentFault]:
    if isinstance(value, bool):
        return
    positive = field in ("ageing_s", "reservation_s")
    if not math.isfinite(value) or value < 0 or (positive and value == 0):
        message = "must be over 0" if positive else "must be 0 or more"
        yield DocumentFault(json_path("presets", preset, field), message)
