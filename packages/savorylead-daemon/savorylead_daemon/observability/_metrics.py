"""The metrics of one daemon."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

from savorylead.contracts import TaskKind
from savorylead.journal import RequeueReason
from savorylead.links import LinkCount
from savorylead.outcomes import Refusal

from ._wait_histogram import WaitHistogram, WaitStage

#: Link events that are retried calls, with the reason for the retry.
_RETRY_REASONS = {
    LinkCount.RETRIED_NOT_SENT: "not_sent",
    LinkCount.RETRIED_SILENT: "silent",
    LinkCount.RETRIED_BROKEN: "broken",
}
#: Values of a metric by its label values, in the order of the label names.
_Counts = dict[tuple[str, ...], float]


class _LabelledSeries:
    """One metric in a plain dictionary, copied into its collector for rendering.

    The collectors of aioprometheus encode the labels on each update, which costs more
    than the operation being counted; an update here costs one dictionary access.
    """

    def __init__(self, collector: Counter | Gauge, labels: tuple[str, ...]) -> None:
        self._collector = collector
        self._labels = labels
        self._values: _Counts = {}

    def add(self, amount: float, *values: str) -> None:
        self._values[values] = self._values.get(values, 0) + amount

    def set(self, amount: float, *values: str) -> None:
        self._values[values] = amount

    def retain_only(self, kept: Iterable[tuple[str, ...]]) -> None:
        kept = set(kept)
        self._values = {k: v for k, v in self._values.items() if k in kept}

    def publish(self) -> None:
        self._collector.values.store.clear()
        for values, amount in self._values.items():
            escaped = map(escape_label, values)
            labels = dict(zip(self._labels, escaped, strict=True))
            self._collector.set_value(labels, amount)


class Metrics:
    """All metrics of one daemon, in a separate registry.

    The composition root creates it and passes it to the components. Updates are cheap;
    the expensive work is done in ``render``.
    """

    def __init__(self, cpu_seconds: Callable[[], float]) -> None:
        """Create all series; ``cpu_seconds`` returns the process's CPU time so far."""
        self._cpu_seconds = cpu_seconds
        self._registry = Registry()
        self._series: list[_LabelledSeries] = []
        self._refusals = self._counter(
            "refusals_total", "Tasks and calls refused, by reason.", "reason"
        )
        self._call_errors = self._counter(
            "call_errors_total", "Calls that the interface itself refused.", "code"
        )
        self._requeues = self._counter(
            "requeues_total", "Attempts that went back to the queue.", "reason"
        )
        self._retries = self._counter(
            "retries_total", "Calls repeated, by link and reason.", "link", "reason"
        )
        self._link_events = self._counter(
            "link_events_total", "What happened on links.", "link", "event"
        )
        self._requests = self._counter(
            "http_requests_total", "Requests served.", "route", "status"
        )
        self._store_calls = self._counter(
            "store_calls_total", "Calls to the platform's store.", "call", "result"
        )
        self._control_bytes = self._counter(
            "control_bytes_total", "Bytes of control traffic.", "link", "direction"
        )
        self._cpu = self._counter(
            "control_cpu_seconds_total", "Processor time of this process."
        )
        self._stalls = self._counter(
            "journal_stalls_total", "Appends that exceeded their deadline.", "shard"
        )
        self._packing = self._gauge(
            "packing_ratio", "Held part of the led workers.", "resource"
        )
        self._share_distance = self._gauge(
            "share_distance_ratio", "Share held minus the fair share.", "team"
        )
        self._leads = self._gauge("leads_held", "Shards led by this daemon.")
        self._epoch = self._gauge("shard_epoch", "Epoch of each led shard.", "shard")
        self._waiting = self._gauge("tasks_waiting", "Queued tasks.", "shard")
        self._running = self._gauge("tasks_running", "Placed tasks.", "shard")
        self._revision = self._gauge("config_revision", "Revision in force here.")
        self._ready = self._gauge("ready", "1 while callers may be sent here.")
        self._waits = {
            stage: WaitHistogram(stage, self._registry) for stage in WaitStage
        }
        self._start_at_zero()

    def count_refusal(self, reason: Refusal, count: int = 1) -> None:
        """Count tasks or whole calls that were refused.

        The gateway that answers the caller counts a refused submit; a lead counts only
        tasks that it had accepted and that end as not run.
        """
        self._refusals.add(count, reason)

    def count_call_error(self, code: str) -> None:
        """Count a call that was refused before it reached a service, by its code."""
        self._call_errors.add(1, code)

    def count_requeue(self, reason: RequeueReason, count: int = 1) -> None:
        """Count attempts that went back to the queue."""
        self._requeues.add(count, reason)

    def count_retry(self, link: str, reason: enum.StrEnum | str) -> None:
        """Count a retried call; ``link`` is "store", "peer", "worker" or "vm_list"."""
        self._retries.add(1, link, str(reason))

    def set_link_counts(self, link: str, counts: Mapping[LinkCount, int]) -> None:
        """Set the event totals of all links of one kind.

        Retried calls are also counted in the retries metric, by reason.
        """
        for event, total in counts.items():
            self._link_events.set(total, link, event)
            if event in _RETRY_REASONS:
                self._retries.set(total, link, _RETRY_REASONS[event])

    def count_request(self, route: str, status: int) -> None:
        """Count one HTTP request by its route, never by its path."""
        self._requests.add(1, route, str(status))

    def count_store_call(self, call: str, result: str = "ok") -> None:
        """Count a call to the store by its kind, such as "swap", and its result."""
        self._store_calls.add(1, call, result)

    def set_store_calls(self, call: str, result: str, total: int) -> None:
        """Set the total number of store calls of one kind with one result."""
        self._store_calls.set(total, call, result)

    def set_control_bytes(self, link: str, received: int, sent: int) -> None:
        """Set the total bytes of control traffic."""
        self._control_bytes.set(received, link, "received")
        self._control_bytes.set(sent, link, "sent")

    def count_journal_stall(self, shard: str) -> None:
        """Count an append that exceeded its deadline."""
        self._stalls.add(1, shard)

    def observe_wait(self, stage: WaitStage, kind: TaskKind, waited_ms: int) -> None:
        """Count a task's waiting time since its submit."""
        self._waits[stage].observe(kind, waited_ms / 1000)

    def set_packing(self, resource: str, ratio: float) -> None:
        """Set the fraction of a resource held on all led workers, 0 to 1."""
        self._packing.set(ratio, resource)

    def set_share_distances(self, distances: dict[str, float]) -> None:
        """Set each team's held share minus its fair share; remove other teams."""
        self._share_distance.retain_only((team,) for team in distances)
        for team, distance in distances.items():
            self._share_distance.set(distance, team)

    def set_leads(self, epochs: dict[str, int]) -> None:
        """Set the epoch of every shard that this daemon leads; remove others."""
        self._leads.set(len(epochs))
        kept = [(shard,) for shard in epochs]
        for series in (self._epoch, self._waiting, self._running):
            series.retain_only(kept)
        for shard, epoch in epochs.items():
            self._epoch.set(epoch, shard)

    def set_shard_load(self, shard: str, waiting: int, running: int) -> None:
        """Set the numbers of waiting and placed tasks of a led shard."""
        self._waiting.set(waiting, shard)
        self._running.set(running, shard)

    def set_revision(self, revision: int) -> None:
        """Set the revision of the configuration in force."""
        self._revision.set(revision)

    def set_ready(self, ready: bool) -> None:
        """Set whether the balancer may route callers to this daemon."""
        self._ready.set(int(ready))

    def render(self) -> tuple[bytes, str]:
        """Return the text exposition and its content type."""
        self._cpu.set(self._cpu_seconds())
        for series in self._series:
            series.publish()
        for wait in self._waits.values():
            wait.publish()
        # An empty Accept list selects the text format, which every scraper reads.
        body, headers = render(self._registry, [])
        return body, headers["Content-Type"]

    def _start_at_zero(self) -> None:
        """Export every reason before its first occurrence, so that rates work."""
        for refusal in Refusal:
            self._refusals.add(0, refusal)
        for requeue in RequeueReason:
            self._requeues.add(0, requeue)

    def _counter(self, name: str, doc: str, *labels: str) -> _LabelledSeries:
        collector = Counter(f"savorylead_{name}", doc, registry=self._registry)
        return self._add_series(collector, labels)

    def _gauge(self, name: str, doc: str, *labels: str) -> _LabelledSeries:
        collector = Gauge(f"savorylead_{name}", doc, registry=self._registry)
        return self._add_series(collector, labels)

    def _add_series(
        self, collector: Counter | Gauge, labels: tuple[str, ...]
    ) -> _LabelledSeries:
        series = _LabelledSeries(collector, labels)
        self._series.append(series)
        return series


def escape_label(value: str) -> str:
    """Escape a label's value, because the text formatter does not."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
