"""How every bench program prints its figures."""

from __future__ import annotations

import json


def report(
    bench: str,
    metric: str,
    value: float,
    unit: str,
    baseline: float | None = None,
) -> None:
    """Print one figure as a JSON object on a line of its own."""
    ratio = None
    if baseline:
        ratio = round(value / baseline, 4)
    line = {
        "bench": bench,
        "metric": metric,
        "value": round(value, 4),
        "unit": unit,
        "baseline": None if baseline is None else round(baseline, 4),
        "ratio": ratio,
    }
    print(json.dumps(line), flush=True)


def percentile(values: list[float], part: float) -> float:
    """Return the smallest value that ``part`` of the values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
