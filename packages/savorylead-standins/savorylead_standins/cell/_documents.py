"""Configuration of a small cell."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.config import (
    CellDocument,
    KeyDocument,
    PresetDocument,
    QueueDocument,
    ResourcesDocument,
    ShardDocument,
    TeamDocument,
    WorkspaceDocument,
    hash_key,
)
from savorylead.resources import Resources
from savorylead.workers import Worker

#: Capacity of every worker of the cell.
WORKER_CAPACITY = Resources(
    cores_milli=4000, memory_mb=8192, accelerators=0, slots=8, connections=64
)
#: Number of accelerators of a worker that has any.
ACCELERATORS = 2
#: The key of an operator of the cell.
OPERATOR_KEY = "operator.secret"
#: A key that is set only in the settings of the daemons.
SETTINGS_KEY = "settings.secret"
#: The regions of a cell with two; a cell with a single region uses the first.
REGIONS = ("north", "south")


class CellShape(NamedTuple):
    """Size and layout of a cell."""

    daemons: int = 3
    domains: int = 3
    workers_per_domain: int = 2
    teams: tuple[str, ...] = ("dispatch", "planning")
    #: 1 or 2; domains and teams are assigned to them in turn.
    regions: int = 1
    #: Upper limit of each team, in cores.
    limit_cores: int = 16
    #: Domains whose workers have accelerators.
    accelerated: tuple[str, ...] = ()


def key_of(team: str) -> str:
    """Return a team's key in plain text."""
    return f"{team}.secret"


def domain_names(shape: CellShape) -> list[str]:
    """Return the failure domains; each has one shard of the same name."""
    return [f"dom{number}" for number in range(1, shape.domains + 1)]


def region_of(shape: CellShape, domain: str) -> str:
    """Return the region of a failure domain."""
    return REGIONS[domain_names(shape).index(domain) % shape.regions]


def home_region_of(shape: CellShape, team: str) -> str:
    """Return the region in which a team's tasks have their home."""
    return REGIONS[shape.teams.index(team) % shape.regions]


def workers_of(shape: CellShape) -> list[Worker]:
    """Return all workers."""
    return [
        Worker(
            name=f"{domain}-w{number}",
            domain=domain,
            rack=f"{domain}-r{number % 2}",
            capacity=_capacity(shape, domain),
            endpoint=f"{domain}-w{number}",
        )
        for domain in domain_names(shape)
        for number in range(1, shape.workers_per_domain + 1)
    ]


def _capacity(shape: CellShape, domain: str) -> Resources:
    if domain in shape.accelerated:
        return WORKER_CAPACITY._replace(accelerators=ACCELERATORS)
    return WORKER_CAPACITY


def document_of(shape: CellShape) -> CellDocument:
    """Return the initial configuration of the cell."""
    return CellDocument(
        cell="test",
        shards={
            domain: ShardDocument(
                region=region_of(shape, domain), domain=domain, racks=[]
            )
            for domain in domain_names(shape)
        },
        teams={team: _team(team, shape.limit_cores) for team in shape.teams},
        workspaces={
            f"{team}/main": WorkspaceDocument(
                team=team, home_region=home_region_of(shape, team)
            )
            for team in shape.teams
        },
        queues={"day": QueueDocument(open=True, teams=[], max_waiting=1000)},
        presets={
            "ordinary": _preset(packing_weight=1.0),
            "peak": _preset(packing_weight=0.5),
            "maintenance": _preset(packing_weight=2.0),
        },
        preset="ordinary",
        operators={"operator": _key(OPERATOR_KEY)},
    )


def _team(team: str, limit_cores: int) -> TeamDocument:
    return TeamDocument(
        share=1.0,
        limit=ResourcesDocument(cores=limit_cores),
        keys={key_of(team).partition(".")[0]: _key(key_of(team))},
    )


def _key(text: str) -> KeyDocument:
    return KeyDocument(
        sha256=hash_key(text), granted_at="2026-01-01T00:00:00+00:00", withdrawn=False
    )


def _preset(packing_weight: float) -> PresetDocument:
    return PresetDocument(
        spread_weight=1.0,
        packing_weight=packing_weight,
        accelerator_guard_weight=1.0,
        ageing_s=60.0,
        preemption=True,
        backfill=True,
        reservation_s=30.0,
        admit_batch=True,
    )
