"""What ends a command early."""

from dunlinsaddle.exit_status import ExitStatus


class CommandError(Exception):
    """A failure to tell a person in one line, with the exit status that goes with it."""

    def __init__(self, status: ExitStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
