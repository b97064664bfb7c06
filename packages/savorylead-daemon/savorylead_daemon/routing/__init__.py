"""HTTP request handling of a daemon: routing, admission, errors and their metrics."""

from ._admission import AdmissionGate
from ._errors import (
    CallError,
    CallErrorCode,
    CallFault,
    call_error_response,
    refusal_status,
)
from ._parameters import Parameters
from ._retry_after import RetryAfter
from ._router import Route, Router
from ._shape_checker import (
    MAX_FAULTS,
    MAX_FAULTY_ITEMS,
    ShapeChecker,
    decode_json,
    raise_faults,
    raise_invalid_body,
)
from ._shield import shielded

__all__ = [
    "MAX_FAULTS",
    "MAX_FAULTY_ITEMS",
    "AdmissionGate",
    "CallError",
    "CallErrorCode",
    "CallFault",
    "Parameters",
    "RetryAfter",
    "Route",
    "Router",
    "ShapeChecker",
    "call_error_response",
    "decode_json",
    "raise_invalid_body",
    "raise_faults",
    "refusal_status",
    "shielded",
]
