"""Makes keys; the cell only ever sees their hashes."""

from __future__ import annotations

import hashlib
import secrets
from typing import NamedTuple

#: Random bytes of a key's id, which is not secret.
ID_BYTES = 6
#: Random bytes of a key's secret part.
SECRET_BYTES = 32


class NewKey(NamedTuple):
    """A key that was just made."""

    #: The part before the dot.
    key_id: str
    #: What the holder shows; it is kept nowhere.
    text: str

    def sha256(self) -> str:
        """Return the hash that the cell keeps."""
        return hashlib.sha256(self.text.encode()).hexdigest()


def make_key() -> NewKey:
    """Return a key from the machine's source of secrets."""
    key_id = secrets.token_hex(ID_BYTES)
    return NewKey(key_id, f"{key_id}.{secrets.token_urlsafe(SECRET_BYTES)}")
