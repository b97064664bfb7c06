"""Commands on the configuration as a whole."""

from __future__ import annotations

import argparse
import json
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from savorylead.config import CellDocument, check_document, diff_documents
from savorylead_ctl._changes import change_documents, change_lines
from savorylead_ctl.client import ConfigAtRevision
from savorylead_ctl.exit_codes import ExitCode

from ._command import Command, Context, UsageError
from ._edit import apply_change

#: Pause between two looks at the members.
POLL_INTERVAL = timedelta(milliseconds=250)


class ShowConfig(Command):
    """Prints the newest configuration."""

    name = "show"
    help = "print the newest configuration and, to standard error, its revision"

    def run(self, context: Context) -> ExitCode:
        """Print it; the text alone is what 'apply' reads."""
        config = context.client.read_config()
        text = json.dumps(config.document, indent=2, ensure_ascii=False)
        context.printer.result(config._asdict(), text)
        context.printer.note(f"revision {config.revision}")
        return ExitCode.OK


class FileCommand(Command):
    """Works on a configuration in a file."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        parser.add_argument("file", type=Path, help="configuration in JSON")


class CheckConfig(FileCommand):
    """Checks a file without any endpoint."""

    name = "check"
    help = "check a file and list every fault with its path"
    needs_cell = False

    def run(self, context: Context) -> ExitCode:
        """Check it."""
        read_checked_file(context.args.file)
        path = str(context.args.file)
        context.printer.result({"file": path, "faults": []}, f"{path}: ok")
        return ExitCode.OK


class DiffConfig(FileCommand):
    """Compares a file with the newest configuration."""

    name = "diff"
    help = "show what applying a file would change"

    def run(self, context: Context) -> ExitCode:
        """Show the differences."""
        document = read_checked_file(context.args.file)
        current = context.client.read_config()
        changes = diff_documents(current.document, document)
        lines = change_lines(changes) or ["no difference"]
        content = {
            "revision": current.revision,
            "changes": change_documents(changes),
        }
        context.printer.result(content, "\n".join(lines))
        context.printer.note(f"against revision {current.revision}")
        return ExitCode.OK


class ApplyConfig(FileCommand):
    """Replaces the configuration by a file."""

    name = "apply"
    help = "replace the configuration if its revision is the expected one"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file and the revision."""
        super().add_arguments(parser)
        parser.add_argument(
            "--expect-revision",
            type=int,
            required=True,
            metavar="N",
            help="the revision that the file was made from",
        )

    def run(self, context: Context) -> ExitCode:
        """Apply it."""
        document = read_checked_file(context.args.file)
        current = context.client.read_config()
        if current.revision != context.args.expect_revision:
            return _tell_other_revision(context, document, current)
        if current.document == document:
            content = {"revision": current.revision, "changed": False}
            context.printer.result(content, "nothing to change")
            return ExitCode.OK
        return apply_change(context, current, document, f"applied {context.args.file}")


def _tell_other_revision(
    context: Context, document: CellDocument, current: ConfigAtRevision
) -> ExitCode:
    """Tell what the file would undo or change; nothing was sent."""
    changes = change_lines(diff_documents(document, current.document))
    context.printer.failure(
        "config_conflict",
        f"nothing was changed: the cell is at revision {current.revision}, "
        "where, compared with the file:",
        changes=changes,
        expected_revision=context.args.expect_revision,
        revision=current.revision,
    )
    return ExitCode.CONFLICT


class WaitInForce(Command):
    """Waits until a revision is in force everywhere."""

    name = "wait-in-force"
    help = "wait until a revision or a later one is in force at every daemon"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the revision and the bound."""
        parser.add_argument("revision", type=int, help="as 'apply' printed it")
        parser.add_argument(
            "--wait",
            type=float,
            default=10.0,
            metavar="SECONDS",
            help="how long to wait (default: %(default)s)",
        )

    def run(self, context: Context) -> ExitCode:
        """Look at the members until none lags."""
        wanted = context.args.revision
        deadline = context.clock.now() + timedelta(seconds=context.args.wait)
        while True:
            members = context.client.get("/v1/operators/members")["members"]
            behind = [m for m in members if m["revision"] < wanted]
            if members and not behind:
                content = {"revision": wanted, "members": members}
                sentence = f"revision {wanted} is in force at {len(members)} daemons"
                context.printer.result(content, sentence)
                return ExitCode.OK
            if context.clock.now() + POLL_INTERVAL > deadline:
                return _tell_behind(context, wanted, behind)
            context.clock.sleep(POLL_INTERVAL)


def _tell_behind(
    context: Context, wanted: int, behind: list[dict[str, Any]]
) -> ExitCode:
    lines = [f"{member['name']} is at {member['revision']}" for member in behind]
    context.printer.failure(
        "not_in_force", f"revision {wanted} is not in force at:", members=lines
    )
    return ExitCode.TIMED_OUT


def read_checked_file(path: Path) -> CellDocument:
    """Return a configuration from a file; raises UsageError with all faults."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as exc:
        raise UsageError(f"cannot read {path}: {exc.strerror}") from exc
    except msgspec.DecodeError as exc:
        raise UsageError(f"{path} is not JSON: {exc}") from exc
    faults = tuple(
        f"{fault.path}: {fault.message}" for fault in check_document(document)
    )
    if faults:
        raise UsageError(f"{len(faults)} faults in {path}:", faults)
    return document
