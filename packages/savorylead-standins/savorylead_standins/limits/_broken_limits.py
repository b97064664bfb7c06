"""Deliberately broken escrowed limits, to show that the checks can fail."""

from __future__ import annotations

from savorylead.contracts import EscrowedLimit
from savorylead.contracts._limit_policy import GrantChoice
from savorylead.resources import Resources


class UnclaimedLimit(EscrowedLimit):
    """Uses a grant that its lead has not claimed."""

    @property
    def claimed(self) -> bool:
        """Claim that the record carries this lead's epoch."""
        return True

    @property
    def deposed(self) -> bool:
        """Never detect a later lead."""
        return False


class UnansweredWriteIgnored(EscrowedLimit):
    """Treats a write without a reply as one that never takes effect."""

    async def write(self, choice: GrantChoice, held: Resources, settle: bool) -> bool:
        """Write, then discard the state of a write that may still take effect."""
        try:
            return await super().write(choice, held, settle)
        finally:
            self._min_unresolved_grant = None
            self._cap = None
            self._update_usable()
