"""Exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What the commands tell the shell.

    0 done; 1 refused by the system; 2 wrong use or wrong settings; 3 nobody could be reached;
    4 the version was stale; 5 accepted, but not in force everywhere in time.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    STALE = 4
    NOT_IN_FORCE = 5
