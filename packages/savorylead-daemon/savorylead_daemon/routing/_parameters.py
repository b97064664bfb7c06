"""Typed access to URL query parameters."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from ._errors import CallError, CallErrorCode

#: Longest value of one parameter, in characters.
MAX_PARAMETER_CHARS = 1_000


class Parameters:
    """The query parameters of a request; unknown ones raise CallError."""

    def __init__(self, query: Mapping[str, str], known: Collection[str]) -> None:
        for name, value in query.items():
            if name not in known:
                raise _bad(name, "unknown parameter")
            if len(value) > MAX_PARAMETER_CHARS:
                raise _bad(name, f"longer than {MAX_PARAMETER_CHARS} characters")
        self._query = query

    def text(self, name: str, default: str = "") -> str:
        """Return a parameter, or ``default`` if it is absent."""
        return self._query.get(name, default)

    def required(self, name: str) -> str:
        """Return a parameter; raises CallError if it is absent or empty."""
        value = self._query.get(name, "")
        if not value:
            raise _bad(name, "missing")
        return value

    def choice(self, name: str, allowed: Collection[str]) -> str:
        """Return one of the allowed values, or an empty string if it is absent."""
        value = self._query.get(name, "")
        if value and value not in allowed:
            raise _bad(name, f"none of {', '.join(sorted(allowed))}")
        return value

    def count(self, name: str, default: int, maximum: int) -> int:
        """Return an integer from 1 to ``maximum``."""
        text = self._query.get(name)
        if text is None:
            return default
        # Longer values are out of range and slow to convert.
        plain = text.isascii() and text.isdigit() and len(text) <= len(str(maximum))
        if not plain or not 1 <= int(text) <= maximum:
            raise _bad(name, f"not a whole number from 1 to {maximum}")
        return int(text)


def _bad(name: str, detail: str) -> CallError:
    return CallError(CallErrorCode.BAD_PARAMETER, detail, f"?{name}")
