"""Changes of the configuration: read, modify, compare and swap."""

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
    """Changes the configuration that is in force now.

    If another change comes between the reading and the writing, nothing is
    written, and the operator is told what changed instead of overwriting it.
    """

    @abstractmethod
    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Change the document in place and return a sentence that tells how.

        May raise UsageError.
        """

    def run(self, context: Context) -> ExitCode:
        """Read, edit and apply."""
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
    """Apply a document once, and tell what became of it.

    ``fields`` are added to the result that is printed if the change is accepted.
    """
    try:
        outcome = context.client.apply_config(edited, base.revision)
    except ChangeUnknownError as exc:
        return _read_back(context, base, edited, sentence, fields, exc)
    if isinstance(outcome, ApplyConflict):
        return _tell_conflict(context, base, outcome.current)
    return _tell_applied(context, outcome, sentence, fields)


def _tell_applied(
    context: Context, applied: Applied, sentence: str, fields: Mapping[str, Any]
) -> ExitCode:
    document = {"revision": applied.revision, "changed": True, **fields}
    text = f"{sentence}; accepted as revision {applied.revision}"
    context.printer.result(document, text)
    return ExitCode.OK


def _tell_conflict(
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


def _read_back(
    context: Context,
    base: ConfigAtRevision,
    edited: CellDocument,
    sentence: str,
    fields: Mapping[str, Any],
    cause: ChangeUnknownError,
) -> ExitCode:
    """Find out what became of a change whose answer is missing.

    The change is not sent again: the first copy may still take effect, and then
    the second would fail although the change was made.
    """
    detail = f"no answer came ({cause.detail})"
    try:
        current = context.client.read_config()
    except ClientError as exc:
        detail += f", and reading back failed ({exc})"
        return _tell_unknown(context, base, detail)
    if current.revision > base.revision and current.document == edited:
        return _tell_applied(context, Applied(current.revision), sentence, fields)
    if current.revision > base.revision:
        detail += f"; revision {current.revision} holds another change"
    else:
        detail += f"; revision {current.revision} is unchanged so far"
    return _tell_unknown(context, base, detail)


def _tell_unknown(context: Context, base: ConfigAtRevision, detail: str) -> ExitCode:
    context.printer.failure(
        "change_unknown",
        f"it is not known whether the change was made: {detail}; "
        "run 'savoryctl config show' before trying again",
        expected_revision=base.revision,
    )
    return ExitCode.UNKNOWN
