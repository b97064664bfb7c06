"""Commands that print operator views of the cell."""

from __future__ import annotations

import argparse
from collections.abc import Mapping
from typing import Any

from savorylead_ctl._printer import Column
from savorylead_ctl.exit_codes import ExitCode

from ._command import Command, Context

_MILLI = 1_000


class ViewCommand(Command):
    """Prints one of the lists that the daemons serve to operators."""

    def __init__(
        self, name: str, help_text: str, resource: str, columns: tuple[Column, ...]
    ) -> None:
        self.name = name
        self.help = help_text
        self._resource = resource
        self._columns = columns

    def parameters(self, args: argparse.Namespace) -> Mapping[str, Any]:
        """Return the query parameters."""
        return {}

    def run(self, context: Context) -> ExitCode:
        """Print the list."""
        path = f"/v1/operators/{self._resource}"
        document = context.client.get(path, **self.parameters(context.args))
        context.printer.table(document, document[self._resource], self._columns)
        return ExitCode.OK


class WorkersCommand(ViewCommand):
    """Prints workers, optionally only those of one shard."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the shard option."""
        parser.add_argument("--shard", default="", help="only this shard's workers")

    def parameters(self, args: argparse.Namespace) -> Mapping[str, Any]:
        """Return the shard as a query parameter."""
        return {"shard": args.shard}


def _resource_columns(prefix: str) -> tuple[Column, ...]:
    title = prefix.upper()
    return (
        Column(f"{title} CORES", (prefix, "cores_milli"), _MILLI),
        Column(f"{title} MB", (prefix, "memory_mb"), 1),
        Column(f"{title} ACC", (prefix, "accelerators"), 1),
    )


TEAMS = ViewCommand(
    "list",
    "show every team's share, upper limit, grants and use",
    "teams",
    (
        Column("TEAM", ("name",)),
        Column("SHARE", ("share",)),
        *_resource_columns("limit"),
        *_resource_columns("granted"),
        *_resource_columns("held"),
        Column("KEYS", ("keys",)),
    ),
)
SHARES = ViewCommand(
    "list",
    "show every team's share and use",
    "teams",
    (
        Column("TEAM", ("name",)),
        Column("SHARE", ("share",)),
        *_resource_columns("held"),
    ),
)
LIMITS = ViewCommand(
    "list",
    "show every team's upper limit and use",
    "teams",
    (
        Column("TEAM", ("name",)),
        *_resource_columns("limit"),
        *_resource_columns("held"),
    ),
)
WORKERS = WorkersCommand(
    "list",
    "show workers, their health and use",
    "workers",
    (
        Column("WORKER", ("name",)),
        Column("SHARD", ("shard",)),
        Column("RACK", ("rack",)),
        Column("STATE", ("state",)),
        *_resource_columns("capacity"),
        *_resource_columns("held"),
        Column("RUNNING", ("running",)),
    ),
)
SHARDS = ViewCommand(
    "list",
    "show shards and their leads",
    "shards",
    (
        Column("SHARD", ("name",)),
        Column("REGION", ("region",)),
        Column("DOMAIN", ("domain",)),
        Column("LEAD", ("lead",)),
        Column("EPOCH", ("epoch",)),
        Column("WORKERS", ("workers",)),
        Column("RUNNING", ("running",)),
        Column("WAITING", ("waiting",)),
    ),
)
MEMBERS = ViewCommand(
    "list",
    "show daemons and the revision in force at each; -1 means no reply",
    "members",
    (
        Column("MEMBER", ("name",)),
        Column("REGION", ("region",)),
        Column("DOMAIN", ("domain",)),
        Column("ENDPOINT", ("endpoint",)),
        Column("REVISION", ("revision",)),
    ),
)
