"""Asks the local target whether it serves."""

from collections.abc import Callable

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import NotSent
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.calls.target import HealthUnknown, NoHealthPath, NotServing, TargetHealth
from dunlinsaddle.platform.requests import read_health
from dunlinsaddle.settings import Address

#: Time to wait for an answer. A healthy target answers in a few milliseconds.
PROBE_TIMEOUT_SECONDS = 0.5
MAX_ANSWER_BYTES = 4096  #: of the body, which has no meaning


class TargetProbe:
    """Sends health checks to the target, each on a connection of its own.

    A connection that is kept may still lead to the former start of the target.
    """

    def __init__(self, address: Address, find_health_path: Callable[[], str | None]) -> None:
        self.address = address
        #: Returns the health path of the service, empty if it has none, None while the
        #: configuration is unknown.
        self.find_health_path = find_health_path
        self.sent = 0  #: health checks sent

    async def ask(self) -> TargetHealth:
        """Ask the target once; never raises an error for what the target does."""
        path = self.find_health_path()
        if path is None:
            return HealthUnknown('no configuration is known yet')
        if not path:
            return NoHealthPath()
        req = HttpRequest('GET', path, [(b'host', str(self.address).encode())], b'', '')
        client = HttpClient(MAX_ANSWER_BYTES)
        self.sent += 1
        try:
            result = await client.send(self.address, req, PROBE_TIMEOUT_SECONDS)
        finally:
            client.close()
        match result:
            case Answered(response):
                return read_health(response)
            case NotSent(detail, is_refused=True):
                return NotServing(detail)
        return HealthUnknown(result.detail)
