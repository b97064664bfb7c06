"""A stand-in of the network below a link, and a link over it."""

from ._forgetful_forwarder import ForgetfulForwarder
from ._link_rig import READ, WRITE, LinkRig
from ._low_bandwidth_transport import LowBandwidthTransport
from ._memory_transport import ConnectionFate, MemoryConnection, MemoryTransport

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
