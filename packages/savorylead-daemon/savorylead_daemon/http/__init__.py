"""HTTP with JSON between the system's processes and towards callers."""

from ._json_resource import (
    HttpError,
    JsonHandler,
    JsonRequest,
    JsonResource,
    JsonResponse,
    JsonSite,
    is_body_too_large,
    json_response,
)

__all__ = [
    "HttpError",
    "JsonHandler",
    "JsonRequest",
    "JsonResource",
    "JsonResponse",
    "JsonSite",
    "is_body_too_large",
    "json_response",
]
