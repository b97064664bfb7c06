"""Limits on the number of concurrent calls."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ._errors import CallError, CallErrorCode


class AdmissionGate:
    """Limits concurrent calls in total and per key; refuses calls beyond a limit.

    A refused call had no effect, so the caller may retry it with the same request
    ids. Calls are counted by the text of the key, whether or not the key is valid: a
    call with an invalid key fails immediately and so occupies no slot.
    """

    def __init__(self, capacity: int, capacity_per_key: int) -> None:
        self._capacity = capacity
        self._capacity_per_key = capacity_per_key
        self._admitted = 0
        self._admitted_by_key: dict[str, int] = {}

    @contextmanager
    def admit(self, key: str) -> Iterator[None]:
        """Occupy a slot for the duration of the context; raises CallError."""
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
            # Callers choose the text of keys, so entries with a count of zero would
            # accumulate without bound.
            del self._admitted_by_key[key]
