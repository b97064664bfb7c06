"""The HTTP site for callers, operators and the load balancer."""

from __future__ import annotations

import random

from savorylead_daemon.callers import caller_routes
from savorylead_daemon.http import ClientLimits, JsonSite
from savorylead_daemon.observability import Metrics, Readiness
from savorylead_daemon.operators import operator_routes, probe_routes
from savorylead_daemon.routing import RetryAfter, Router
from savorylead_daemon.services import CallerService, OperatorService
from savorylead_daemon.settings import LimitSettings


def build_http_site(
    callers: CallerService,
    operators: OperatorService,
    metrics: Metrics,
    readiness: Readiness,
    limits: LimitSettings,
    rng: random.Random,
) -> JsonSite:
    """Return the protocol factory for the callers' endpoint."""
    retry_after = RetryAfter(rng)
    routes = [
        *probe_routes(metrics, readiness),
        *caller_routes(callers, metrics, limits, retry_after),
        *operator_routes(operators, metrics, retry_after),
    ]
    router = Router(routes, metrics, retry_after)
    client_limits = ClientLimits(
        buffered_bytes=limits.buffered_bytes,
        connections=limits.connections,
        request_s=limits.connection_idle.total_seconds(),
    )
    return JsonSite(router, limits.body_bytes, client_limits)
