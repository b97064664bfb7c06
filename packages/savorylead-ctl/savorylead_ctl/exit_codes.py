"""What savoryctl's exit codes mean."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Every code that savoryctl ends with."""

    #: Done.
    OK = 0
    #: savoryctl itself failed.
    INTERNAL = 1
    #: The command line, a file or the key given is wrong; nothing was sent.
    USAGE = 2
    #: The cell refused the call; nothing was accepted or changed.
    REFUSED = 3
    #: Another change came first; nothing was changed.
    CONFLICT = 4
    #: No endpoint could be reached; nothing was sent.
    UNREACHABLE = 5
    #: What was waited for did not happen in time.
    TIMED_OUT = 6
    #: The call may or may not have taken effect.
    UNKNOWN = 7
    #: A task ended otherwise than done, or only some tasks were admitted.
    NOT_DONE = 8
    #: No line of the logs names what was asked for.
    NOT_FOUND = 9


#: One line each, for the help.
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
