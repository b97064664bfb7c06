"""Load patterns for the replay of decisions, read from JSON and checked."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

PATTERNS = Path(__file__).parent / "patterns"

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Count = Annotated[int, msgspec.Meta(ge=1)]


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of a pattern, in which every name must be known."""


class WorkerGroup(_Part):
    """Equal workers."""

    count: _Count
    cores: _Count
    memory_mb: _Count
    accelerators: int = 0


class Burst(_Part):
    """A time in which jobs come ``times`` as often."""

    at_s: float
    for_s: _Positive
    times: _Positive


class Adviser(_Part):
    """The policy adviser: what a call takes, and how many workers it allows."""

    decide_ms: _Positive
    per_worker_ms: float
    valid_ms: _Count
    good: _Share
    #: Daemons that call it; it serves one call of each at a time.
    callers: _Count = 1


class JobKind(_Part):
    """Jobs of one queue."""

    name: str
    priority: int
    #: Jobs a second.
    per_s: _Positive
    #: Tasks of a job, on average; geometric.
    width: _Positive
    #: Length of a task, log-normal with this spread.
    length_ms: _Positive
    cores: _Positive
    memory_mb: _Count
    stretch: _Positive
    objective_ms: int
    spread: float = 0.5
    #: Cores of a task differ between jobs: log-normal with this spread, up to a limit.
    cores_spread: float = 0.0
    max_cores: float = 1_000.0
    accelerators: tuple[int, ...] = (0,)
    checkpoints: bool = False
    gang: bool = False
    #: Declared lengths are off by up to this many times, either way.
    estimate_error: Annotated[float, msgspec.Meta(ge=1)] = 1.0
    #: Jobs that fail at every attempt.
    hopeless: _Share = 0.0
    #: Jobs that are cancelled 300 ms after they came.
    cancelled: _Share = 0.0
    bursts: tuple[Burst, ...] = ()
    #: Whether what comes in a burst beyond the usual rate is more than is owed to its
    #: team.
    surplus_in_bursts: bool = False
    #: What the adviser takes for this queue, if not what the pattern says.
    adviser: Adviser | None = None


class Pattern(_Part):
    """A whole load."""

    #: What the pattern is for.
    about: str
    seed: int
    seconds: _Positive
    workers: tuple[WorkerGroup, ...]
    jobs: tuple[JobKind, ...]
    #: Time until a stopped run has left its worker.
    stop_ms: _Count = 100
    #: Added to a run that goes on from a checkpoint.
    restore_ms: _Count = 100
    #: None if any worker may run any task.
    adviser: Adviser | None = None


def load_pattern(name: str) -> Pattern:
    """Return a pattern by its file's name; raises msgspec.ValidationError."""
    path = Path(name) if name.endswith(".json") else PATTERNS / f"{name}.json"
    return msgspec.json.decode(path.read_bytes(), type=Pattern)
