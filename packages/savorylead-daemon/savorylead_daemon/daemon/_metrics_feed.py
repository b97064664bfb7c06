"""Copies the counters of the daemon's parts into its metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from savorylead.links import LinkCount
from savorylead.resources import ZERO, Resources
from savorylead_daemon.cell import ObservedStore
from savorylead_daemon.http import Traffic
from savorylead_daemon.observability import Metrics
from savorylead_daemon.peers import ShardDigest

from ._daemon import Daemon


class MetricsFeed:
    """Copies gauges and counters into the metrics; called every few seconds."""

    def __init__(
        self,
        metrics: Metrics,
        daemon: Daemon,
        store: ObservedStore,
        link_counts: Mapping[str, Counter[LinkCount]],
        traffic: Mapping[str, Traffic],
    ) -> None:
        self._metrics = metrics
        self._daemon = daemon
        self._store = store
        self._link_counts = link_counts
        self._traffic = traffic

    def copy(self) -> None:
        """Copy everything once."""
        self._copy_leads()
        self._copy_shares()
        self._copy_store_calls()
        self._copy_links()
        self._metrics.set_revision(self._daemon.config.revision)

    def _copy_leads(self) -> None:
        leads = self._daemon.supervisor.leads
        self._metrics.set_leads({name: lead.epoch for name, lead in leads.items()})
        for name, lead in leads.items():
            waiting = lead.planner.pending_count()
            self._metrics.set_shard_load(name, waiting, lead.running_count())
        digests = self._daemon.own_digests()
        capacity = _total(digest.capacity for digest in digests)
        held = _total(digest.held for digest in digests)
        for resource, total in capacity._asdict().items():
            if total:
                ratio = getattr(held, resource) / total
                self._metrics.set_packing(resource, ratio)

    def _copy_shares(self) -> None:
        digests = self._daemon.directory.shard_digests().values()
        self._metrics.set_share_distances(share_distances(digests, self._weights()))

    def _weights(self) -> dict[str, float]:
        current = self._daemon.config.current
        if current is None:
            return {}
        teams = current.document["teams"]
        return {name: team["share"] for name, team in teams.items()}

    def _copy_store_calls(self) -> None:
        for call, total in self._store.calls.items():
            self._metrics.set_store_calls(call, "sent", total)
        for error, total in self._store.failures.items():
            self._metrics.set_store_calls("any", error, total)

    def _copy_links(self) -> None:
        for link, counts in self._link_counts.items():
            self._metrics.set_link_counts(link, counts)
        for link, traffic in self._traffic.items():
            self._metrics.set_control_bytes(link, traffic.received, traffic.sent)


def share_distances(
    digests: Iterable[ShardDigest], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return each team's dominant share of the fleet minus its weighted target.

    The target is a fraction of what all teams hold together, so the distances of an
    idle fleet are 0.
    """
    known = list(digests)
    capacity = _total(digest.capacity for digest in known)
    shares = dict.fromkeys(weights, 0.0)
    for team in weights:
        held = _total(
            usage.held
            for digest in known
            for usage in digest.teams
            if usage.team == team
        )
        shares[team] = held.dominant_share(capacity)
    total_weight = sum(weights.values())
    used = sum(shares.values())
    return {
        team: share - used * weights[team] / total_weight
        for team, share in shares.items()
    }


def _total(amounts: Iterable[Resources]) -> Resources:
    total = ZERO
    for amount in amounts:
        total = total.plus(amount)
    return total
