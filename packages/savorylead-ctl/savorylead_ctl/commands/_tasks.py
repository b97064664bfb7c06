"""Commands on tasks, for submitters and operators."""

from __future__ import annotations

import argparse
import hashlib
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from savorylead_ctl._printer import Column
from savorylead_ctl.client import RefusedCallError
from savorylead_ctl.exit_codes import ExitCode

from ._command import Command, Context, UsageError

#: Maximum number of tasks read by one call.
MAX_PAGE_TASKS = 500
#: Maximum wait requested by one call.
MAX_CALL_WAIT = timedelta(seconds=20)
#: Pause before the next poll if a wait call returned sooner than this.
MIN_POLL_INTERVAL = timedelta(milliseconds=200)

_COLUMNS = (
    Column("TASK", ("task", "id")),
    Column("PHASE", ("phase",)),
    Column("SHARD", ("shard",)),
    Column("WORKER", ("worker",)),
    Column("ATTEMPT", ("attempt",)),
    Column("OUTCOME", ("outcome", "status")),
)


class ListTasks(Command):
    """Lists tasks of a workspace, or of any team with an operator's key."""

    name = "list"
    help = "show tasks: of a workspace with a team's key, or with an operator's key"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the filters and the page limits."""
        parser.add_argument("--workspace", help="of the key's own team")
        parser.add_argument("--team", default="", help="needs an operator's key")
        parser.add_argument("--phase", default="", help="such as queued or placed")
        parser.add_argument("--limit", type=int, default=200, metavar="N")
        parser.add_argument("--after", default="", metavar="ID")

    def run(self, context: Context) -> ExitCode:
        """Read pages until the limit or the last page is reached."""
        args = context.args
        path = "/v1/operators/tasks"
        parameters = {"team": args.team, "phase": args.phase}
        if args.workspace:
            path = "/v1/tasks"
            parameters = {"workspace": args.workspace, "phase": args.phase}
        tasks: list[Any] = []
        after = args.after
        while True:
            limit = min(MAX_PAGE_TASKS, args.limit - len(tasks))
            page = context.client.get(path, **parameters, limit=limit, after=after)
            tasks += page["tasks"]
            after = page["next_after"]
            if not after or len(tasks) >= args.limit:
                break
        context.printer.table({"tasks": tasks, "next_after": after}, tasks, _COLUMNS)
        if after:
            context.printer.note(f"more: --after '{after}'")
        return ExitCode.OK


class NamedTasksCommand(Command):
    """Base of commands on tasks given by name."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the names of the tasks."""
        parser.add_argument("tasks", nargs="+", metavar="WORKSPACE/REQUEST")


class ShowTasks(NamedTasksCommand):
    """Prints tasks with their outcomes."""

    name = "show"
    help = "show tasks of the key's team with their outcomes"

    def run(self, context: Context) -> ExitCode:
        """Print the tasks."""
        body = {"requests": _parse_names(context.args.tasks)}
        return _print_tasks(context, context.client.query("/v1/answers", body))


class CancelTasks(NamedTasksCommand):
    """Cancels tasks, or rejects them in advance if they were not submitted yet."""

    name = "cancel"
    help = "cancel tasks; a task that was not submitted yet is refused from then on"

    def run(self, context: Context) -> ExitCode:
        """Cancel the tasks and print them."""
        body = {"requests": _parse_names(context.args.tasks)}
        return _print_tasks(context, context.client.change("/v1/cancel", body))


class SubmitTasks(Command):
    """Submits tasks from a file."""

    name = "submit"
    help = "submit a task or an array of tasks in JSON"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        parser.add_argument("file", help="tasks in JSON; '-' for standard input")

    def run(self, context: Context) -> ExitCode:
        """Submit the tasks; the command is idempotent."""
        tasks = _read_tasks(context)
        replies = context.client.change("/v1/tasks", tasks)["replies"]
        rows = [
            {"request": task.get("request", ""), **reply}
            for task, reply in zip(tasks, replies, strict=True)
        ]
        columns = (
            Column("REQUEST", ("request",)),
            Column("STATUS", ("status",)),
            Column("REASON", ("reason",)),
            Column("DETAIL", ("detail",)),
        )
        context.printer.table({"replies": replies}, rows, columns)
        statuses = {reply["status"] for reply in replies}
        if "unknown" in statuses:
            return ExitCode.UNKNOWN
        if statuses == {"not_run"}:
            return ExitCode.REFUSED
        return ExitCode.NOT_DONE if "not_run" in statuses else ExitCode.OK


