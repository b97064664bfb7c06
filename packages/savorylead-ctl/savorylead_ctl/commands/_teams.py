"""Commands that edit teams, their shares and their upper limits."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import Any

from savorylead.config import CellDocument, ResourcesDocument, TeamDocument

from ._command import UsageError
from ._edit import EditCommand

#: Type of the amount of each dimension of a limit; each dimension has an option.
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
        parser.add_argument(
            "--share", type=positive_number, required=True, help="weight"
        )
        _add_dimensions(parser)

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Add the team."""
        if args.team in document["teams"]:
            raise UsageError(f"there is a team {args.team} already")
        limit = _limit_from_args(args)
        team = TeamDocument(share=args.share, limit=limit, keys={})
        document["teams"][args.team] = team
        return f"added team {args.team}"


class RemoveTeam(EditCommand):
    """Removes a team, its keys and its workspaces."""

    name = "remove"
    help = "remove a team with its keys and workspaces"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the name."""
        parser.add_argument("team")

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Remove the team and its workspaces, and its entry in every queue."""
        _find_team(document, args.team)
        del document["teams"][args.team]
        workspaces = document["workspaces"]
        for label in [w for w, d in workspaces.items() if d["team"] == args.team]:
            del workspaces[label]
        for name, queue in document["queues"].items():
            _remove_from_queue(name, queue, args.team)
        return f"removed team {args.team}"


class SetShare(EditCommand):
    """Sets a team's share."""

    name = "set"
    help = "set a team's weight for when the fleet is full"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the team and the share."""
        parser.add_argument("team")
        parser.add_argument("share", type=positive_number)

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Set the share."""
        _find_team(document, args.team)["share"] = args.share
        return f"share of {args.team} is {args.share:g}"


class SetLimit(EditCommand):
    """Sets dimensions of a team's upper limit; other dimensions are unchanged."""

    name = "set"
    help = "set a team's fleet-wide upper limit; other dimensions are unchanged"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the team and the dimensions."""
        parser.add_argument("team")
        _add_dimensions(parser)
        parser.add_argument(
            "--unlimited",
            action="append",
            default=[],
            choices=list(_DIMENSIONS),
            help="remove the limit of a dimension; may be repeated",
        )

    def edit(self, document: CellDocument, args: argparse.Namespace) -> str:
        """Set or remove the limits of the given dimensions."""
        given = _limit_from_args(args)
        if not given and not args.unlimited:
            raise UsageError("specify at least one dimension")
        for name in given.keys() & set(args.unlimited):
            raise UsageError(f"{name} can't be both limited and unlimited")
        limit = _find_team(document, args.team)["limit"]
        limit.update(given)
        for name in args.unlimited:
            limit.pop(name, None)
        return f"limit of {args.team} is {limit or 'lifted'}"


def positive_number(text: str) -> float:
    """Parse a finite number greater than zero; an argument type of argparse."""
    number = float(text)
    if not 0 < number < float("inf"):
        raise argparse.ArgumentTypeError(f"{text} is not a finite number above zero")
    return number


def _add_dimensions(parser: argparse.ArgumentParser) -> None:
    for name, kind in _DIMENSIONS.items():
        option = f"--{name.replace('_', '-')}"
        parser.add_argument(option, type=_amount_type(kind), metavar="AMOUNT")


def _amount_type(kind: Callable[[str], Any]) -> Callable[[str], Any]:
    def amount(text: str) -> Any:
        number = kind(text)
        if not 0 <= number < float("inf"):
            raise argparse.ArgumentTypeError(f"{text} is negative or not finite")
        return number

    return amount


def _limit_from_args(args: argparse.Namespace) -> ResourcesDocument:
    given = {name: getattr(args, name) for name in _DIMENSIONS}
    return {n: a for n, a in given.items() if a is not None}  # type: ignore[return-value]


def _find_team(document: CellDocument, name: str) -> TeamDocument:
    if name not in document["teams"]:
        raise UsageError(f"there is no team {name}")
    return document["teams"][name]


def _remove_from_queue(name: str, queue: Any, team: str) -> None:
    if team not in queue["teams"]:
        return
    queue["teams"].remove(team)
    if not queue["teams"] and not queue["open"]:
        raise UsageError(f"queue {name} is open only to this team; change it first")
