"""Histograms of waiting times with cheap updates."""

from __future__ import annotations

import enum
from bisect import bisect_left

from aioprometheus import Histogram, Registry
from aioprometheus.histogram import Histogram as Buckets

from savorylead.contracts import TaskKind

#: Upper bounds of the buckets, in seconds.
WAIT_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    7.5,
    15.0,
    60.0,
    300.0,
    1800.0,
)


class WaitStage(enum.StrEnum):
    """The event that ends a waiting time measured from the submit."""

    PLACED = "placed"
    STARTED = "started"


class _Series:
    """Counts per bucket of one kind of task; cumulated only for rendering."""

    __slots__ = ("counts", "sum_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(WAIT_BOUNDS_S) + 1)
        self.sum_s = 0.0


class WaitHistogram:
    """Waiting times from the submit to one stage, by kind of task."""

    def __init__(self, stage: WaitStage, registry: Registry) -> None:
        self._collector = Histogram(
            f"savorylead_submit_to_{stage}_seconds",
            f"Time from the submit until the task was {stage}, by kind.",
            registry=registry,
            buckets=WAIT_BOUNDS_S,
        )
        self._series = {kind: _Series() for kind in TaskKind}

    def observe(self, kind: TaskKind, waited_s: float) -> None:
        """Record one waiting time in seconds."""
        series = self._series[kind]
        series.counts[bisect_left(WAIT_BOUNDS_S, waited_s)] += 1
        series.sum_s += waited_s

    def publish(self) -> None:
        """Copy the counts into the registry's collector."""
        for kind, series in self._series.items():
            self._collector.set_value({"kind": kind.value}, _cumulate(series))


def _cumulate(series: _Series) -> Buckets:
    buckets = Buckets(*WAIT_BOUNDS_S)
    total = 0
    for bound, count in zip(buckets.buckets, series.counts, strict=True):
        total += count
        buckets.buckets[bound] = total
    buckets.observations = total
    buckets.sum = series.sum_s
    return buckets
