"""Bounds on how many calls are served at once."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ._errors import CallError, CallErrorCode


class AdmissionGate:
    """Admits a number of calls at once in all and for each key; refuses one more.

    A refused call did nothing, so the caller may repeat it with the same request
    ids. Keys are told apart by their text, right or wrong: a call with a wrong one
    ends at once and so holds no place.
    """

    def __init__(self, capacity: int, capacity_per_key: int) -> None:
        self._capacity = capacity
        self._capacity_per_key = capacity_per_key
        self._admitted = 0
        self._admitted_by_key: dict[str, int] = {}

    @contextmanager
    def admit(self, key: str) -> Iterator[None]:
        """Hold a place while the context lasts; raises CallError."""
        held = self._admitted_by_key.get(key, 0)
        if self._admitted >= self._capacity:
            detail = f"{self._capacity} calls of this kind are being served"
            raise CallError(CallErrorCode.OVERLOADED, detail)
        if held >= self._capacity_per_key:
            detail = f"{held} calls of this kind are being served for this key"
            raise CallError(CallErrorCode.OVERLOADED, detail)
        self._admitted += 1
        self._admitted_by_key[key] = held + 1
        try:
            yield
        finally:
            self._release(key)

    def _release(self, key: str) -> None:
        self._admitted -= 1
        held = self._admitted_by_key[key] - 1
        if held:
            self._admitted_by_key[key] = held
        else:
            # Keys are text of callers; an entry that is kept would never go away.
            del self._admitted_by_key[key]
