"""The operators' HTTP interface, the load balancer's probes and /metrics."""

from ._probes import probe_routes
from ._routes import operator_routes

__all__ = ["operator_routes", "probe_routes"]
