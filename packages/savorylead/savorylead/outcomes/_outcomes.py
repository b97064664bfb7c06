"""The closed set of answers to a task, and why work is refused."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Refusal(enum.StrEnum):
    """Why a task was not run; each value is also a metrics label."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    WRONG_TEAM = "wrong_team"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_QUEUE = "unknown_queue"
    QUEUE_CLOSED = "queue_closed"
    #: No worker of the cell could ever hold it.
    IMPOSSIBLE = "impossible"
    #: It exceeds the team's upper limit on its own.
    OVER_LIMIT = "over_limit"
    #: An equal request id came with another body.
    ID_REUSED = "id_reused"
    #: The admission queue of its class is full.
    QUEUE_FULL = "queue_full"
    #: Its deadline for starting passed before it could start.
    DEADLINE_PASSED = "deadline_passed"
    #: The store cannot make the decision durable now.
    STORE_UNAVAILABLE = "store_unavailable"
    #: No lead of its home shard can be reached now.
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
    """The task ran to its end."""

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
    """It is proved that no part of the task ran and that none will."""

    reason: Refusal
    detail: str = ""


@dataclass(frozen=True)
class Unknown:
    """The task may have run; it is not proved either way and won't be repeated."""

    detail: str


#: The final answers to a task.
Outcome = Done | Failed | Cancelled | NotRun | Unknown
