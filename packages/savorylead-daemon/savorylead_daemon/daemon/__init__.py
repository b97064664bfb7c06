"""A daemon, independent of its sockets."""

from ._daemon import Daemon, DaemonParts, DaemonTimes
from ._metrics_feed import MetricsFeed, share_distances
from ._planned_stop import PlannedStop, StoppingDaemon

__all__ = [
    "Daemon",
    "DaemonParts",
    "DaemonTimes",
    "MetricsFeed",
    "PlannedStop",
    "StoppingDaemon",
    "share_distances",
]