class WaitTasks(NamedTasksCommand):
    """Waits until all given tasks have an outcome."""

    name = "wait"
    help = "wait until every task has its outcome"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the names of the tasks and the timeout."""
        super().add_arguments(parser)
        parser.add_argument(
            "--wait",
            type=float,
            default=60.0,
            metavar="SECONDS",
            help="how long to wait (default: %(default)s)",
        )

    def run(self, context: Context) -> ExitCode:
        """Poll the tasks without an outcome until all have one."""
        names = _parse_names(context.args.tasks)
        deadline = context.clock.now() + timedelta(seconds=context.args.wait)
        views: dict[tuple[str, str], Any] = {}
        waiting = names
        while True:
            started_at = context.clock.now()
            wait = min(max(deadline - started_at, timedelta(0)), MAX_CALL_WAIT)
            body = {"requests": waiting, "wait_s": wait.total_seconds()}
            answer = context.client.query("/v1/answers", body, wait)
            for view in answer["tasks"]:
                views[_name_key(view)] = view
            waiting = [n for n in names if _is_waiting(views, n)]
            now = context.clock.now()
            if not waiting or now >= deadline:
                break
            if now - started_at < MIN_POLL_INTERVAL:
                context.clock.sleep(MIN_POLL_INTERVAL)
        tasks = [views[n["workspace"], n["request"]] for n in names]
        code = _print_tasks(context, {"tasks": tasks})
        if waiting:
            return ExitCode.TIMED_OUT
        return code


def _print_tasks(context: Context, answer: Any) -> ExitCode:
    """Print tasks; returns NOT_DONE if one ended with another outcome than done."""
    tasks = answer["tasks"]
    for view in tasks:
        _verify_digest(view)
    columns = (*_COLUMNS, Column("RESULT", ("outcome", "result")))
    context.printer.table({"tasks": tasks}, tasks, columns)
    statuses = {view["outcome"]["status"] for view in tasks if view["outcome"]}
    return ExitCode.OK if statuses <= {"done"} else ExitCode.NOT_DONE


def _verify_digest(view: Any) -> None:
    outcome = view["outcome"]
    if not outcome or outcome["status"] != "done":
        return
    digest = hashlib.sha256(outcome["result"].encode()).hexdigest()
    if digest != outcome["digest"]:
        detail = f"the result of {view['task']['id']} does not match its digest"
        error = {"code": "damaged_answer", "detail": detail}
        raise RefusedCallError(502, {"error": error})


def _is_waiting(views: dict[tuple[str, str], Any], name: dict[str, str]) -> bool:
    return views[name["workspace"], name["request"]]["outcome"] is None


def _name_key(view: Any) -> tuple[str, str]:
    return view["task"]["workspace"], view["task"]["request"]


def _parse_names(texts: list[str]) -> list[dict[str, str]]:
    """Parse "workspace/request" names, or ids as 'tasks list' prints them."""
    names = []
    for text in texts:
        parts = text.split("/")
        if len(parts) == 4 and all(parts):
            parts = parts[1:3]
        if len(parts) != 2 or not all(parts):
            raise UsageError(f"{text} is not WORKSPACE/REQUEST")
        name = {"workspace": parts[0], "request": parts[1]}
        if name not in names:
            names.append(name)
    return names


def _read_tasks(context: Context) -> list[Any]:
    """Read the tasks from the file; a single task becomes a list of one."""
    try:
        if context.args.file == "-":
            text = context.stdin.read()
        else:
            text = Path(context.args.file).read_text()
        tasks = msgspec.json.decode(text)
    except (OSError, UnicodeDecodeError, msgspec.DecodeError) as exc:
        raise UsageError(f"cannot read {context.args.file}: {exc}") from exc
    if isinstance(tasks, dict):
        return [tasks]
    if isinstance(tasks, list) and all(isinstance(task, dict) for task in tasks):
        return tasks
    raise UsageError("the file contains neither a task nor an array of tasks")
