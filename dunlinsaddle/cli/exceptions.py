"""Errors that end a command."""

from dunlinsaddle.exit_status import ExitStatus


class CommandError(Exception):
    """A failure that is reported to the user in one line, with its exit status."""

    def __init__(self, status: ExitStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
