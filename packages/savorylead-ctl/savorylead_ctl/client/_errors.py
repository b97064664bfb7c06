"""Errors of a call, by what is known of its effect."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


class ClientError(Exception):
    """Base class of call errors."""


class UnreachableError(ClientError):
    """No endpoint could be reached, or none replied to a read.

    If the call was a change, it was not sent to any endpoint.
    """

    def __init__(self, reasons: Mapping[str, str]) -> None:
        texts = "; ".join(f"{where}: {why}" for where, why in reasons.items())
        super().__init__(f"no endpoint could be reached ({texts})")
        #: Reason of the failure, by endpoint.
        self.reasons = dict(reasons)


class ChangeUnknownError(ClientError):
    """The call was sent, but its outcome is unknown."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class RefusedCallError(ClientError):
    """The cell replied with an error document."""

    def __init__(self, status: int, document: Mapping[str, Any]) -> None:
        error = document.get("error", {})
        self.status = status
        self.document = document
        self.code = str(error.get("code", "no_code"))
        self.detail = str(error.get("detail", ""))
        self.path = str(error.get("path", "$"))
        super().__init__(f"{self.code} at {self.path}: {self.detail}")
