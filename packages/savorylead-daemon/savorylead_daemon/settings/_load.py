"""Loads and validates settings, listing all faults."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from savorylead.documents import DocumentFault, list_faults

from ._endpoint import EndpointError, parse_endpoint
from ._schema import DEFAULTS, SCHEMA
from ._semantics import semantic_faults
from ._settings import (
    LeaseSettings,
    LimitSettings,
    ListenSettings,
    LogLevel,
    LogSettings,
    PlatformSettings,
    PollSettings,
    Settings,
)


class SettingsError(Exception):
    """The settings are invalid; contains every fault that was found."""

    def __init__(self, faults: Sequence[DocumentFault]) -> None:
        super().__init__("; ".join(f"{path}: {message}" for path, message in faults))
        self.faults = tuple(faults)


def load_settings(path: Path) -> Settings:
    """Load and validate a settings file; raises SettingsError."""
    try:
        text = path.read_bytes()
    except OSError as exc:
        fault = DocumentFault("$", f"cannot read {path}: {exc.strerror}")
        raise SettingsError([fault]) from exc
    return parse_settings(text)


def parse_settings(text: bytes) -> Settings:
    """Parse and validate settings in JSON; raises SettingsError."""
    try:
        document = msgspec.json.decode(text)
    except msgspec.DecodeError as exc:
        raise SettingsError([DocumentFault("$", f"not JSON: {exc}")]) from exc
    # Imported lazily for its memory and time, which a daemon spends once at start-up.
    from jsonschema import Draft202012Validator

    faults = list_faults(Draft202012Validator(SCHEMA), document)
    endpoint_faults = _endpoint_faults(document)
    if faults or endpoint_faults:
        raise SettingsError(sorted({*faults, *endpoint_faults}))
    settings = _build(document)
    faults = semantic_faults(settings)
    if faults:
        raise SettingsError(faults)
    return settings


def _endpoint_faults(document: Any) -> list[DocumentFault]:
    """Return the faults of endpoints, even if other fields are invalid."""
    faults = []
    if not isinstance(document, dict):
        return faults
    for section in ("listen", "platform"):
        fields = document.get(section)
        if not isinstance(fields, dict):
            continue
        for field, text in fields.items():
            if not isinstance(text, str) or not text:
                continue
            try:
                parse_endpoint(text)
            except EndpointError as exc:
                faults.append(DocumentFault(f"$.{section}.{field}", exc.problem))
    return faults


def _build(document: dict[str, Any]) -> Settings:
    listen = document["listen"]
    platform = document["platform"]
    peers = parse_endpoint(listen["peers"])
    advertised = peers
    if "advertised_peers" in listen:
        advertised = parse_endpoint(listen["advertised_peers"])
    log = _with_defaults(document, "log")
    return Settings(
        name=document["name"],
        region=document["region"],
        domain=document["domain"],
        listen=ListenSettings(
            callers=parse_endpoint(listen["callers"]),
            peers=peers,
            advertised_peers=advertised,
        ),
        platform=PlatformSettings(
            store=parse_endpoint(platform["store"]),
            vm_list=parse_endpoint(platform["vm_list"]),
        ),
        leases=LeaseSettings(**_with_defaults(document, "leases")),
        polls=PollSettings(**_with_defaults(document, "polls")),
        limits=LimitSettings(**_with_defaults(document, "limits")),
        log=LogSettings(
            level=LogLevel(log["level"]),
            lines_per_event_per_s=log["lines_per_event_per_s"],
        ),
        operator_key_sha256=frozenset(document.get("operator_key_sha256", ())),
    )


def _with_defaults(document: dict[str, Any], section: str) -> dict[str, Any]:
    """Return a section with its defaults; "_s" fields become timedeltas."""
    fields = {**DEFAULTS[section], **document.get(section, {})}
    return dict(_typed_field(name, value) for name, value in fields.items())


def _typed_field(name: str, value: Any) -> tuple[str, Any]:
    if name.endswith("_s") and not name.endswith("_per_s"):
        return name.removesuffix("_s"), timedelta(seconds=value)
    return name, value
