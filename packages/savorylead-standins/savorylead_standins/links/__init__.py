"""A stand-in of the network below a link."""

from ._memory_transport import ConnectionFate, MemoryConnection, MemoryTransport

__all__ = ["ConnectionFate", "MemoryConnection", "MemoryTransport"]
