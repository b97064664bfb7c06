"""The rig: ``python -m savorylead_standins.rig --config examples/NAME.json``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from twisted.internet import task
from twisted.internet.interfaces import IReactorCore

from ._processes import bounded
from ._rig_run import RUN_LIMIT_S, RigRun


async def _run(reactor: IReactorCore, arguments: argparse.Namespace) -> None:
    report = await RigRun(reactor, arguments.config, arguments.seed).run()
    print(report.table())
    print()
    print(report.last_line())
    sys.stdout.flush()
    if not report.is_good():
        raise SystemExit(1)


def main() -> None:
    """Run every step; ends non-zero if an invariant was breached."""
    parser = argparse.ArgumentParser(prog="python -m savorylead_standins.rig")
    parser.add_argument("--config", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    task.react(lambda reactor: bounded(reactor, _run(reactor, arguments), RUN_LIMIT_S))


if __name__ == "__main__":
    main()
