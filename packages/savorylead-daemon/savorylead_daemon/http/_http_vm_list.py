"""The platform's list of VMs over HTTP."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from savorylead.links import Link, LinkError, LinkRequest
from savorylead.workers import VmEntry, VmList, VmListError

_OK = 200
_REQUEST = LinkRequest("GET", "/vms", idempotent=True)
_TIMEOUT = timedelta(seconds=3)


class HttpVmList(VmList):
    """Fetches the list with one request."""

    def __init__(self, link: Link, timeout: timedelta = _TIMEOUT) -> None:
        self._link = link
        self._timeout = timeout

    async def read(self) -> list[VmEntry]:
        """Return the VMs that are live or leaving; raises VmListError."""
        try:
            reply = await self._link.call(_REQUEST, self._timeout)
        except LinkError as exc:
            raise VmListError(str(exc)) from exc
        if reply.status != _OK:
            raise VmListError(f"status {reply.status}")
        try:
            return msgspec.json.decode(reply.body, type=list[VmEntry])
        except msgspec.DecodeError as exc:
            raise VmListError("the VM list has an unexpected format") from exc
