"""The part of an example that describes the platform."""

from __future__ import annotations

from pathlib import Path

import msgspec

from savorylead.resources import Resources
from savorylead.workers import Worker


class WorkerClassDocument(msgspec.Struct, forbid_unknown_fields=True):
    """What workers of one kind can hold."""

    cores: int
    memory_mb: int
    accelerators: int
    slots: int
    connections: int

    def capacity(self) -> Resources:
        """Return the amounts in the scheduler's units."""
        return Resources(
            self.cores * 1000,
            self.memory_mb,
            self.accelerators,
            self.slots,
            self.connections,
        )


class RackDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Workers of one kind that share a switch."""

    #: Unique in the cell.
    name: str
    domain: str
    #: A name in ``worker_classes``.
    worker_class: str
    workers: int


class StoreDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Speed of the store."""

    latency_ms: float
    writes_per_s: float
    reads_per_s: float


class VmListDocument(msgspec.Struct, forbid_unknown_fields=True):
    """How old the list of VMs is."""

    lag_s: float


class WorkersDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Speed of the workers' answers."""

    latency_ms: float


class PlatformDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The section ``platform`` of an example."""

    store: StoreDocument
    vm_list: VmListDocument
    workers: WorkersDocument
    worker_classes: dict[str, WorkerClassDocument]
    racks: list[RackDocument]

    def fleet(self, endpoint_prefix: str) -> list[Worker]:
        """Return every worker, with endpoints below ``endpoint_prefix``."""
        return [
            self._worker(rack, f"{rack.name}-{number}", endpoint_prefix)
            for rack in self.racks
            for number in range(1, rack.workers + 1)
        ]

    def _worker(self, rack: RackDocument, name: str, endpoint_prefix: str) -> Worker:
        capacity = self.worker_classes[rack.worker_class].capacity()
        return Worker(
            name, rack.domain, rack.name, capacity, f"{endpoint_prefix}/{name}"
        )


class _ExampleDocument(msgspec.Struct):
    """A whole example; other sections belong to others."""

    platform: PlatformDocument


def read_platform(path: Path) -> PlatformDocument:
    """Return the platform of an example; raises msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=_ExampleDocument).platform
