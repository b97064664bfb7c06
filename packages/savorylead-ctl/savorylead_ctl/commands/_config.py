"""Commands on the whole configuration."""

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

#: Interval between polls of the members.
POLL_INTERVAL = timedelta(milliseconds=250)


class ShowConfig(Command):
    """Prints the newest configuration."""

    name = "show"
    help = "print the newest configuration and, to standard error, its revision"

    def run(self, context: Context) -> ExitCode:
        """Print the document as 'apply' reads it, and the revision to stderr."""
        config = context.client.read_config()
        text = json.dumps(config.document, indent=2, ensure_ascii=False)
        context.printer.result(config._asdict(), text)
        context.printer.note(f"revision {config.revision}")
        return ExitCode.OK


class FileCommand(Command):
    """Base of commands that read a configuration from a file."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file argument."""
        parser.add_argument("file", type=Path, help="configuration in JSON")


class CheckConfig(FileCommand):
    """Validates a file without calling the cell."""

    name = "check"
    help = "check a file and list every fault with its path"
    needs_cell = False

    def run(self, context: Context) -> ExitCode:
        """Validate the file; raises UsageError with its faults."""
        read_checked_file(context.args.file)
        path = str(context.args.file)
        context.printer.result({"file": path, "faults": []}, f"{path}: ok")
        return ExitCode.OK


class DiffConfig(FileCommand):
    """Compares a file with the newest configuration."""

    name = "diff"
    help = "show what applying a file would change"

    def run(self, context: Context) -> ExitCode:
        """Print the changes from the newest configuration to the file."""
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
    """Replaces the configuration by the content of a file."""

    name = "apply"
    help = "replace the configuration if its revision is the expected one"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file and the expected revision."""
        super().add_arguments(parser)
        parser.add_argument(
            "--expect-revision",
            type=int,
            required=True,
            metavar="N",
            help="the revision that the file was made from",
        )

    def run(self, context: Context) -> ExitCode:
        """Apply the file if the revision is the expected one."""
        document = read_checked_file(context.args.file)
        current = context.client.read_config()
        if current.revision != context.args.expect_revision:
            return _report_revision_mismatch(context, document, current)
        if current.document == document:
            content = {"revision": current.revision, "changed": False}
            context.printer.result(content, "nothing to change")
            return ExitCode.OK
        return apply_change(context, current, document, f"applied {context.args.file}")


def _report_revision_mismatch(
    context: Context, document: CellDocument, current: ConfigAtRevision
) -> ExitCode:
    """Print the differences between file and cell; nothing was sent."""
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
    """Waits until a revision is in force at every daemon."""

    name = "wait-in-force"
    help = "wait until a revision or a later one is in force at every daemon"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the revision and the timeout."""
        parser.add_argument("revision", type=int, help="as 'apply' printed it")
        parser.add_argument(
            "--wait",
            type=float,
            default=10.0,
            metavar="SECONDS",
            help="how long to wait (default: %(default)s)",
        )

    def run(self, context: Context) -> ExitCode:
        """Poll the members until each has the revision or a later one."""
        revision = context.args.revision
        deadline = context.clock.now() + timedelta(seconds=context.args.wait)
        while True:
            members = context.client.get("/v1/operators/members")["members"]
            lagging = [m for m in members if m["revision"] < revision]
            if members and not lagging:
                content = {"revision": revision, "members": members}
                sentence = f"revision {revision} is in force at {len(members)} daemons"
                context.printer.result(content, sentence)
                return ExitCode.OK
            if context.clock.now() + POLL_INTERVAL > deadline:
                return _report_lagging_members(context, revision, lagging)
            context.clock.sleep(POLL_INTERVAL)


def _report_lagging_members(
    context: Context, revision: int, lagging: list[dict[str, Any]]
) -> ExitCode:
    lines = [f"{member['name']} is at {member['revision']}" for member in lagging]
    context.printer.failure(
        "not_in_force", f"revision {revision} is not in force at:", members=lines
    )
    return ExitCode.TIMED_OUT


def read_checked_file(path: Path) -> CellDocument:
    """Read and validate a configuration file; raises UsageError with all faults."""
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
