"""Types of the request bodies of callers, with the bounds of every field.

These types repeat the fields of the documents in savorylead_daemon.services and
add bounds. msgspec validates against them; the JSON schema derived from them is used
to list the faults of invalid bodies.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Annotated, Literal

from msgspec import UNSET, Meta, Struct, UnsetType

#: Longest name of a request, in characters.
MAX_REQUEST_CHARS = 200
#: Longest name of a team, workspace or queue, in characters.
MAX_NAME_CHARS = 100
MAX_PAYLOAD_CHARS = 65_536
MAX_MEMBERS = 10_000
#: Far above the resources of any worker; keeps sums within 64 bits.
MAX_AMOUNT = 1_000_000_000
#: Longest duration in seconds, about 30 years.
MAX_DURATION_S = 1_000_000_000

#: "/" separates the parts of an id; control characters and line separators could
#: inject lines into text output such as logs.
_FORBIDDEN = r"/\x00-\x1f\x7f-\x9f\u2028\u2029"
_FORBIDDEN_CHARACTER = re.compile(f"[{_FORBIDDEN}]")
#: Only the schema matches each name against a pattern. The fast check of a valid body
#: searches all names at once, which costs less than one match for each name.
_NAME_SCHEMA = {"pattern": rf"\A[^{_FORBIDDEN}]*\Z"}

RequestText = Annotated[
    str,
    Meta(min_length=1, max_length=MAX_REQUEST_CHARS, extra_json_schema=_NAME_SCHEMA),
]
NameText = Annotated[
    str,
    Meta(min_length=1, max_length=MAX_NAME_CHARS, extra_json_schema=_NAME_SCHEMA),
]
_Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
_Cores = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
_Duration = Annotated[float, Meta(ge=0, le=MAX_DURATION_S)]


class ResourcesBody(Struct, forbid_unknown_fields=True):
    """The resources that a task requests; an omitted dimension is zero."""

    cores: _Cores | UnsetType = UNSET
    memory_mb: _Amount | UnsetType = UNSET
    accelerators: _Amount | UnsetType = UNSET
    slots: _Amount | UnsetType = UNSET
    connections: _Amount | UnsetType = UNSET


class TaskBody(Struct, forbid_unknown_fields=True):
    """One task; see savorylead_daemon.services.TaskDocument."""

    request: RequestText
    workspace: NameText
    queue: NameText
    kind: Literal["service", "batch", "all_at_once"]
    resources: ResourcesBody
    team: NameText | UnsetType = UNSET
    repeatable: bool | UnsetType = UNSET
    urgent: bool | UnsetType = UNSET
    run_time_s: _Duration | UnsetType = UNSET
    start_within_s: _Duration | UnsetType = UNSET
    members: Annotated[int, Meta(ge=1, le=MAX_MEMBERS)] | UnsetType = UNSET
    payload: Annotated[str, Meta(max_length=MAX_PAYLOAD_CHARS)] | UnsetType = UNSET


class RequestNameBody(Struct, forbid_unknown_fields=True):
    """Identifies a task within the team of the key."""

    workspace: NameText
    request: RequestText


class AnswersBody(Struct, forbid_unknown_fields=True):
    """Requests the state of tasks, optionally waiting for an outcome."""

    requests: list[RequestNameBody]
    wait_s: _Duration | UnsetType = UNSET


class CancelBody(Struct, forbid_unknown_fields=True):
    """Lists the tasks to cancel."""

    requests: list[RequestNameBody]


def are_names_valid(names: Iterable[str]) -> bool:
    """Return whether no name contains a forbidden character."""
    return _FORBIDDEN_CHARACTER.search(" ".join(names)) is None
