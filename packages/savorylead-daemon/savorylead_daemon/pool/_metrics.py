"""The metrics of a daemon whose shards are pools."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import datetime

from aioprometheus import Counter as CounterSeries, Gauge, Registry
from aioprometheus.renderer import render

from savorylead.links import LinkCount
from savorylead_daemon.observability import escape_label

from ._copy_counts import CopyCounts
from ._crash_tracker import CrashCounts


class PoolMetrics:
    """Copies counts into the collectors when the metrics are scraped."""

    def __init__(self, cpu_seconds: Callable[[], float]) -> None:
        self._cpu_seconds = cpu_seconds
        self._registry = Registry()
        self._calls = CounterSeries(
            "savorylead_caller_calls_total",
            "Calls of callers by answer; a code tells the reason of a refusal.",
            registry=self._registry,
        )
        self._links = CounterSeries(
            "savorylead_link_events_total",
            "What happened on links, with retries by reason.",
            registry=self._registry,
        )
        self._terms = Gauge(
            "savorylead_pool_term", "Term of each pool led.", registry=self._registry
        )
        self._hand_overs = CounterSeries(
            "savorylead_pool_hand_overs_total",
            "Pools given up to a stronger machine, by what became of the key.",
            registry=self._registry,
        )
        self._ended_terms = CounterSeries(
            "savorylead_pool_terms_ended_total",
            "Terms of this daemon that ended, by the reason.",
            registry=self._registry,
        )
        self._ended_leases = CounterSeries(
            "savorylead_leases_ended_for_others_total",
            "Leases of other daemons that this one ended: after a vote that could not "
            "connect to the lead, or at the holder's request.",
            registry=self._registry,
        )
        self._worker_ends = CounterSeries(
            "savorylead_pool_worker_ends_total",
            "Workers that ended while their pool was led here: crashed, planned, or "
            "presumed to have crashed.",
            registry=self._registry,
        )
        self._given_up = CounterSeries(
            "savorylead_pool_tasks_given_up_total",
            "Tasks that were given up since they crash their workers.",
            registry=self._registry,
        )
        self._copies = CounterSeries(
            "savorylead_pool_copies_total",
            "Second runs of late tasks beside their first ones: started, won (the task "
            "was done by it), or lost.",
            registry=self._registry,
        )
        self._unanswered_starts = CounterSeries(
            "savorylead_pool_unanswered_starts_total",
            "Start orders without an answer: unanswered, listed by their worker later, "
            "or refused by a later incarnation of it.",
            registry=self._registry,
        )
        self._evacuated = Gauge(
            "savorylead_evacuated_since_seconds",
            "Unix time at which each failure domain under evacuation was found so.",
            registry=self._registry,
        )
        self._ready = Gauge(
            "savorylead_ready", "1 while callers may be sent.", registry=self._registry
        )
        self._cpu = CounterSeries(
            "savorylead_control_cpu_seconds_total",
            "Processor time of this process.",
            registry=self._registry,
        )

    def render(
        self,
        calls: Mapping[tuple[str, str, str], int],
        links: Mapping[str, Counter[LinkCount]],
        terms: Mapping[str, int],
        hand_overs: Mapping[tuple[str, str], int],
        ended_terms: Mapping[tuple[str, str], int],
        ended_leases: Mapping[str, int],
        crashes: CrashCounts,
        copies: CopyCounts,
        unanswered_starts: Mapping[tuple[str, str], int],
        evacuated_since: Mapping[str, datetime],
        ready: bool,
    ) -> tuple[bytes, str]:
        """Return the text exposition and its content type."""
        for (call, answer, code), total in calls.items():
            labels = {"call": call, "answer": answer, "code": code}
            self._calls.set_value(labels, total)
        for link, counts in links.items():
            for event, total in counts.items():
                self._links.set_value({"link": link, "event": str(event)}, total)
        self._terms.values.store.clear()
        for pool, term in terms.items():
            self._terms.set_value({"pool": pool}, term)
        for (pool, outcome), total in hand_overs.items():
            self._hand_overs.set_value({"pool": pool, "outcome": outcome}, total)
        for (pool, reason), total in ended_terms.items():
            self._ended_terms.set_value({"pool": pool, "reason": reason}, total)
        for cause, total in ended_leases.items():
            self._ended_leases.set_value({"cause": cause}, total)
        for (pool, how), total in crashes.worker_ends.items():
            self._worker_ends.set_value({"pool": pool, "how": how}, total)
        for pool, total in crashes.given_up.items():
            self._given_up.set_value({"pool": pool}, total)
        for (pool, outcome), total in copies.copies.items():
            self._copies.set_value({"pool": pool, "outcome": outcome}, total)
        for (pool, event), total in unanswered_starts.items():
            self._unanswered_starts.set_value({"pool": pool, "event": event}, total)
        self._evacuated.values.store.clear()
        for domain, since in evacuated_since.items():
            labels = {"domain": escape_label(domain)}
            self._evacuated.set_value(labels, since.timestamp())
        self._ready.set_value({}, int(ready))
        self._cpu.set_value({}, self._cpu_seconds())
        body, headers = render(self._registry, [])
        return body, headers["Content-Type"]
