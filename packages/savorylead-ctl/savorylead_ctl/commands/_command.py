"""Base class of commands and their execution context."""

from __future__ import annotations

import argparse
from abc import ABC, abstractmethod
from datetime import datetime, timedelta
from typing import NamedTuple, TextIO

from savorylead_ctl._printer import Printer
from savorylead_ctl.client import CellClient
from savorylead_ctl.exit_codes import ExitCode


class BlockingClock(ABC):
    """Clock whose sleep blocks the process."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""

    @abstractmethod
    def sleep(self, delay: timedelta) -> None:
        """Block for ``delay``."""


class Context(NamedTuple):
    """Dependencies and arguments of a command."""

    client: CellClient
    printer: Printer
    clock: BlockingClock
    args: argparse.Namespace
    stdin: TextIO


class UsageError(Exception):
    """An argument or file is invalid; nothing was sent.

    ``faults`` has one line for each fault.
    """

    def __init__(self, detail: str, faults: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.detail = detail
        self.faults = faults


class Command(ABC):
    """A stateless command of savoryctl."""

    #: Name on the command line, within its group.
    name: str
    #: One-line description for the help.
    help: str
    #: False if the command needs neither endpoints nor a key.
    needs_cell = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:  # noqa: B027
        """Add the command's own arguments."""

    @abstractmethod
    def run(self, context: Context) -> ExitCode:
        """Execute the command; may raise UsageError or ClientError."""
