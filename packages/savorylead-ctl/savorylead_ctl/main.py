"""Entry point of savoryctl."""

from __future__ import annotations

import argparse
import os
import random
import sys
import time
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime, timedelta
from importlib.metadata import version
from pathlib import Path
from typing import Any, NoReturn

from ._printer import Printer
from .client import (
    CellClient,
    ChangeUnknownError,
    ClientError,
    EndpointError,
    HttpTransport,
    RefusedCallError,
    UnreachableError,
    parse_endpoints,
)
from .commands import COMMAND_GROUPS, BlockingClock, Command, CommandGroup, Context
from .commands._command import UsageError
from .exit_codes import MEANINGS, ExitCode

#: Comma-separated endpoints, used if the command line has none.
ENDPOINTS_VARIABLE = "SAVORYLEAD_ENDPOINTS"
#: The key, used if no key file is given. There is no option for the key itself, since
#: other users of the machine can read a process's arguments.
KEY_VARIABLE = "SAVORYLEAD_KEY"
#: Timeout for connecting to an endpoint.
CONNECT_DEADLINE = timedelta(seconds=2)
DEFAULT_TIMEOUT_S = 15.0


class _SystemClock(BlockingClock):
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""
        return datetime.now(UTC)

    def sleep(self, delay: timedelta) -> None:
        """Block for ``delay``."""
        time.sleep(delay.total_seconds())


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser with all commands."""
    codes = "\n".join(f"  {code.value}  {text}" for code, text in MEANINGS.items())
    common = _common_options()
    parser = argparse.ArgumentParser(
        prog="savoryctl",
        description="Operates a savorylead cell and submits tasks to it.",
        epilog=f"exit codes:\n{codes}\n\nenvironment:\n"
        f"  {ENDPOINTS_VARIABLE}  comma-separated endpoints\n"
        f"  {KEY_VARIABLE}        the key of a team or of an operator",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        parents=[common],
    )
    release = version("savorylead-ctl")
    parser.add_argument("--version", action="version", version=f"savoryctl {release}")
    groups = parser.add_subparsers(title="commands", metavar="COMMAND", required=True)
    for group in COMMAND_GROUPS:
        _add_group(groups, group, common)
    return parser


def _common_options() -> argparse.ArgumentParser:
    """Return a parent parser with the options allowed before or after the command.

    Defaults are suppressed so that a subcommand does not overwrite options that precede
    it.
    """
    common = argparse.ArgumentParser(add_help=False, argument_default=argparse.SUPPRESS)
    common.add_argument(
        "--endpoint",
        dest="endpoints",
        action="append",
        metavar="HOST:PORT",
        help="address of a daemon; may be repeated, an endpoint that can't be "
        "reached is skipped",
    )
    common.add_argument(
        "--key-file", type=Path, metavar="FILE", help="file that contains the key"
    )
    common.add_argument(
        "--timeout",
        type=float,
        metavar="SECONDS",
        help="timeout of a call (default: 15)",
    )
    common.add_argument("--json", action="store_true", help="print one JSON document")
    return common


def _add_group(
    groups: Any, group: CommandGroup, common: argparse.ArgumentParser
) -> None:
    parser = groups.add_parser(group.name, help=group.help, parents=[common])
    if len(group.commands) == 1:
        _set_command(parser, group.commands[0])
        return
    if group.default is not None:
        _set_command(parser, group.default)
    names = parser.add_subparsers(
        title="commands", metavar="COMMAND", required=group.default is None
    )
    for command in group.commands:
        subparser = names.add_parser(command.name, help=command.help, parents=[common])
        _set_command(subparser, command)


def _set_command(parser: argparse.ArgumentParser, command: Command) -> None:
    parser.description = f"{command.help[0].upper()}{command.help[1:]}."
    command.add_arguments(parser)
    parser.set_defaults(command=command)


def run(
    argv: Sequence[str], environ: Mapping[str, str], clock: BlockingClock
) -> ExitCode:
    """Run a command line and return its exit code; prints to stdout and stderr."""
    args = build_parser().parse_args(argv)
    printer = Printer(getattr(args, "json", False), sys.stdout, sys.stderr)
    try:
        client = _build_client(args, environ)
        context = Context(client, printer, clock, args, sys.stdin)
        return args.command.run(context)
    except UsageError as exc:
        printer.failure("usage", exc.detail, faults=list(exc.faults))
        return ExitCode.USAGE
    except ClientError as exc:
        return _report_client_error(printer, exc)


def _build_client(args: argparse.Namespace, environ: Mapping[str, str]) -> CellClient:
    texts = getattr(args, "endpoints", None) or [environ.get(ENDPOINTS_VARIABLE, "")]
    try:
        endpoints = parse_endpoints(texts)
    except EndpointError as exc:
        raise UsageError(str(exc)) from exc
    deadline = timedelta(seconds=getattr(args, "timeout", DEFAULT_TIMEOUT_S))
    if deadline <= timedelta(0):
        raise UsageError("--timeout must be greater than zero")
    key = ""
    if args.command.needs_cell:
        if not endpoints:
            raise UsageError(f"specify --endpoint or set {ENDPOINTS_VARIABLE}")
        key = _read_key(args, environ)
    transport = HttpTransport(CONNECT_DEADLINE)
    return CellClient(endpoints, key, transport, deadline, random.Random())


def _read_key(args: argparse.Namespace, environ: Mapping[str, str]) -> str:
    key = environ.get(KEY_VARIABLE, "")
    if hasattr(args, "key_file"):
        try:
            key = args.key_file.read_text().strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise UsageError(f"cannot read {args.key_file}: {exc}") from exc
    if not key:
        raise UsageError(f"specify --key-file or set {KEY_VARIABLE}")
    if not key.isascii() or not key.isprintable():
        raise UsageError("the key contains non-ASCII or unprintable characters")
    return key


def _report_client_error(printer: Printer, exc: ClientError) -> ExitCode:
    match exc:
        case RefusedCallError():
            fields: dict[str, Any] = {"path": exc.path}
            for name in ("faults", "config_faults"):
                if name in exc.document:
                    fields[name] = exc.document[name]
            printer.failure(exc.code, f"refused: {exc.code}: {exc.detail}", **fields)
            return ExitCode.REFUSED
        case UnreachableError():
            printer.failure("unreachable", str(exc))
            return ExitCode.UNREACHABLE
        case ChangeUnknownError():
            printer.failure("change_unknown", exc.detail)
            return ExitCode.UNKNOWN
    raise exc


def main() -> NoReturn:
    """Run savoryctl with the process's arguments and exit with its code."""
    try:
        code = run(sys.argv[1:], os.environ, _SystemClock())
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of stdout has closed it. Redirect stdout to the null device so that
        # the flush at exit does not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.INTERNAL
    raise SystemExit(code)
