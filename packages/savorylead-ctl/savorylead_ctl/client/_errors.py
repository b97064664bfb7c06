"""How a call can fail, as far as what happens next depends on it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


class ClientError(Exception):
    """Base of the failures of a call."""


class UnreachableError(ClientError):
    """No endpoint took the call, so it surely had no effect."""

    def __init__(self, reasons: Mapping[str, str]) -> None:
        texts = "; ".join(f"{where}: {why}" for where, why in reasons.items())
        super().__init__(f"no endpoint could be reached ({texts})")
        #: What happened, by endpoint.
        self.reasons = dict(reasons)


class ChangeUnknownError(ClientError):
    """The call was sent, but what became of it is not known."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class RefusedCallError(ClientError):
    """The cell answered with a typed error."""

    def __init__(self, status: int, document: Mapping[str, Any]) -> None:
        error = document.get("error", {})
        self.status = status
        self.document = document
        self.code = str(error.get("code", "no_code"))
        self.detail = str(error.get("detail", ""))
        self.path = str(error.get("path", "$"))
        super().__init__(f"{self.code} at {self.path}: {self.detail}")
