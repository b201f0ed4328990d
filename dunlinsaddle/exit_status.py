"""Exit statuses of both programs."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the shell sees when a program ends."""

    OK = 0  #: everything asked for was done
    ERROR = 1  #: something failed that no other status names
    USAGE = 2  #: a flag, setting or argument is wrong or missing
    INVALID_RECORD = 3  #: a record or trace was refused by validation
    CONFLICT = 4  #: somebody else changed the record first
    NOT_FOUND = 5  #: no such record or instance
    UNAVAILABLE = 6  #: the node or the platform could not be reached
    DENIED = 7  #: the operator token was refused
    EXPECTATION_NOT_MET = 8  #: a replay ran, but a stated outcome was not met
    INTERRUPTED = 130  #: ended by Ctrl-C
