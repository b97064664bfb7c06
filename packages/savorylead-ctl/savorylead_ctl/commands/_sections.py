"""Commands on queues, workspaces and presets."""

from __future__ import annotations

import argparse
from typing import Any

from savorylead.config import CellDocument, QueueDocument, WorkspaceDocument
from savorylead_ctl._printer import Column
from savorylead_ctl.exit_codes import ExitCode

from ._command import Command, Context, UsageError
from ._edit import EditCommand


class SectionCommand(Command):
    """Prints a section of the configuration, one row per entry."""

    def __init__(
        self, name: str, help_text: str, section: str, columns: tuple[Column, ...]
    ) -> None:
        self.name = name
        self.help = help_text
        self._section = section
        self._columns = columns

    def run(self, context: Context) -> ExitCode:
        """Print the section."""
        config = context.client.read_config()
        section: dict[str, Any] = config.document[self._section]  # type: ignore
        rows = [
            {"name": name, **entry, "in_force": name == config.document["preset"]}
            for name, entry in sorted(section.items())
        ]
        content = {self._section: section, "revision": config.revision}
        context.printer.table(content, rows, self._columns)
        return ExitCode.OK


QUEUES = SectionCommand(
    "list",
    "show queues and who may submit to them",
    "queues",
    (
        Column("QUEUE", ("name",)),
        Column("OPEN", ("open",)),
        Column("TEAMS", ("teams",)),
        Column("MAX WAITING", ("max_waiting",)),
    ),
)
WORKSPACES = SectionCommand(
    "list",
    "show workspaces",
    "workspaces",
    (
        Column("WORKSPACE", ("name",)),
        Column("TEAM", ("team",)),
        Column("HOME REGION", ("home_region",)),
    ),
)
PRESETS = SectionCommand(
    "show",
    "show the presets and which one is in force",
    "presets",
    (
        Column("PRESET", ("name",)),
        Column("IN FORCE", ("in_force",)),
        Column("SPREAD", ("spread_weight",)),
        Column("PACKING", ("packing_weight",)),
        Column("ACC GUARD", ("accelerator_guard_weight",)),
        Column("AGEING S", ("ageing_s",)),
        Column("PREEMPTION", ("preemption",)),
        Column("BACKFILL", ("backfill",)),
        Column("RESERVATION S", ("reservation_s",)),
        Column("BATCH", ("admit_batch",)),
        Column("REBALANCE", ("rebalance",)),
    ),
)


class SetQueue(EditCommand):
    """Adds or replaces a queue."""

    name = "set"
    help = "add a queue or change who may submit to it"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the name, the teams that may submit and the bound."""
        parser.add_argument("queue")
        access = parser.add_mutually_exclusive_group(required=True)
        access.add_argument("--open", action="store_true", help="open to all teams")
        access.add_argument("--teams", metavar="A,B", help="open to these teams")
        parser.add_argument(
            "--max-waiting", type=int, metavar="N", help="maximum waiting tasks a shard"
        )

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Set the queue; without --max-waiting, an existing queue keeps its bound."""
        teams = sorted(set(args.teams.split(","))) if args.teams else []
        for team in teams:
            if team not in document["teams"]:
                raise UsageError(f"there is no team {team}")
        max_waiting = args.max_waiting
        if max_waiting is None:
            if args.queue not in document["queues"]:
                raise UsageError("a new queue needs --max-waiting")
            max_waiting = document["queues"][args.queue]["max_waiting"]
        document["queues"][args.queue] = QueueDocument(
            open=args.open, teams=teams, max_waiting=max_waiting
        )
        return f"queue {args.queue} is open to {', '.join(teams) or 'all teams'}"


class RemoveQueue(EditCommand):
    """Removes a queue; its waiting tasks are not removed."""

    name = "remove"
    help = "remove a queue; nothing new can be submitted to it"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the name."""
        parser.add_argument("queue")

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Remove the queue."""
        if args.queue not in document["queues"]:
            raise UsageError(f"there is no queue {args.queue}")
        del document["queues"][args.queue]
        return f"removed queue {args.queue}"


class SetWorkspace(EditCommand):
    """Adds a workspace or changes its home region."""

    name = "set"
    help = "add a workspace or change its home region"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the workspace and its home region."""
        parser.add_argument("workspace", metavar="TEAM/WORKSPACE")
        parser.add_argument("--home-region", required=True)

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Set the workspace."""
        team, slash, name = args.workspace.partition("/")
        if not slash or not name or "/" in name:
            raise UsageError(f"{args.workspace} is not TEAM/WORKSPACE")
        if team not in document["teams"]:
            raise UsageError(f"there is no team {team}")
        regions = {shard["region"] for shard in document["shards"].values()}
        if args.home_region not in regions:
            raise UsageError(f"no shard is in region {args.home_region}")
        document["workspaces"][args.workspace] = WorkspaceDocument(
            team=team, home_region=args.home_region
        )
        return f"home region of workspace {args.workspace} is {args.home_region}"


class RemoveWorkspace(EditCommand):
    """Removes a workspace; nothing new can be submitted to it."""

    name = "remove"
    help = "remove a workspace; nothing new can be submitted to it"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the workspace."""
        parser.add_argument("workspace", metavar="TEAM/WORKSPACE")

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Remove the workspace."""
        if args.workspace not in document["workspaces"]:
            raise UsageError(f"there is no workspace {args.workspace}")
        del document["workspaces"][args.workspace]
        return f"removed workspace {args.workspace}"


class UsePreset(EditCommand):
    """Replaces the preset in force."""

    name = "use"
    help = "put a preset in force everywhere"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the preset."""
        parser.add_argument("preset", choices=["ordinary", "peak", "maintenance"])

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Select the preset."""
        if args.preset not in document["presets"]:
            raise UsageError(f"the cell has no preset {args.preset}")
        document["preset"] = args.preset
        return f"preset {args.preset} is selected"
