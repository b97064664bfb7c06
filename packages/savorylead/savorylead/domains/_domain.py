"""Regions, failure domains and the shards that leads hold."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.workers import Worker


class FailureDomain(NamedTuple):
    """A set of racks that can fail together."""

    name: str
    region: str


class Shard(NamedTuple):
    """The workers that one lead places on: a failure domain or a part of one."""

    name: str
    region: str
    domain: str
    #: Names of the racks in the shard; empty means the whole domain.
    racks: tuple[str, ...] = ()

    def holds(self, worker: Worker) -> bool:
        """Return whether the worker belongs to this shard."""
        if worker.domain != self.domain:
            return False
        return not self.racks or worker.rack in self.racks


class Member(NamedTuple):
    """One live daemon, as its key in the store tells."""

    name: str
    region: str
    domain: str
    #: Where its peers reach it, as "IP:port".
    endpoint: str
    #: Random per process, so that a restart is seen as another member.
    incarnation: str
    #: False while it shuts down: it takes no shard.
    leading: bool = True
