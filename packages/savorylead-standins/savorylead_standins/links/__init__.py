"""A stand-in of the network below a link, and a link over it."""

from ._forgetful_forwarder import ForgetfulForwarder
from ._link_rig import READ, WRITE, LinkRig
from ._memory_transport import ConnectionFate, MemoryConnection, MemoryTransport
from ._thin_transport import LowBandwidthTransport

__all__ = [
    "READ",
    "WRITE",
    "ConnectionFate",
    "ForgetfulForwarder",
    "LinkRig",
    "MemoryConnection",
    "MemoryTransport",
    "LowBandwidthTransport",
]
