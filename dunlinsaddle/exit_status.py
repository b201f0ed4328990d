"""Exit statuses of the daemon and the command-line tool."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit status of a program."""

    OK = 0  #: success
    ERROR = 1  #: a failure that has no status of its own
    USAGE = 2  #: a flag, setting or argument is wrong or missing
    INVALID_RECORD = 3  #: a record or trace is not valid
    CONFLICT = 4  #: the record was changed by someone else first
    NOT_FOUND = 5  #: no such record or instance
    UNAVAILABLE = 6  #: the node or the platform could not be reached
    DENIED = 7  #: the operator token was refused
    EXPECTATION_NOT_MET = 8  #: a replay ran, but did not meet an expected outcome
    INTERRUPTED = 130  #: ended by Ctrl-C
