"""Settings of a daemon whose shards are pools of a platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from savorylead.documents import DocumentFault
from savorylead.pools import FULL_POLICY, SchedulingPolicy
from savorylead_daemon.settings import LogLevel, SettingsError

_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
_Endpoint = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
_Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
_Millis = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
_OptionalMillis = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]

#: In mode ``auto``, optional scheduling decisions are made where moving a task takes
#: longer than this. Workers report once a second, so a faster move corrects a bad
#: placement before the next report shows it.
MAX_CHEAP_MOVE_MS = 1_000


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section of the settings; unknown fields are rejected."""


class ListenSettings(_Section):
    """Addresses on which the daemon listens."""

    callers: _Endpoint
    #: Readiness probe of the load balancer.
    readiness: _Endpoint
    #: Other daemons of the cell.
    peers: _Endpoint
    #: Metrics for operators.
    metrics: _Endpoint


class PlatformSettings(_Section):
    """Addresses of the platform, and the package with its adapter."""

    #: Name of a package that defines ``open_adapter``.
    adapter: _Name
    store: _Endpoint
    #: Empty if no queue needs advice.
    adviser: str = ""
    #: Empty if machines can't be moved.
    machines: str = ""


class MachineSettings(_Section):
    """The machine's resources for the daemon; 0 for those that are not specified.

    Only ``cpu_share`` can't be 0; it defaults to 1.0.
    """

    #: Share of the processor that the daemon may use.
    cpu_share: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 1.0
    #: Capacity of the whole processor, in cores.
    cores: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 0.0
    #: Bandwidth of the link in megabits per second.
    link_mbps: Annotated[float, msgspec.Meta(ge=0, le=10_000_000)] = 0.0
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 0


class BoundSettings(_Section):
    """Time limits that the platform's operators guarantee to callers."""

    #: A withdrawn key has no effect after this time.
    key_withdrawn_ms: _Millis = 5_000
    #: A planned stop completes within this time.
    stop_s: _Seconds = 6.0
    #: States of ended jobs can be queried for this time.
    status_for_s: _Seconds = 120.0
    #: Workers shorten longer leases to this.
    worker_lease_ms: _Millis = 6_000


class SchedulingSettings(_Section):
    """How expensive it is to move a running task, and what follows from it."""

    #: Longest time that a worker takes to stop a task; 0 if not specified.
    stop_ms: _OptionalMillis = 0
    #: Time that a task takes to resume from a checkpoint; 0 if not specified.
    restore_ms: _OptionalMillis = 0
    #: Whether the optional decisions are made; ``auto`` decides by the cost of a move.
    mode: Literal["auto", "on", "off"] = "auto"

    def policy(self) -> SchedulingPolicy:
        """Return the optional decisions that the leads make."""
        is_move_expensive = self.stop_ms + self.restore_ms > MAX_CHEAP_MOVE_MS
        if self.mode == "on" or (self.mode == "auto" and is_move_expensive):
            return FULL_POLICY
        return SchedulingPolicy()


class LogSettings(_Section):
    """What is logged."""

    level: LogLevel = LogLevel.INFO
    lines_per_event_per_s: Annotated[int, msgspec.Meta(ge=1)] = 50


class PoolSettings(_Section):
    """All settings of one daemon."""

    #: Unique in the cell.
    name: _Name
    region: str
    domain: str
    listen: ListenSettings
    platform: PlatformSettings
    machine: MachineSettings = MachineSettings()
    bounds: BoundSettings = BoundSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    log: LogSettings = LogSettings()


def parse_pool_settings(text: bytes) -> PoolSettings:
    """Decode and validate JSON settings; raises SettingsError with the fault's path."""
    try:
        return msgspec.json.decode(text, type=PoolSettings)
    except msgspec.ValidationError as exc:
        problem, _, path = str(exc).partition(" - at `")
        fault = DocumentFault(path.rstrip("`") or "$", problem)
        raise SettingsError([fault]) from exc
    except msgspec.DecodeError as exc:
        raise SettingsError([DocumentFault("$", f"not JSON: {exc}")]) from exc


def is_for_pools(text: bytes) -> bool:
    """Return whether settings name an adapter, as those of a pool daemon do."""
    try:
        document = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return False
    if not isinstance(document, dict):
        return False
    platform = document.get("platform")
    return isinstance(platform, dict) and "adapter" in platform


def load_pool_settings(path: Path) -> PoolSettings:
    """Read and validate a settings file; raises SettingsError."""
    try:
        return parse_pool_settings(path.read_bytes())
    except OSError as exc:
        fault = DocumentFault("$", f"cannot read {path}: {exc.strerror}")
        raise SettingsError([fault]) from exc
