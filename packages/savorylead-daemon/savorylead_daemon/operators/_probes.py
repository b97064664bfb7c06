"""The balancer's probes and the metrics."""

from __future__ import annotations

from savorylead_daemon.http import JsonRequest, JsonResponse, json_response
from savorylead_daemon.observability import Metrics, Readiness
from savorylead_daemon.routing import Route


def probe_routes(metrics: Metrics, readiness: Readiness) -> list[Route]:
    """Return the routes that need no key and are never refused for load."""
    probes = _Probes(metrics, readiness)
    # Some balancers probe by HEAD, to which Twisted writes no body.
    both = ("GET", "HEAD")
    return [
        *(Route(method, "/healthz", "healthz", probes.healthz) for method in both),
        *(Route(method, "/readyz", "readyz", probes.readyz) for method in both),
        Route("GET", "/metrics", "metrics", probes.metrics),
    ]


class _Probes:
    """One method for each route."""

    def __init__(self, metrics: Metrics, readiness: Readiness) -> None:
        self._metrics = metrics
        self._readiness = readiness

    async def healthz(self, request: JsonRequest, key: str) -> JsonResponse:
        """Answer as long as the process serves requests at all."""
        return json_response(200, {"status": "ok"})

    async def readyz(self, request: JsonRequest, key: str) -> JsonResponse:
        """Tell the balancer whether to send callers here."""
        reasons = self._readiness.reasons()
        if reasons:
            return json_response(503, {"status": "not_ready", "reasons": reasons})
        return json_response(200, {"status": "ready", "reasons": []})

    async def metrics(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return all metrics as text."""
        self._metrics.set_ready(self._readiness.is_ready())
        body, content_type = self._metrics.render()
        return JsonResponse(200, body, {"content-type": content_type})
