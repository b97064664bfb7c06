"""Command line of savoryleadd."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from savorylead_daemon._bundle import load_module
from savorylead_daemon._standard_streams import open_missing_streams
from savorylead_daemon._start_error import EXIT_BAD_SETTINGS, EXIT_OK
from savorylead_daemon.pool.settings import (
    PoolSettings,
    is_for_pools,
    load_pool_settings,
)
from savorylead_daemon.settings import Settings, SettingsError, load_settings


class _PrintVersion(argparse.Action):
    """Print the installed release; its metadata is read only for this."""

    def __call__(self, parser: argparse.ArgumentParser, *_: Any) -> None:
        from importlib.metadata import version

        print(f"{parser.prog} {version('savorylead-daemon')}")
        parser.exit(EXIT_OK)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="savoryleadd",
        description="Accepts callers' tasks and leads shards of the cell.",
        epilog="Exit codes: 0 after a planned stop, 1 after a failure, "
        "2 for a wrong command line or wrong settings, "
        "3 for packages that this interpreter can't load.",
    )
    parser.add_argument(
        "--config",
        required=True,
        type=Path,
        metavar="FILE",
        help="settings of this daemon, in JSON",
    )
    parser.add_argument(
        "--check-config",
        action="store_true",
        help="check the settings, print every fault with its path, and stop",
    )
    parser.add_argument(
        "--version",
        action=_PrintVersion,
        nargs=0,
        help="show the program's version and stop",
    )
    return parser


def run_command(argv: Sequence[str] | None = None) -> None:
    """Run the daemon until it is stopped.

    Raises SystemExit, or StartError if the daemon can't start to serve.
    """
    open_missing_streams()
    args = build_parser().parse_args(argv)
    try:
        settings = _load(args.config)
    except SettingsError as exc:
        for path, message in exc.faults:
            print(f"{args.config}: {path}: {message}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from exc
    if args.check_config:
        print(f"{args.config}: ok")
        raise SystemExit(EXIT_OK)
    raise SystemExit(_run(settings, args.config))


def _load(path: Path) -> Settings | PoolSettings:
    """Load settings of either kind; those of a platform's daemon name an adapter."""
    try:
        for_pools = is_for_pools(path.read_bytes())
    except OSError:
        # load_settings() reports the error.
        for_pools = False
    return load_pool_settings(path) if for_pools else load_settings(path)


def _run(settings: Settings | PoolSettings, path: Path) -> int:
    """Build the daemon and run it; return the exit code."""
    # Loaded lazily: only a running daemon needs the reactor and its dependencies, and
    # each kind of daemon needs only its own modules.
    if isinstance(settings, PoolSettings):
        composition = load_module("savorylead_daemon.pool.composition")
        return composition.compose_pools(settings, path)
    return load_module("savorylead_daemon.composition").compose(settings)
