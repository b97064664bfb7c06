"""A complete cell in one process: daemons, workers, store and a faulty network."""

from ._documents import (
    OPERATOR_KEY,
    REGIONS,
    SETTINGS_KEY,
    CellShape,
    document_of,
    domain_names,
    home_region_of,
    key_of,
    region_of,
    workers_of,
)
from ._fake_cell import CellVariant, FakeCell, RunningDaemon
from ._network import CallLostError, Network, NetworkCall, NetworkPlan
from ._process import Process
from ._unshared_limits import UnsharedTeamLimits

__all__ = [
    "OPERATOR_KEY",
    "REGIONS",
    "SETTINGS_KEY",
    "CallLostError",
    "CellShape",
    "CellVariant",
    "FakeCell",
    "Network",
    "NetworkCall",
    "NetworkPlan",
    "Process",
    "RunningDaemon",
    "UnsharedTeamLimits",
    "document_of",
    "domain_names",
    "home_region_of",
    "key_of",
    "region_of",
    "workers_of",
]
