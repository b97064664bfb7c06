"""Bounds on how many calls are served at once."""

from __future__ import annotations

from types import TracebackType

from ._errors import CallError, CallErrorCode


class AdmissionGate:
    """Admits up to ``capacity`` calls at once; one more is refused at once.

    It is a context manager that is entered once per call. A refused call did
    nothing, so the caller may repeat it with the same request ids.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._admitted = 0

    @property
    def admitted(self) -> int:
        """How many calls are being served now."""
        return self._admitted

    def __enter__(self) -> None:
        if self._admitted >= self._capacity:
            raise CallError(
                CallErrorCode.OVERLOADED,
                f"{self._capacity} calls of this class are being served",
            )
        self._admitted += 1

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._admitted -= 1
