"""Why a daemon can't serve, and its exit codes."""

from __future__ import annotations

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2
EXIT_UNUSABLE_PACKAGES = 3


class StartError(Exception):
    """The daemon can't start to serve; the message is one line for operators."""

    exit_code = EXIT_FAILURE

    def __init__(self, reason: str) -> None:
        super().__init__(" ".join(reason.split()))


class UnusablePackagesError(StartError):
    """The interpreter can't run the daemon's packages, or one of them is broken."""

    exit_code = EXIT_UNUSABLE_PACKAGES
