"""All commands, by group."""

from __future__ import annotations

from typing import NamedTuple

from ._command import Command
from ._config import ApplyConfig, CheckConfig, DiffConfig, ShowConfig, WaitInForce
from ._keys import GrantKey, ListKeys, WithdrawKey
from ._places import (
    PRESETS,
    QUEUES,
    WORKSPACES,
    RemoveQueue,
    RemoveWorkspace,
    SetQueue,
    SetWorkspace,
    UsePreset,
)
from ._tasks import CancelTasks, ListTasks, ShowTasks, SubmitTasks, WaitTasks
from ._teams import AddTeam, RemoveTeam, SetLimit, SetShare
from ._views import LIMITS, MEMBERS, SHARDS, SHARES, TEAMS, WORKERS


class CommandGroup(NamedTuple):
    """Commands on one kind of thing."""

    name: str
    help: str
    #: A group of one has no names of commands.
    commands: tuple[Command, ...]
    #: The one that is meant if none is named; None if one must be named.
    default: Command | None = None


LIST_KEYS = ListKeys()

COMMAND_GROUPS = (
    CommandGroup("teams", "teams", (TEAMS, AddTeam(), RemoveTeam()), TEAMS),
    CommandGroup("keys", "keys", (LIST_KEYS, GrantKey(), WithdrawKey()), LIST_KEYS),
    CommandGroup("shares", "teams' weights", (SHARES, SetShare()), SHARES),
    CommandGroup("limits", "teams' upper limits", (LIMITS, SetLimit()), LIMITS),
    CommandGroup("queues", "queues", (QUEUES, SetQueue(), RemoveQueue()), QUEUES),
    CommandGroup(
        "workspaces",
        "workspaces",
        (WORKSPACES, SetWorkspace(), RemoveWorkspace()),
        WORKSPACES,
    ),
    CommandGroup("presets", "presets", (PRESETS, UsePreset()), PRESETS),
    CommandGroup("workers", "workers and their health", (WORKERS,)),
    CommandGroup("shards", "shards and their leads", (SHARDS,)),
    CommandGroup("members", "daemons", (MEMBERS,)),
    CommandGroup(
        "tasks",
        "tasks",
        (ListTasks(), ShowTasks(), CancelTasks(), SubmitTasks(), WaitTasks()),
    ),
    CommandGroup(
        "config",
        "the configuration as a whole",
        (ShowConfig(), CheckConfig(), DiffConfig(), ApplyConfig()),
    ),
    CommandGroup("wait-in-force", "wait for a revision", (WaitInForce(),)),
)
