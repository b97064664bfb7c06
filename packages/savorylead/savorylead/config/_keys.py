"""Keys of teams and operators: generation and verification."""

from __future__ import annotations

import enum
import hashlib
import hmac
import random
from dataclasses import dataclass
from datetime import datetime
from typing import NamedTuple

from ._document import CellDocument, KeyDocument

_ID_BITS = 48
_SECRET_BITS = 256
#: Hash to compare with when the key id is unknown, so that timing does not reveal it.
_DUMMY_HASH = "0" * 64


class KeyRole(enum.StrEnum):
    """Role that a key authenticates."""

    TEAM = "team"
    OPERATOR = "operator"


@dataclass(frozen=True)
class KeyHolder:
    """Role, team and id of a valid key."""

    role: KeyRole
    #: Name of the team; empty for an operator.
    team: str
    key_id: str


@dataclass(frozen=True)
class UnknownKey:
    """No such key was granted, or the secret is wrong."""


@dataclass(frozen=True)
class WithdrawnKey:
    """The key was granted and then withdrawn."""

    key_id: str


class GrantedKey(NamedTuple):
    """A new key; its text is shown once and never stored."""

    key_id: str
    #: "<id>.<secret>".
    text: str
    #: Entry for the configuration; it holds only the hash.
    document: KeyDocument


class _KeyEntry(NamedTuple):
    holder: KeyHolder
    sha256: str
    withdrawn: bool


def grant_key(rng: random.Random, now: datetime) -> GrantedKey:
    """Return a new key. Outside tests ``rng`` must be a ``random.SystemRandom``."""
    key_id = f"k{rng.getrandbits(_ID_BITS):012x}"
    text = f"{key_id}.{rng.getrandbits(_SECRET_BITS):064x}"
    document = KeyDocument(
        sha256=hash_key(text), granted_at=now.isoformat(), withdrawn=False
    )
    return GrantedKey(key_id, text, document)


def hash_key(text: str) -> str:
    """Return the hex SHA-256 of a key's whole text."""
    return hashlib.sha256(text.encode()).hexdigest()


class KeyRing:
    """All keys of one revision of the configuration."""

    def __init__(self, document: CellDocument) -> None:
        self._entries: dict[str, _KeyEntry] = {}
        for name, team in document["teams"].items():
            for key_id, key in team["keys"].items():
                self._add(KeyHolder(KeyRole.TEAM, name, key_id), key)
        for key_id, key in document["operators"].items():
            self._add(KeyHolder(KeyRole.OPERATOR, "", key_id), key)

    def check(self, text: str) -> KeyHolder | UnknownKey | WithdrawnKey:
        """Return the holder of a key, or why it is not valid.

        The comparison takes constant time. WithdrawnKey is returned only for the
        correct secret.
        """
        key_id = text.partition(".")[0]
        entry = self._entries.get(key_id)
        expected = entry.sha256 if entry else _DUMMY_HASH
        matches = hmac.compare_digest(_hash_untrusted(text), expected)
        if entry is None or not matches:
            return UnknownKey()
        if entry.withdrawn:
            return WithdrawnKey(key_id)
        return entry.holder

    def _add(self, holder: KeyHolder, key: KeyDocument) -> None:
        entry = _KeyEntry(holder, key["sha256"], key["withdrawn"])
        self._entries[holder.key_id] = entry


def _hash_untrusted(text: str) -> str:
    """Return the hash of untrusted text, which may contain lone surrogates."""
    return hashlib.sha256(text.encode(errors="surrogatepass")).hexdigest()
