"""Approximate quantiles of positive numbers in constant memory."""

from __future__ import annotations

import math

#: Buckets per factor of two: an estimate is at most 2**(1/4), or 19%, too high.
BUCKETS_PER_DOUBLING = 4
#: Exponents of two that bound the range of the buckets.
MIN_EXPONENT = -8
MAX_EXPONENT = 32
#: Number of samples at which all counts are halved, so that old samples fade.
SAMPLES_TO_HALVE = 400

_BUCKETS = (MAX_EXPONENT - MIN_EXPONENT) * BUCKETS_PER_DOUBLING


class QuantileSketch:
    """Counts samples in buckets of exponentially growing width.

    Memory does not grow with the number of samples. Quantiles are upper bounds of
    a bucket: never below the exact quantile, and at most 19% above it, between
    2**MIN_EXPONENT and 2**MAX_EXPONENT.
    """

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._total = 0.0

    @property
    def samples(self) -> float:
        """Number of samples, with reduced weight for old ones."""
        return self._total

    def add(self, value: float) -> None:
        """Add a sample; values below the range are counted in the first bucket."""
        bucket = _bucket_of(value)
        self._counts[bucket] = self._counts.get(bucket, 0.0) + 1.0
        self._total += 1.0
        if self._total >= SAMPLES_TO_HALVE:
            self._halve()

    def quantile(self, fraction: float, above: float = 0.0) -> float:
        """Return the ``fraction`` quantile of the samples greater than ``above``.

        Returns 0.0 if there are none.
        """
        first = _bucket_of(above) + 1 if above > 0 else 0
        counted = sorted(item for item in self._counts.items() if item[0] >= first)
        target_count = fraction * sum(count for _, count in counted)
        cumulative_count = 0.0
        for bucket, count in counted:
            cumulative_count += count
            if cumulative_count >= target_count:
                return _upper_bound(bucket)
        return 0.0

    def _halve(self) -> None:
        halved = ((bucket, count / 2) for bucket, count in self._counts.items())
        self._counts = {bucket: count for bucket, count in halved if count > 0.01}
        self._total = sum(self._counts.values())


def _bucket_of(value: float) -> int:
    if value <= 0:
        return 0
    position = (math.log2(value) - MIN_EXPONENT) * BUCKETS_PER_DOUBLING
    return min(max(math.ceil(position), 0), _BUCKETS)


def _upper_bound(bucket: int) -> float:
    return 2.0 ** (bucket / BUCKETS_PER_DOUBLING + MIN_EXPONENT)
