"""Configuration edits by read, modify and compare-and-swap."""

from __future__ import annotations

import argparse
import copy
from abc import abstractmethod
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from savorylead.config import CellDocument, diff_documents
from savorylead_ctl._changes import change_lines
from savorylead_ctl.client import (
    Applied,
    ApplyConflict,
    ChangeUnknownError,
    ClientError,
    ConfigAtRevision,
)
from savorylead_ctl.exit_codes import ExitCode

from ._command import Command, Context

_NO_FIELDS: Mapping[str, Any] = MappingProxyType({})


class EditCommand(Command):
    """Base of commands that edit the newest configuration.

    If another change is accepted between the read and the write, nothing is written
    and that change is printed, instead of being overwritten.
    """

    @abstractmethod
    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Edit the document in place and return a sentence that describes the edit.

        May raise UsageError.
        """

    def run(self, context: Context) -> ExitCode:
        """Read, edit and apply the configuration."""
        base = context.client.read_config()
        edited = copy.deepcopy(base.document)
        sentence = self.edit(edited, context.args)
        if edited == base.document:
            document = {"revision": base.revision, "changed": False}
            context.printer.result(document, f"nothing to change: {sentence}")
            return ExitCode.OK
        return apply_change(context, base, edited, sentence)


def apply_change(
    context: Context,
    base: ConfigAtRevision,
    edited: CellDocument,
    sentence: str,
    fields: Mapping[str, Any] = _NO_FIELDS,
) -> ExitCode:
    """Apply an edited document once and print the outcome.

    ``fields`` are added to the JSON output if the change is accepted.
    """
    try:
        outcome = context.client.apply_config(edited, base.revision)
    except ChangeUnknownError as exc:
        return _resolve_by_read_back(context, base, edited, sentence, fields, exc)
    if isinstance(outcome, ApplyConflict):
        return _report_conflict(context, base, outcome.current)
    return _report_applied(context, outcome, sentence, fields)


def _report_applied(
    context: Context, applied: Applied, sentence: str, fields: Mapping[str, Any]
) -> ExitCode:
    document = {"revision": applied.revision, "changed": True, **fields}
    text = f"{sentence}; accepted as revision {applied.revision}"
    context.printer.result(document, text)
    return ExitCode.OK


def _report_conflict(
    context: Context, base: ConfigAtRevision, current: ConfigAtRevision
) -> ExitCode:
    changes = change_lines(diff_documents(base.document, current.document))
    context.printer.failure(
        "config_conflict",
        f"nothing was changed: revision {base.revision} was replaced by "
        f"{current.revision}, which changed:",
        changes=changes,
        expected_revision=base.revision,
        revision=current.revision,
    )
    return ExitCode.CONFLICT


def _resolve_by_read_back(
    context: Context,
    base: ConfigAtRevision,
    edited: CellDocument,
    sentence: str,
    fields: Mapping[str, Any],
    cause: ChangeUnknownError,
) -> ExitCode:
    """Determine the outcome of a change without a definite reply by reading back.

    The change is not sent again: the first request may still take effect, and the
    second would then conflict with it although the change was made.
    """
    detail = f"no definite reply ({cause.detail})"
    try:
        current = context.client.read_config()
    except ClientError as exc:
        detail += f", and reading back failed ({exc})"
        return _report_unknown(context, base, detail)
    if current.revision > base.revision and current.document == edited:
        return _report_applied(context, Applied(current.revision), sentence, fields)
    if current.revision > base.revision:
        detail += f"; revision {current.revision} contains another change"
    else:
        detail += f"; revision {current.revision} is unchanged so far"
    return _report_unknown(context, base, detail)


def _report_unknown(context: Context, base: ConfigAtRevision, detail: str) -> ExitCode:
    context.printer.failure(
        "change_unknown",
        f"it is unknown whether the change was made: {detail}; "
        "run 'savoryctl config show' before trying again",
        expected_revision=base.revision,
    )
    return ExitCode.UNKNOWN
