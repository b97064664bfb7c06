"""Serving callers and operators from any daemon."""

from ._caller_gateway import CallerGateway, Doorkeeper, GatewayTimes, TeamKey
from ._homes import by_home, home_shard

__all__ = [
    "CallerGateway",
    "Doorkeeper",
    "GatewayTimes",
    "TeamKey",
    "by_home",
    "home_shard",
]
