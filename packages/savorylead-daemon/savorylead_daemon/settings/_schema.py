"""The JSON schema of the settings, and the defaults of optional fields."""

from __future__ import annotations

from typing import Any

_NAME = {"type": "string", "pattern": r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"}
#: Names of regions and failure domains, as in the configuration.
_LOCATION_NAME = {"type": "string", "pattern": r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$"}
_ENDPOINT = {"type": "string", "minLength": 1}
_SHA256 = {"type": "string", "pattern": "^[0-9a-f]{64}$"}
_COUNT = {"type": "integer", "minimum": 1}


def _seconds(minimum: float, maximum: float) -> dict[str, Any]:
    return {"type": "number", "minimum": minimum, "maximum": maximum}


def _section(fields: dict[str, Any], required: tuple[str, ...] = ()) -> dict[str, Any]:
    return {
        "type": "object",
        "properties": fields,
        "required": list(required),
        "additionalProperties": False,
    }


#: Default values of optional fields, by section.
DEFAULTS: dict[str, dict[str, Any]] = {
    "leases": {
        "member_s": 3.0,
        "member_renew_every_s": 1.0,
        "worker_s": 15.0,
        "worker_renew_every_s": 5.0,
        "drift_bound_s": 0.5,
        "epoch_grace_s": 20.0,
    },
    "polls": {
        "config_s": 1.5,
        "members_s": 1.0,
        "vm_list_s": 2.0,
        "digests_s": 4.0,
    },
    "limits": {
        "body_bytes": 4_000_000,
        "buffered_bytes": 64_000_000,
        "connections": 8_192,
        "tasks_per_call": 1_000,
        "calls_at_once": 256,
        "waits_at_once": 4_096,
        "calls_at_once_per_key": 64,
        "waits_at_once_per_key": 1_024,
        "answer_wait_s": 30.0,
        "connection_idle_s": 75.0,
        "waiting_per_shard": 20_000,
        "submit_s": 10.0,
        "drain_s": 20.0,
    },
    "log": {"level": "info", "lines_per_event_per_s": 10},
}

SCHEMA: dict[str, Any] = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    **_section(
        {
            "name": _NAME,
            "region": _LOCATION_NAME,
            "domain": _LOCATION_NAME,
            "listen": _section(
                {
                    "callers": _ENDPOINT,
                    "peers": _ENDPOINT,
                    "advertised_peers": _ENDPOINT,
                },
                required=("callers", "peers"),
            ),
            "platform": _section(
                {"store": _ENDPOINT, "vm_list": _ENDPOINT},
                required=("store", "vm_list"),
            ),
            "leases": _section(
                {
                    "member_s": _seconds(0.5, 60),
                    "member_renew_every_s": _seconds(0.1, 30),
                    "worker_s": _seconds(1, 600),
                    "worker_renew_every_s": _seconds(0.1, 300),
                    "drift_bound_s": _seconds(0, 60),
                    "epoch_grace_s": _seconds(0, 86_400),
                }
            ),
            "polls": _section(
                {
                    "config_s": _seconds(0.1, 60),
                    "members_s": _seconds(0.1, 60),
                    "vm_list_s": _seconds(0.1, 60),
                    "digests_s": _seconds(0.1, 60),
                }
            ),
            "limits": _section(
                {
                    "body_bytes": {
                        "type": "integer",
                        "minimum": 1_024,
                        "maximum": 64_000_000,
                    },
                    "buffered_bytes": _COUNT,
                    "connections": _COUNT,
                    "tasks_per_call": {**_COUNT, "maximum": 100_000},
                    "calls_at_once": _COUNT,
                    "waits_at_once": _COUNT,
                    "calls_at_once_per_key": _COUNT,
                    "waits_at_once_per_key": _COUNT,
                    "answer_wait_s": _seconds(0, 300),
                    "connection_idle_s": _seconds(1, 3_600),
                    "waiting_per_shard": _COUNT,
                    "submit_s": _seconds(0.1, 60),
                    "drain_s": _seconds(0, 600),
                }
            ),
            "log": _section(
                {
                    "level": {"enum": ["debug", "info", "warning", "error"]},
                    "lines_per_event_per_s": _COUNT,
                }
            ),
            "operator_key_sha256": {
                "type": "array",
                "items": _SHA256,
                "uniqueItems": True,
            },
        },
        required=("name", "region", "domain", "listen", "platform"),
    ),
}
