"""The VM list's HTTP interface."""

from __future__ import annotations

from savorylead_daemon.http import (
    JsonHandler,
    JsonRequest,
    JsonResource,
    JsonResponse,
    json_response,
)
from savorylead_standins.workers import MemoryVmList

from ._routes import dispatch, healthz


class VmListServer:
    """Serves a list that lags."""

    def __init__(self, vms: MemoryVmList) -> None:
        self._vms = vms

    def resource(self) -> JsonResource:
        """Return the resource of every path of the list."""
        routes: dict[tuple[str, str], JsonHandler] = {
            ("GET", "/vms"): self._read,
            ("GET", "/healthz"): self._healthz,
        }
        return JsonResource(dispatch(routes))

    async def _read(self, req: JsonRequest) -> JsonResponse:
        return json_response(200, await self._vms.read())

    async def _healthz(self, req: JsonRequest) -> JsonResponse:
        return healthz()
