"""Exit codes of savoryctl and their descriptions."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """All exit codes of savoryctl."""

    #: Success.
    OK = 0
    #: Internal error of savoryctl.
    INTERNAL = 1
    #: Invalid command line, file or key; nothing was sent.
    USAGE = 2
    #: The cell refused the call; nothing was accepted or changed.
    REFUSED = 3
    #: The configuration has another revision than expected; nothing was changed.
    CONFLICT = 4
    #: No endpoint could be reached; nothing was sent.
    UNREACHABLE = 5
    #: The awaited condition was not met in time.
    TIMED_OUT = 6
    #: The call may or may not have taken effect.
    UNKNOWN = 7
    #: A task ended with another outcome than done, or only some tasks were admitted.
    NOT_DONE = 8
    #: No line of the logs mentions the requested id.
    NOT_FOUND = 9


#: One-line descriptions for the help; docs/API.md repeats them.
MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.INTERNAL: "savoryctl itself failed",
    ExitCode.USAGE: "wrong command line, file or key; nothing was sent",
    ExitCode.REFUSED: "refused by the cell; nothing was accepted or changed",
    ExitCode.CONFLICT: "another change came first; nothing was changed",
    ExitCode.UNREACHABLE: "no endpoint could be reached; nothing was sent",
    ExitCode.TIMED_OUT: "what was waited for did not happen in time",
    ExitCode.UNKNOWN: "the call may or may not have taken effect",
    ExitCode.NOT_DONE: "a task ended otherwise than done, or only some were admitted",
    ExitCode.NOT_FOUND: "no line of the logs names what was asked for",
}
