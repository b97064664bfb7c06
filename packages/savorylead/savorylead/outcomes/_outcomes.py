"""The closed sets of task outcomes and of reasons for refusal."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Refusal(enum.StrEnum):
    """The reason for not running a task; each value is also a metrics label."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    WRONG_TEAM = "wrong_team"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_QUEUE = "unknown_queue"
    QUEUE_CLOSED = "queue_closed"
    #: No worker of the cell could ever run it.
    IMPOSSIBLE = "impossible"
    #: It alone exceeds the team's upper limit.
    OVER_LIMIT = "over_limit"
    #: Its request id was already used with another body.
    ID_REUSED = "id_reused"
    #: The admission queue of its class is full.
    QUEUE_FULL = "queue_full"
    #: Its deadline for starting passed before it could start.
    DEADLINE_PASSED = "deadline_passed"
    #: The decision cannot be made durable, since the store is unavailable.
    STORE_UNAVAILABLE = "store_unavailable"
    #: No lead of its home shard is reachable.
    NO_LEAD = "no_lead"
    #: The daemon's configuration may be out of date, so keys cannot be checked.
    CONFIG_STALE = "config_stale"
    #: The daemon is shutting down.
    SHUTTING_DOWN = "shutting_down"
    #: A tombstone was written before the request arrived.
    TOMBSTONE = "tombstone"
    #: Every allowed attempt failed.
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"


@dataclass(frozen=True)
class Done:
    """The task completed."""

    result: str
    #: Hex digest of the result as the worker computed it.
    digest: str
    attempt: int


@dataclass(frozen=True)
class Failed:
    """The task ran and failed."""

    error: str
    attempt: int


@dataclass(frozen=True)
class Cancelled:
    """The task was cancelled; ``started`` says whether any part of it ran."""

    started: bool


@dataclass(frozen=True)
class NotRun:
    """It is proved that no part of the task has run or will run."""

    reason: Refusal
    detail: str = ""


@dataclass(frozen=True)
class Unknown:
    """The task may have run; this is not proved either way, and it won't be retried."""

    detail: str


#: The final outcome of a task.
Outcome = Done | Failed | Cancelled | NotRun | Unknown
