"""The demo: ``python -m savorylead_standins.demo --config examples/NAME.json``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from twisted.internet import task
from twisted.internet.interfaces import IReactorCore

from savorylead_standins.rig import bounded

from ._run import RUN_LIMIT_S, DemoRun


async def _run(reactor: IReactorCore, arguments: argparse.Namespace) -> None:
    run = DemoRun(reactor, arguments.config, arguments.seed)
    report = await run.run()
    print(report.table())
    print()
    print(report.last_line())
    sys.stdout.flush()
    if not report.is_good():
        raise SystemExit(1)


def main() -> None:
    """Run the day; ends non-zero if work was lost, run twice or overcommitted."""
    parser = argparse.ArgumentParser(prog="python -m savorylead_standins.demo")
    parser.add_argument("--config", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    task.react(lambda reactor: bounded(reactor, _run(reactor, arguments), RUN_LIMIT_S))


if __name__ == "__main__":
    main()
