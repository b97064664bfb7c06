"""Runs the platform of an example: ``python -m savorylead_standins.serve``.

Prints one JSON line with the addresses once all of them listen, and ends at
SIGTERM, when its standard input closes, or after ``--run-limit-s``.
"""

from __future__ import annotations

import argparse
import gc
import random
import sys
from pathlib import Path

import msgspec
from twisted.internet import reactor, stdio
from twisted.internet.protocol import Protocol

from savorylead.clock import TwistedClock
from savorylead_standins.serving import PlatformServer, read_platform

_DEFAULT_RUN_LIMIT_S = 600.0
#: Full collections are rare, since the platform's store answers in milliseconds.
_GC_THRESHOLDS = (50_000, 20, 100)


class _StopAtEnd(Protocol):
    """Stops the process when whoever started it has gone."""

    def connectionLost(self, reason: object) -> None:  # noqa: N802 - Twisted's name.
        """Stop the reactor."""
        _stop()


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m savorylead_standins.serve",
        description="Run stand-ins of the platform's store, VM list and workers.",
    )
    parser.add_argument(
        "--config", type=Path, required=True, help="example with a platform section"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of all randomness")
    parser.add_argument(
        "--run-limit-s",
        type=float,
        default=_DEFAULT_RUN_LIMIT_S,
        help="end after so many seconds (default: %(default)s)",
    )
    parser.add_argument(
        "--until-stdin-closes",
        action="store_true",
        help="end when the standard input closes",
    )
    return parser.parse_args()


def _stop() -> None:
    if reactor.running:
        reactor.stop()


def main() -> None:
    """Listen, tell where, and serve until told to end."""
    arguments = _parse_arguments()
    server = PlatformServer(
        reactor,
        TwistedClock.starting_now(reactor),
        random.Random(arguments.seed),
        read_platform(arguments.config),
    )
    ports = server.listen()
    sys.stdout.write(msgspec.json.encode(ports._asdict()).decode() + "\n")
    sys.stdout.flush()
    if arguments.until_stdin_closes:
        stdio.StandardIO(_StopAtEnd())
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    reactor.callLater(arguments.run_limit_s, _stop)
    reactor.run()


if __name__ == "__main__":
    main()
