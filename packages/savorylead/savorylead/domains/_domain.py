"""Failure domains, shards and members."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.workers import Worker


class FailureDomain(NamedTuple):
    """A set of racks that can fail together."""

    name: str
    region: str


class Shard(NamedTuple):
    """The workers of one lead: those of a failure domain or of some of its racks."""

    name: str
    region: str
    domain: str
    #: Names of the racks in the shard; empty means the whole domain.
    racks: tuple[str, ...] = ()

    def contains(self, worker: Worker) -> bool:
        """Return whether the worker belongs to this shard."""
        if worker.domain != self.domain:
            return False
        return not self.racks or worker.rack in self.racks


class Member(NamedTuple):
    """One live daemon, as described by its key in the store."""

    name: str
    region: str
    domain: str
    #: Address for its peers, as "IP:port".
    endpoint: str
    #: Random per process, so that a restarted daemon counts as another member.
    incarnation: str
    #: False while it shuts down: it gets no shard.
    leading: bool = True
