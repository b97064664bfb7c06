"""What every command is and what it is given."""

from __future__ import annotations

import argparse
from abc import ABC, abstractmethod
from datetime import datetime, timedelta
from typing import NamedTuple, TextIO

from savorylead_ctl._printer import Printer
from savorylead_ctl.client import CellClient
from savorylead_ctl.exit_codes import ExitCode


class BlockingClock(ABC):
    """Time for a program that has nothing else to do while it waits."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""

    @abstractmethod
    def sleep(self, delay: timedelta) -> None:
        """Return after ``delay``."""


class Context(NamedTuple):
    """What a command works with."""

    client: CellClient
    printer: Printer
    clock: BlockingClock
    args: argparse.Namespace
    stdin: TextIO


class UsageError(Exception):
    """What was given can't be used; nothing was sent.

    ``faults`` has one line for each thing that is wrong.
    """

    def __init__(self, detail: str, faults: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.detail = detail
        self.faults = faults


class Command(ABC):
    """One command; it has no state of its own."""

    #: As it is written on the command line, within its group.
    name: str
    #: One line for the help.
    help: str
    #: False if it works without endpoints and a key.
    needs_cell = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:  # noqa: B027
        """Add the command's own arguments."""

    @abstractmethod
    def run(self, context: Context) -> ExitCode:
        """Do it; may raise UsageError or ClientError."""
