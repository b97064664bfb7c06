"""Types of the cell's configuration document, which is stored as JSON."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict


class ResourcesDocument(TypedDict):
    """Amounts by dimension; in a limit, an omitted dimension is unlimited."""

    cores: NotRequired[float]
    memory_mb: NotRequired[int]
    accelerators: NotRequired[int]
    slots: NotRequired[int]
    connections: NotRequired[int]


class KeyDocument(TypedDict):
    """A key of a team or of an operator; only its hash is stored."""

    #: Hex SHA-256 of the key's whole text.
    sha256: str
    #: ISO 8601 time of the grant.
    granted_at: str
    withdrawn: bool


class TeamDocument(TypedDict):
    """A team's share, upper limit and keys."""

    #: Weight for dividing the fleet when it is full.
    share: float
    #: Upper limit of what the team may have running across the fleet.
    limit: ResourcesDocument
    #: By key id, the part of the key before the dot.
    keys: dict[str, KeyDocument]


class WorkspaceDocument(TypedDict):
    """A team's collection of related tasks."""

    team: str
    #: The shards of this region own its tasks.
    home_region: str


class QueueDocument(TypedDict):
    """A queue to which teams submit work."""

    #: True if every team may submit; otherwise only the listed teams may.
    open: bool
    teams: list[str]
    #: Maximum number of waiting tasks per shard.
    max_waiting: int


class PresetDocument(TypedDict):
    """Parameters of the placement policies; see savorylead.placement.Policy."""

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
    """The whole operator configuration; replaced by a single compare-and-swap."""

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
