"""Renders the results of the matrix as a Markdown page."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ._faults import FAULTS
from ._matrix import (
    SETTLE_BOUND_S,
    FaultAt,
    pair_seed,
    sampled_pairs,
    seed_of,
    single_faults,
)
from ._steps import STEPS
from ._variants import VARIANTS

INTRODUCTION = """# Fault matrix

`make faults` runs it and writes this page. Each cell is one run of three whole
daemons over six fake workers, a fake store and a fake network on a fake clock. The
fault begins when the named step is first reached. Afterwards every checker judges
what the workers executed and what the callers were told, and every accepted task
must have its final answer and every shard one lead within {settle_s} s after the
fault. `ok` says that nothing was found; otherwise the checkers that found something
are named.
"""


class MatrixResults(NamedTuple):
    """Findings by row of the tables; an empty list means that the run passed."""

    cells: Sequence[Sequence[str]]
    pairs: Sequence[Sequence[str]]
    #: For each variant, the checkers that caught it.
    caught: Sequence[Sequence[str]]


def render(results: MatrixResults) -> str:
    """Return the page as Markdown."""
    parts = [
        INTRODUCTION.format(settle_s=SETTLE_BOUND_S),
        _counts(results),
        _cells(results.cells),
        _seeds(results.cells),
        _pairs(results.pairs),
        _variants(results.caught),
    ]
    return "\n".join(parts)


def _counts(results: MatrixResults) -> str:
    lines = []
    for name, found in (("Cells", results.cells), ("Pairs", results.pairs)):
        broken = sum(1 for names in found if names)
        lines.append(f"- {name} run: {len(found)}; with a breach: {broken}.")
    return "\n".join(lines) + "\n"


def _cells(found: Sequence[Sequence[str]]) -> str:
    head = ["fault", *(step.name for step in STEPS)]
    rows = [_row(head), _row(["---"] * len(head))]
    for number, fault in enumerate(FAULTS):
        part = found[number * len(STEPS) : (number + 1) * len(STEPS)]
        rows.append(_row([fault.name, *(_verdict(names) for names in part)]))
    return "## Every fault at every step\n\n" + "\n".join(rows) + "\n"


def _seeds(found: Sequence[Sequence[str]]) -> str:
    lines = [
        f"- {placed.label()}, seed {seed_of(placed)}: {_verdict(names)}"
        for placed, names in zip(single_faults(), found, strict=True)
        if names
    ]
    return (
        "Breaches: none.\n" if not lines else "\n".join(["Breaches:", "", *lines, ""])
    )


def _pairs(found: Sequence[Sequence[str]]) -> str:
    rows = [_row(["seed", "first", "second", "result"]), _row(["---"] * 4)]
    for index, (pair, names) in enumerate(zip(sampled_pairs(), found, strict=True)):
        rows.append(_row([str(pair_seed(index)), *_labels(pair), _verdict(names)]))
    return "## Sampled pairs\n\n" + "\n".join(rows) + "\n"


def _variants(caught: Sequence[Sequence[str]]) -> str:
    rows = [_row(["variant", "fault", "caught by"]), _row(["---"] * 3)]
    for variant, names in zip(VARIANTS, caught, strict=True):
        place = f"{variant.fault.name} at {variant.step}"
        rows.append(_row([variant.name, place, ", ".join(names) or "nothing"]))
    return "## Broken on purpose\n\n" + "\n".join(rows) + "\n"


def _labels(pair: Sequence[FaultAt]) -> list[str]:
    return [placed.label() for placed in pair]


def _verdict(names: Sequence[str]) -> str:
    return ", ".join(names) or "ok"


def _row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"
