"""Parses the key from the Authorization header."""

from __future__ import annotations

import re

from savorylead_daemon.http import JsonRequest

from ._errors import CallError, CallErrorCode

#: Longest key that is accepted, in characters.
MAX_KEY_CHARS = 256
#: The characters of a bearer token.
_KEY = re.compile(r"[A-Za-z0-9._~+/=-]+\Z")


def read_key(request: JsonRequest) -> str:
    """Return the key of the Authorization header; raises CallError."""
    header = request.headers.get("authorization")
    if header is None:
        raise CallError(
            CallErrorCode.MISSING_KEY, "the header Authorization is missing"
        )
    scheme, _, key = header.partition(" ")
    key = key.strip(" ")
    if scheme.lower() != "bearer" or not key:
        raise CallError(
            CallErrorCode.BAD_AUTHORIZATION, "Authorization must be 'Bearer KEY'"
        )
    if len(key) > MAX_KEY_CHARS or not _KEY.match(key):
        # The key is not quoted, because errors are logged.
        raise CallError(CallErrorCode.BAD_AUTHORIZATION, "the key is malformed")
    return key
