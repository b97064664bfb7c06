"""Stand-ins of what a daemon does behind its HTTP interface."""

from ._loopback_gateway import LoopbackGateway, ReplyFault
from ._memory_callers import MemoryCallerService
from ._memory_connection import HttpReply, MemoryConnection
from ._memory_gateway import (
    DISPATCH_KEY,
    OPERATOR_KEY,
    PLANNING_KEY,
    MemoryGateway,
    small_cell,
    small_limits,
)
from ._memory_operators import MemoryOperatorService

__all__ = [
    "DISPATCH_KEY",
    "OPERATOR_KEY",
    "PLANNING_KEY",
    "HttpReply",
    "LoopbackGateway",
    "MemoryCallerService",
    "MemoryConnection",
    "MemoryGateway",
    "MemoryOperatorService",
    "ReplyFault",
    "small_cell",
    "small_limits",
]
