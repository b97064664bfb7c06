"""This daemon's knowledge of which daemon leads which shard."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import NamedTuple

from savorylead.domains import Member, Shard, rendezvous_order
from savorylead_daemon.peers import DigestAnswer, ShardDigest


class KnownDigest(NamedTuple):
    """The last digest of a daemon, and when it was received."""

    digest: DigestAnswer
    received_at: datetime


class ShardDirectory:
    """Tracks members and their digests, and determines the probable lead of a shard.

    It may be out of date: a daemon that does not lead the shard answers so, and the
    router tries the next candidate.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._members: dict[str, Member] = {}
        self._shards: dict[str, Shard] = {}
        self._digests: dict[str, KnownDigest] = {}
        self._excluded: set[tuple[str, str]] = set()
        #: Highest known epoch and its lead, by shard.
        self._last_leads: dict[str, tuple[int, str]] = {}

    @property
    def shards(self) -> Mapping[str, Shard]:
        """Every shard of the configuration in force."""
        return self._shards

    @property
    def members(self) -> Mapping[str, Member]:
        """Every live daemon, this one included."""
        return self._members

    @property
    def digests(self) -> Mapping[str, KnownDigest]:
        """The last digest of each live daemon."""
        return self._digests

    def set_shards(self, shards: Iterable[Shard]) -> None:
        """Set the shards to those of a configuration."""
        self._shards = {shard.name: shard for shard in shards}

    def set_members(self, members: Iterable[Member]) -> None:
        """Set the list of live daemons."""
        self._members = {member.name: member for member in members}
        for name in set(self._digests) - set(self._members):
            del self._digests[name]

    def record_digest(self, digest: DigestAnswer, received_at: datetime) -> None:
        """Record the shards that a daemon reports to lead."""
        self._digests[digest.name] = KnownDigest(digest, received_at)
        for shard in digest.shards:
            self._excluded.discard((shard.view.name, digest.name))
            reported = (shard.view.epoch, digest.name)
            known = self._last_leads.get(shard.view.name, (0, ""))
            self._last_leads[shard.view.name] = max(reported, known)

    def last_epoch(self, shard: str) -> int:
        """Return the highest known epoch of the shard; 0 if none is known."""
        return self._last_leads.get(shard, (0, ""))[0]

    def last_lead(self, shard: str) -> str:
        """Return the lead at that epoch, even if that daemon is gone."""
        return self._last_leads.get(shard, (0, ""))[1]

    def exclude(self, shard: str, member: str) -> None:
        """Record that a daemon does not lead the shard, or did not answer."""
        self._excluded.add((shard, member))

    def candidates(self, shard: str) -> list[Member]:
        """Return daemons that may lead the shard, the most likely first."""
        known = self._shards.get(shard)
        names = self._claimants(shard)
        same_region = [
            m.name for m in self._members.values() if known and m.region == known.region
        ]
        names += rendezvous_order(shard, same_region)
        names += rendezvous_order(shard, self._members)
        ordered = list(dict.fromkeys(names))
        likely = [n for n in ordered if (shard, n) not in self._excluded]
        if not likely:
            self._excluded = {d for d in self._excluded if d[0] != shard}
            likely = ordered
        return [self._members[name] for name in likely]

    def shard_digests(self) -> dict[str, ShardDigest]:
        """Return the newest digest of each shard that any daemon reports to lead."""
        newest: dict[str, ShardDigest] = {}
        for known in self._digests.values():
            for digest in known.digest.shards:
                other = newest.get(digest.view.name)
                if other is None or other.view.epoch < digest.view.epoch:
                    newest[digest.view.name] = digest
        return newest

    def _claimants(self, shard: str) -> list[str]:
        claims = [
            (digest.view.epoch, name)
            for name, known in self._digests.items()
            for digest in known.digest.shards
            if digest.view.name == shard and name in self._members
        ]
        return [name for _, name in sorted(claims, reverse=True)]
