"""The command line that the demo and the rig share."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from twisted.internet import task
from twisted.internet.interfaces import IReactorCore

from ._processes import run_with_timeout
from ._run_report import RunReport


class Run(Protocol):
    """Something that runs a cell of processes and reports."""

    async def run(self) -> RunReport:
        """Return the report once everything has ended."""


#: Makes a run from the reactor, the example and a seed.
OpenRun = Callable[[Any, Path, int], Run]


def run_from_command_line(prog: str, open_run: OpenRun, run_limit_s: float) -> None:
    """Run, print the report, and end non-zero if it is bad."""
    parser = argparse.ArgumentParser(prog=prog)
    parser.add_argument("--config", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()

    async def run(reactor: IReactorCore) -> None:
        report = await open_run(reactor, arguments.config, arguments.seed).run()
        print(report.table())
        print()
        print(report.last_line())
        sys.stdout.flush()
        if not report.is_good():
            raise SystemExit(1)

    task.react(lambda reactor: run_with_timeout(reactor, run(reactor), run_limit_s))
