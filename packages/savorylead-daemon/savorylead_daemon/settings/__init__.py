"""Settings of one daemon, parsed from JSON and validated as a whole."""

from ._load import SettingsError, load_settings, parse_settings
from ._settings import (
    Endpoint,
    LeaseSettings,
    LimitSettings,
    ListenSettings,
    LogLevel,
    LogSettings,
    PlatformSettings,
    PollSettings,
    Settings,
)

__all__ = [
    "Endpoint",
    "LeaseSettings",
    "LimitSettings",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "PlatformSettings",
    "PollSettings",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_settings",
]
