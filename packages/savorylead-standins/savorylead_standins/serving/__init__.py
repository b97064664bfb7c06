"""The stand-ins as HTTP servers, and the fleet that an example describes."""

from ._platform_document import (
    PlatformDocument,
    RackDocument,
    StoreDocument,
    VmListDocument,
    WorkerClassDocument,
    WorkersDocument,
    read_platform,
)
from ._platform_server import PlatformPorts, PlatformServer
from ._store_server import StoreServer
from ._vm_list_server import VmListServer
from ._worker_server import WorkerServer

__all__ = [
    "PlatformDocument",
    "PlatformPorts",
    "PlatformServer",
    "RackDocument",
    "StoreDocument",
    "StoreServer",
    "VmListDocument",
    "VmListServer",
    "WorkerClassDocument",
    "WorkerServer",
    "WorkersDocument",
    "read_platform",
]
