"""Interfaces through which gateways use the configuration."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from savorylead.config import CellDocument
from savorylead_daemon.services import (
    ConfigApplied,
    ConfigConflict,
    ConfigRejected,
    ConfigView,
)


class TeamKey(NamedTuple):
    """A team's key that has been verified."""

    team: str
    key_id: str


class KeyVerifier(ABC):
    """Provides the configuration in force, if it is fresh, and verifies keys."""

    @abstractmethod
    def document(self) -> CellDocument:
        """Return the configuration; raises RefusedError if it may be out of date."""

    @abstractmethod
    def check_key(self, key: str) -> TeamKey:
        """Return the team and id of a key; raises RefusedError."""


class ConfigAdmin(ABC):
    """Reads and changes the configuration in the store."""

    @abstractmethod
    def check_operator(self, key: str) -> None:
        """Raise RefusedError unless the key is an operator's."""

    @abstractmethod
    def in_force(self) -> ConfigView:
        """Return the configuration in force at this daemon."""

    @abstractmethod
    async def read(self) -> ConfigView:
        """Return the newest configuration; raises StoreError."""

    @abstractmethod
    async def apply(
        self, document: CellDocument, expected_revision: int
    ) -> ConfigApplied | ConfigConflict | ConfigRejected:
        """Replace the configuration; raises StoreError if the outcome is unknown."""
