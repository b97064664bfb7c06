"""JSON over HTTP, between the system's processes and for callers."""

from ._http_links import HttpLinks
from ._http_store import HttpStore, StoreTimeouts
from ._http_transport import HttpConnection, HttpEndpoint, HttpTransport
from ._http_vm_list import HttpVmList
from ._http_worker_contract import HttpWorkerContract, WorkerTimeouts
from ._json_resource import (
    HttpError,
    JsonHandler,
    JsonRequest,
    JsonResource,
    JsonResponse,
    json_response,
)
from ._json_site import BodyFault, ClientLimits, JsonSite, body_fault
from ._listening import listen
from ._polling_watch import PollingWatch, WatchSettings
from ._traffic import Traffic

__all__ = [
    "BodyFault",
    "ClientLimits",
    "HttpConnection",
    "HttpEndpoint",
    "HttpError",
    "HttpLinks",
    "HttpStore",
    "HttpTransport",
    "HttpVmList",
    "HttpWorkerContract",
    "JsonHandler",
    "JsonRequest",
    "JsonResource",
    "JsonResponse",
    "JsonSite",
    "PollingWatch",
    "StoreTimeouts",
    "Traffic",
    "WatchSettings",
    "WorkerTimeouts",
    "body_fault",
    "json_response",
    "listen",
]
