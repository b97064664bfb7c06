"""Escrowed limits that are wrong on purpose, to show that checks can fail."""

from __future__ import annotations

from savorylead.contracts import EscrowedLimit
from savorylead.contracts._limit_policy import GrantChoice
from savorylead.resources import Resources


class UnclaimedLimit(EscrowedLimit):
    """Counts on a grant that its lead has not claimed."""

    @property
    def claimed(self) -> bool:
        """Pretend that the record carries this lead's epoch."""
        return True

    @property
    def deposed(self) -> bool:
        """Never notice a later lead."""
        return False


class UnansweredWriteIgnored(EscrowedLimit):
    """Takes a write without a reply for one that never happens."""

    async def write(self, choice: GrantChoice, held: Resources, settle: bool) -> bool:
        """Write, and forget at once what may still land."""
        try:
            return await super().write(choice, held, settle)
        finally:
            self._min_unresolved_grant = None
            self._cap = None
            self._update_usable()
