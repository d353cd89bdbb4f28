"""Exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command.

    0: done. 1: refused. 2: invalid usage or settings. 3: no instance could be reached. 4: stale
    version. 5: accepted, but not in force everywhere in time.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    STALE = 4
    NOT_IN_FORCE = 5
