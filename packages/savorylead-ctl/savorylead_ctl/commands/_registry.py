"""Registry of all commands, by group."""

from __future__ import annotations

from typing import NamedTuple

from ._command import Command
from ._config import ApplyConfig, CheckConfig, DiffConfig, ShowConfig, WaitInForce
from ._explain import ExplainCommand
from ._keys import GrantKey, ListKeys, WithdrawKey
from ._sections import (
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
    """Commands on one kind of resource."""

    name: str
    help: str
    #: If there is only one, the group's name alone invokes it.
    commands: tuple[Command, ...]
    #: Command to run if none is given; None if one is required.
    default: Command | None = None


LIST_KEYS = ListKeys()

COMMAND_GROUPS = (
    CommandGroup(
        "teams", "show, add and remove teams", (TEAMS, AddTeam(), RemoveTeam()), TEAMS
    ),
    CommandGroup(
        "keys",
        "show, grant and withdraw keys of teams and operators",
        (LIST_KEYS, GrantKey(), WithdrawKey()),
        LIST_KEYS,
    ),
    CommandGroup(
        "shares",
        "show and set teams' weights for when the fleet is full",
        (SHARES, SetShare()),
        SHARES,
    ),
    CommandGroup(
        "limits", "show and set teams' upper limits", (LIMITS, SetLimit()), LIMITS
    ),
    CommandGroup(
        "queues",
        "show, set and remove queues",
        (QUEUES, SetQueue(), RemoveQueue()),
        QUEUES,
    ),
    CommandGroup(
        "workspaces",
        "show, set and remove workspaces",
        (WORKSPACES, SetWorkspace(), RemoveWorkspace()),
        WORKSPACES,
    ),
    CommandGroup(
        "presets",
        "show presets and choose the one in force",
        (PRESETS, UsePreset()),
        PRESETS,
    ),
    CommandGroup("workers", "show workers and their health", (WORKERS,)),
    CommandGroup("shards", "show shards and their leads", (SHARDS,)),
    CommandGroup("members", "show daemons and their revisions", (MEMBERS,)),
    CommandGroup(
        "tasks",
        "list, show, submit, wait for and cancel tasks",
        (ListTasks(), ShowTasks(), CancelTasks(), SubmitTasks(), WaitTasks()),
    ),
    CommandGroup(
        "config",
        "show, check, compare and apply the whole configuration",
        (ShowConfig(), CheckConfig(), DiffConfig(), ApplyConfig()),
    ),
    CommandGroup(
        "explain",
        "explain from log files what happened to a job, task, worker or team",
        (ExplainCommand(),),
    ),
    CommandGroup(
        "wait-in-force",
        "wait until a revision is in force everywhere",
        (WaitInForce(),),
    ),
)
