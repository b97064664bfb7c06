"""One daemon without its sockets."""

from ._daemon import Daemon, DaemonParts, DaemonTimes

__all__ = ["Daemon", "DaemonParts", "DaemonTimes"]
