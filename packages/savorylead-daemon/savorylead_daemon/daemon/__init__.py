"""One daemon without its sockets."""

from ._daemon import Daemon, DaemonParts, DaemonTimes
from ._metrics_feed import MetricsFeed, share_distances

__all__ = ["Daemon", "DaemonParts", "DaemonTimes", "MetricsFeed", "share_distances"]
