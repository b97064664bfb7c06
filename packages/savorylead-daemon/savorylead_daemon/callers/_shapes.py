"""The bodies that callers send, with the bounds of every field.

These types repeat the fields of the documents in savorylead_daemon.services and
add bounds; msgspec checks them, and their JSON schema lists the faults.
"""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

#: Longest name of a request, in characters.
MAX_REQUEST_CHARS = 200
#: Longest name of a team, workspace or queue, in characters.
MAX_NAME_CHARS = 100
MAX_PAYLOAD_CHARS = 65_536
MAX_MEMBERS = 10_000
#: Far above any worker; keeps sums within 64 bits.
MAX_AMOUNT = 1_000_000_000
#: Longest duration, about 30 years.
MAX_DURATION_S = 1_000_000_000

#: Neither "/", which separates the parts of an id, nor control characters.
_NAME_PATTERN = r"\A[^/\x00-\x1f\x7f-\x9f\u2028\u2029]*\Z"

RequestText = Annotated[
    str, Meta(min_length=1, max_length=MAX_REQUEST_CHARS, pattern=_NAME_PATTERN)
]
NameText = Annotated[
    str, Meta(min_length=1, max_length=MAX_NAME_CHARS, pattern=_NAME_PATTERN)
]
_Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
_Cores = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
_Duration = Annotated[float, Meta(ge=0, le=MAX_DURATION_S)]


class ResourcesBody(TypedDict):
    """What a task asks for; a dimension that is left out is zero."""

    cores: NotRequired[_Cores]
    memory_mb: NotRequired[_Amount]
    accelerators: NotRequired[_Amount]
    slots: NotRequired[_Amount]
    connections: NotRequired[_Amount]


class TaskBody(TypedDict):
    """One task; see savorylead_daemon.services.TaskDocument."""

    request: RequestText
    workspace: NameText
    queue: NameText
    kind: Literal["service", "batch", "all_at_once"]
    resources: ResourcesBody
    team: NotRequired[NameText]
    repeatable: NotRequired[bool]
    urgent: NotRequired[bool]
    run_time_s: NotRequired[_Duration]
    start_within_s: NotRequired[_Duration]
    members: NotRequired[Annotated[int, Meta(ge=1, le=MAX_MEMBERS)]]
    payload: NotRequired[Annotated[str, Meta(max_length=MAX_PAYLOAD_CHARS)]]


class RequestNameBody(TypedDict):
    """Names a task within the team of the key."""

    workspace: NameText
    request: RequestText


class AnswersBody(TypedDict):
    """Asks for tasks and, if wanted, waits for an outcome."""

    requests: list[RequestNameBody]
    wait_s: NotRequired[_Duration]


class CancelBody(TypedDict):
    """Names the tasks to cancel."""

    requests: list[RequestNameBody]
