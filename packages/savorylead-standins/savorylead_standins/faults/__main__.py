"""Runs the fault matrix and writes the results as Markdown: ``make faults``."""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from ._matrix import (
    FaultAt,
    MatrixRun,
    pair_seed,
    sampled_pairs,
    seed_of,
    single_faults,
)
from ._table import MatrixResults, render
from ._variants import VARIANTS


def main() -> None:
    """Run every matrix cell, every sampled pair and every broken variant."""
    parser = argparse.ArgumentParser(prog="python -m savorylead_standins.faults")
    parser.add_argument("--out", type=Path, default=Path("docs/FAULTS.md"))
    parser.add_argument("--processes", type=int, default=3)
    args = parser.parse_args()
    with ProcessPoolExecutor(args.processes) as pool:
        cells = list(pool.map(_run_single, range(len(single_faults()))))
        pairs = list(pool.map(_run_pair, range(len(sampled_pairs()))))
        caught = list(pool.map(_run_variant, range(len(VARIANTS))))
    results = MatrixResults(cells, pairs, caught)
    args.out.write_text(render(results))
    broken = sum(1 for found in cells + pairs if found)
    raise SystemExit(1 if broken else 0)


def _run_single(index: int) -> list[str]:
    placed = single_faults()[index]
    return _run(seed_of(placed), [placed])


def _run_pair(index: int) -> list[str]:
    return _run(pair_seed(index), sampled_pairs()[index])


def _run_variant(index: int) -> list[str]:
    return VARIANTS[index].caught_by()


def _run(seed: int, faults: list[FaultAt]) -> list[str]:
    """Return the names of the violated invariants and of the missed steps."""
    report = MatrixRun(seed, faults).run()
    found = {violation.invariant for violation in report.violations}
    if len(faults) == 1:
        # In a pair, the first fault may prevent the second step from being reached.
        found |= {f"missed {step}" for step in report.missed}
    return sorted(found)


if __name__ == "__main__":
    main()
