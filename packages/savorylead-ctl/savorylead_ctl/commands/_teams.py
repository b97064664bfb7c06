"""Commands that change teams, their shares and their upper limits."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import Any

from savorylead.config import CellDocument, ResourcesDocument, TeamDocument

from ._command import UsageError
from ._edit import EditCommand

#: Options of the dimensions of a limit, with the type of their amounts.
_DIMENSIONS: dict[str, Callable[[str], Any]] = {
    "cores": float,
    "memory_mb": int,
    "accelerators": int,
    "slots": int,
    "connections": int,
}


class AddTeam(EditCommand):
    """Adds a team without keys."""

    name = "add"
    help = "add a team; a dimension without a limit is unlimited"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the name, the share and the limit."""
        parser.add_argument("team")
        parser.add_argument("--share", type=positive, required=True, help="weight")
        _add_dimensions(parser)

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Add it."""
        if args.team in document["teams"]:
            raise UsageError(f"there is a team {args.team} already")
        limit = _given_dimensions(args)
        team = TeamDocument(share=args.share, limit=limit, keys={})
        document["teams"][args.team] = team
        return f"added team {args.team}"


class RemoveTeam(EditCommand):
    """Removes a team; its keys stop working."""

    name = "remove"
    help = "remove a team with its keys and workspaces"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the name."""
        parser.add_argument("team")

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Remove it and what belongs to it alone."""
        _team(document, args.team)
        del document["teams"][args.team]
        workspaces = document["workspaces"]
        for label in [w for w, d in workspaces.items() if d["team"] == args.team]:
            del workspaces[label]
        for name, queue in document["queues"].items():
            _leave_queue(name, queue, args.team)
        return f"removed team {args.team}"


class SetShare(EditCommand):
    """Sets a team's weight."""

    name = "set"
    help = "set a team's weight for when the fleet is full"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the team and the weight."""
        parser.add_argument("team")
        parser.add_argument("share", type=positive)

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Set it."""
        _team(document, args.team)["share"] = args.share
        return f"share of {args.team} is {args.share:g}"


class SetLimit(EditCommand):
    """Sets dimensions of a team's upper limit; others stay as they are."""

    name = "set"
    help = "set what a team may have running fleet-wide; other dimensions stay"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the team and the dimensions."""
        parser.add_argument("team")
        _add_dimensions(parser)
        parser.add_argument(
            "--unlimited",
            action="append",
            default=[],
            choices=list(_DIMENSIONS),
            help="lift the limit of a dimension; may be repeated",
        )

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Set and lift the dimensions that are named."""
        given = _given_dimensions(args)
        if not given and not args.unlimited:
            raise UsageError("name at least one dimension")
        for name in given.keys() & set(args.unlimited):
            raise UsageError(f"{name} can't be both limited and unlimited")
        limit = _team(document, args.team)["limit"]
        limit.update(given)
        for name in args.unlimited:
            limit.pop(name, None)
        return f"limit of {args.team} is {limit or 'lifted'}"


def positive(text: str) -> float:
    """Return a number above zero, as an argument's type."""
    number = float(text)
    if not 0 < number < float("inf"):
        raise argparse.ArgumentTypeError(f"{text} is not above zero")
    return number


def _add_dimensions(parser: argparse.ArgumentParser) -> None:
    for name, kind in _DIMENSIONS.items():
        option = f"--{name.replace('_', '-')}"
        parser.add_argument(option, type=_amount(kind), metavar="AMOUNT")


def _amount(kind: Callable[[str], Any]) -> Callable[[str], Any]:
    def amount(text: str) -> Any:
        number = kind(text)
        if not 0 <= number < float("inf"):
            raise argparse.ArgumentTypeError(f"{text} is below zero")
        return number

    return amount


def _given_dimensions(args: argparse.Namespace) -> ResourcesDocument:
    given = {name: getattr(args, name) for name in _DIMENSIONS}
    return {n: a for n, a in given.items() if a is not None}  # type: ignore[return-value]


def _team(document: CellDocument, name: str) -> TeamDocument:
    if name not in document["teams"]:
        raise UsageError(f"there is no team {name}")
    return document["teams"][name]


def _leave_queue(name: str, queue: Any, team: str) -> None:
    if team not in queue["teams"]:
        return
    queue["teams"].remove(team)
    if not queue["teams"] and not queue["open"]:
        raise UsageError(f"queue {name} would be left without a team; change it first")
