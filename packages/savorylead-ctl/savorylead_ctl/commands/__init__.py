"""The commands of savoryctl."""

from ._command import BlockingClock, Command, Context
from ._registry import COMMAND_GROUPS, CommandGroup

__all__ = ["COMMAND_GROUPS", "BlockingClock", "Command", "CommandGroup", "Context"]
