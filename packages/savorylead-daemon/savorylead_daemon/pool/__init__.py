"""A daemon whose shards are the pools of a platform."""

from ._adapter import (
    AdapterParts,
    CallerAnswer,
    CallerCall,
    CallerCodec,
    CallKind,
    OpenLinks,
    PlatformAddresses,
)
from .settings import (
    PoolSettings,
    is_for_pools,
    load_pool_settings,
    parse_pool_settings,
)

__all__ = [
    "AdapterParts",
    "CallKind",
    "CallerAnswer",
    "CallerCall",
    "CallerCodec",
    "OpenLinks",
    "PlatformAddresses",
    "PoolSettings",
    "is_for_pools",
    "load_pool_settings",
    "parse_pool_settings",
]
