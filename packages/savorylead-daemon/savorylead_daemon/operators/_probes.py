"""HTTP routes of the load balancer's probes and of the metrics."""

from __future__ import annotations

from savorylead_daemon.http import JsonRequest, JsonResponse, json_response
from savorylead_daemon.observability import Metrics, Readiness
from savorylead_daemon.routing import Route


def probe_routes(metrics: Metrics, readiness: Readiness) -> list[Route]:
    """Return the routes that need no key and have no admission limit."""
    probes = _Probes(metrics, readiness)
    # Some load balancers probe with HEAD, for which Twisted omits the body.
    methods = ("GET", "HEAD")
    return [
        *(Route(method, "/healthz", "healthz", probes.healthz) for method in methods),
        *(Route(method, "/readyz", "readyz", probes.readyz) for method in methods),
        Route("GET", "/metrics", "metrics", probes.metrics),
    ]


class _Probes:
    """One method for each route."""

    def __init__(self, metrics: Metrics, readiness: Readiness) -> None:
        self._metrics = metrics
        self._readiness = readiness

    async def healthz(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return 200 as long as the process serves requests."""
        return json_response(200, {"status": "ok"})

    async def readyz(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return 200 if the balancer may route callers to this daemon, else 503."""
        reasons = self._readiness.reasons()
        if reasons:
            return json_response(503, {"status": "not_ready", "reasons": reasons})
        return json_response(200, {"status": "ready", "reasons": []})

    async def metrics(self, request: JsonRequest, key: str) -> JsonResponse:
        """Return all metrics in the text exposition format."""
        self._metrics.set_ready(self._readiness.is_ready())
        body, content_type = self._metrics.render()
        return JsonResponse(200, body, {"content-type": content_type})
