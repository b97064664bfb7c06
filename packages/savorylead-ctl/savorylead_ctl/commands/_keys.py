"""Commands that list, grant and withdraw keys."""

from __future__ import annotations

import argparse
import copy
import random

from savorylead.config import CellDocument, KeyDocument, grant_key
from savorylead_ctl._printer import Column
from savorylead_ctl.exit_codes import ExitCode

from ._command import Command, Context, UsageError
from ._edit import EditCommand, apply_change

#: Value of the team column for an operator's key.
OPERATORS = "(operators)"


class ListKeys(Command):
    """Lists keys without their secrets, which are not stored."""

    name = "list"
    help = "show the ids of all keys and whether they are withdrawn"

    def run(self, context: Context) -> ExitCode:
        """Print all keys."""
        config = context.client.read_config()
        rows = [
            {"key": key_id, "team": team, **key}
            for team, keys in _all_keys(config.document)
            for key_id, key in sorted(keys.items())
        ]
        columns = (
            Column("KEY", ("key",)),
            Column("TEAM", ("team",)),
            Column("GRANTED", ("granted_at",)),
            Column("WITHDRAWN", ("withdrawn",)),
        )
        content = {"keys": rows, "revision": config.revision}
        context.printer.table(content, rows, columns)
        return ExitCode.OK


class GrantKey(Command):
    """Creates a key and prints it once."""

    name = "grant"
    help = "create a key for a team or an operator and show it once"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the holder of the key."""
        holder = parser.add_mutually_exclusive_group(required=True)
        holder.add_argument("team", nargs="?", help="name of the team")
        holder.add_argument(
            "--operator", action="store_true", help="a key that may operate the cell"
        )

    def run(self, context: Context) -> ExitCode:
        """Create a key, store its hash, and print the key if the edit was accepted."""
        base = context.client.read_config()
        document: CellDocument = copy.deepcopy(base.document)
        team = context.args.team
        if team is not None and team not in document["teams"]:
            raise UsageError(f"there is no team {team}")
        keys = (
            document["operators"] if team is None else document["teams"][team]["keys"]
        )
        new = grant_key(random.SystemRandom(), context.clock.now())
        keys[new.key_id] = new.document
        return apply_change(
            context,
            base,
            document,
            f"key {new.key_id} of {team or OPERATORS}, shown only now:\n{new.text}\n",
            {"key_id": new.key_id, "key": new.text},
        )


class WithdrawKey(EditCommand):
    """Invalidates a key within seconds."""

    name = "withdraw"
    help = "invalidate a key within seconds"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the id of the key."""
        parser.add_argument("key_id", help="the part of the key before the dot")

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Mark the key as withdrawn; its entry stays so that the id is not reused."""
        for team, keys in _all_keys(document):
            if args.key_id in keys:
                keys[args.key_id]["withdrawn"] = True
                return f"withdrew key {args.key_id} of {team}"
        raise UsageError(f"there is no key {args.key_id}")


def _all_keys(document: CellDocument) -> list[tuple[str, dict[str, KeyDocument]]]:
    """Return the keys of each team and of the operators, with the holder's name."""
    teams = sorted(document["teams"].items())
    keys = [(name, team["keys"]) for name, team in teams]
    return [*keys, (OPERATORS, document["operators"])]
