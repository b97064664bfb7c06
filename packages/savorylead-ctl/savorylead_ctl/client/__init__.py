"""Client of the cell's HTTP interface, with failover between endpoints."""

from ._cell_client import Applied, ApplyConflict, CellClient, ConfigAtRevision
from ._endpoints import Endpoint, EndpointError, parse_endpoints
from ._errors import (
    ChangeUnknownError,
    ClientError,
    RefusedCallError,
    UnreachableError,
)
from ._transport import HttpTransport, Reply, Transport

__all__ = [
    "Applied",
    "ApplyConflict",
    "CellClient",
    "ChangeUnknownError",
    "ClientError",
    "ConfigAtRevision",
    "Endpoint",
    "EndpointError",
    "HttpTransport",
    "RefusedCallError",
    "Reply",
    "Transport",
    "UnreachableError",
    "parse_endpoints",
]
