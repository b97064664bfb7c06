"""The cell's configuration document, as the store holds it in JSON."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict


class ResourcesDocument(TypedDict):
    """Amounts by dimension; a dimension that is left out is unlimited in limits."""

    cores: NotRequired[float]
    memory_mb: NotRequired[int]
    accelerators: NotRequired[int]
    slots: NotRequired[int]
    connections: NotRequired[int]


class KeyDocument(TypedDict):
    """One key of a team or of an operator; only its hash is kept."""

    #: Hex SHA-256 of the key as it was shown once.
    sha256: str
    #: ISO 8601 time of the grant.
    granted_at: str
    withdrawn: bool


class TeamDocument(TypedDict):
    """One team."""

    #: Weight for when the fleet is full.
    share: float
    #: Most that the team may have running across the fleet.
    limit: ResourcesDocument
    #: By key id, which is the part of the key before the dot.
    keys: dict[str, KeyDocument]


class WorkspaceDocument(TypedDict):
    """A team's collection of related tasks."""

    team: str
    #: Its tasks are homed in the shards of this region.
    home_region: str


class QueueDocument(TypedDict):
    """Where work is submitted."""

    #: Open to every team; otherwise only to those listed.
    open: bool
    teams: list[str]
    #: Most tasks that may wait in one shard.
    max_waiting: int


class PresetDocument(TypedDict):
    """Weights of the policies; see savorylead.placement.Policy."""

    spread_weight: float
    packing_weight: float
    accelerator_guard_weight: float
    ageing_s: float
    preemption: bool
    backfill: bool
    reservation_s: float
    admit_batch: bool
    rebalance: NotRequired[bool]


class ShardDocument(TypedDict):
    """The workers of a failure domain, or of some of its racks."""

    region: str
    domain: str
    #: Empty for the whole domain.
    racks: list[str]


#: The presets; exactly one is in force.
PresetName = Literal["ordinary", "peak", "maintenance"]


class CellDocument(TypedDict):
    """Everything that operators decide. One compare-and-swap changes it."""

    cell: str
    shards: dict[str, ShardDocument]
    teams: dict[str, TeamDocument]
    #: Keys of operators, by key id.
    operators: dict[str, KeyDocument]
    #: By "team/workspace".
    workspaces: dict[str, WorkspaceDocument]
    queues: dict[str, QueueDocument]
    presets: dict[PresetName, PresetDocument]
    preset: PresetName
