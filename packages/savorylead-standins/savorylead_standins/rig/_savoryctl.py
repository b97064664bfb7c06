"""Runs savoryctl as an operator does."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Any

from twisted.internet import utils

from ._real_cell import RealCell


class SavoryctlError(Exception):
    """A command did not end with 0."""

    def __init__(self, arguments: tuple[str, ...], code: int, errors: str) -> None:
        super().__init__(f"{' '.join(arguments)}: exit code {code}: {errors}")
        #: See ``savoryctl --help``.
        self.code = code


class Savoryctl:
    """Runs commands with the operator's key against all daemons."""

    def __init__(self, reactor: Any, cell: RealCell) -> None:
        self._reactor = reactor
        self._cell = cell

    async def run(self, *arguments: str) -> Any:
        """Return what a command prints as JSON; raises SavoryctlError."""
        environment = {
            **os.environ,
            "SAVORYLEAD_ENDPOINTS": ",".join(self._cell.endpoints().values()),
            "SAVORYLEAD_KEY": self._cell.example["demo"]["operator_key"],
        }
        program = str(Path(sys.executable).with_name("savoryctl"))
        output, errors, code = await utils.getProcessOutputAndValue(
            program, ("--json", *arguments), environment, reactor=self._reactor
        )
        if code:
            raise SavoryctlError(arguments, code, errors.decode(errors="replace"))
        return json.loads(output)
