"""Explains the course of a job, task, worker or team from log files."""

from __future__ import annotations

import argparse
import json
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from savorylead_ctl.exit_codes import ExitCode
from savorylead_ctl.explain import LogLine, explain_subject, read_logs

from ._command import Command, Context, UsageError


class ExplainCommand(Command):
    """Merges the logs of all daemons and prints the lines related to a subject."""

    name = "explain"
    help = "explain from log files what happened to a job, task, worker or team"
    needs_cell = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subject and the log files."""
        parser.add_argument(
            "subject", metavar="ID", help="id of a job, a task, a worker or a team"
        )
        parser.add_argument(
            "--logs",
            type=Path,
            nargs="+",
            required=True,
            metavar="FILE",
            help="logs of daemons in JSON lines; may be truncated",
        )

    def run(self, context: Context) -> ExitCode:
        """Print the related lines and the first problem among them."""
        args = context.args
        with ExitStack() as stack:
            try:
                files = [
                    stack.enter_context(path.open(errors="replace"))
                    for path in args.logs
                ]
            except OSError as exc:
                raise UsageError(f"cannot read {exc.filename}: {exc.strerror}") from exc
            read = read_logs(files)
        printer = context.printer
        if read.unreadable:
            printer.note(f"{read.unreadable} lines could not be read")
        explanation = explain_subject(read.lines, args.subject)
        if not explanation.lines:
            detail = f"no line of {len(read.lines)} names {args.subject}"
            printer.failure("not_found", detail)
            return ExitCode.NOT_FOUND
        if explanation.first_trouble is None:
            verdict = "nothing went wrong in these lines"
        else:
            line = explanation.first_trouble
            verdict = (
                f"first thing that went wrong: {line.time.isoformat()} {line.daemon}: "
                f"{explanation.meaning}"
            )
        document = {
            "subject": args.subject,
            "lines": [_line_document(line) for line in explanation.lines],
            "first_trouble": explanation.first_trouble
            and _line_document(explanation.first_trouble),
            "meaning": explanation.meaning,
            "unreadable": read.unreadable,
        }
        text = "\n".join([*map(_format_line, explanation.lines), "", verdict])
        printer.result(document, text)
        return ExitCode.OK


def _line_document(line: LogLine) -> dict[str, Any]:
    return {
        "time": line.time.isoformat(),
        "daemon": line.daemon,
        "event": line.event,
        **line.details,
    }


def _format_line(line: LogLine) -> str:
    details = " ".join(f"{k}={_format_value(v)}" for k, v in line.details.items())
    time = line.time.strftime("%H:%M:%S.%f")[:-3]
    return f"{time} {line.daemon} {line.event} {details}"


def _format_value(value: Any) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)
