"""Handles requests of callers and operators at any daemon."""

from ._caller_gateway import CallerGateway, GatewayTimes
from ._homes import by_home, home_shard
from ._operator_gateway import OperatorGateway

__all__ = [
    "CallerGateway",
    "GatewayTimes",
    "OperatorGateway",
    "by_home",
    "home_shard",
]
