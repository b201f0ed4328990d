"""One call of another node, from its arrival until its reply has been written."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.messages import Call, Frame, Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure


class CallServer(Protocol):
    """The parts of a server that its calls use."""

    handler: Callable[[Call], Awaitable[Reply]]
    on_fault: Callable[[Call], None]
    is_running: Callable[[str], bool]
    held_memory: HeldMemory

    def refuse_body(self, request_id: str = '') -> Failure:
        """Report that there is no memory for a call, and return the failure for its sender."""


class CallLink(Protocol):
    """The parts of a link that its calls use."""

    loop: asyncio.AbstractEventLoop
    write_paused: bool

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""

    def send(self, frame: Frame) -> None:
        """Write one frame."""

    async def wait_writable(self) -> None:
        """Wait until little is left to be sent, or the link has ended."""

    def end_call(self, call_id: int) -> None:
        """Forget a call."""


class PeerCall:
    """Runs a call and sends its reply; holds memory for the call, and then for the reply."""

    def __init__(self, frame: Call, server: CallServer, link: CallLink) -> None:
        self.frame: Call | None = frame
        self.id = frame.id
        self.request_id = frame.request_id
        self.server = server
        self.link = link
        self.task: asyncio.Task[None] | None = None
        self.reply: Reply | None = None
        self.is_started = False
        self.is_given_up = False

    def start(self) -> None:
        """Run the call, unless it holds the most memory and there is no more."""
        assert self.frame is not None
        held_bytes = self.frame.held_bytes
        self.task = self.link.loop.create_task(self._run(self.frame))
        self.server.held_memory.set(self, held_bytes)

    def cancel(self) -> None:
        """Cancel the call: nobody waits for its reply any more."""
        if self.task is None:
            return
        self.task.cancel()
        if not self.is_started:
            # A task that is cancelled before it begins runs none of its code.
            self._end()

    @property
    def has_begun(self) -> bool:
        """Whether the target may be at work for it."""
        return self.reply is not None or self.server.is_running(self.request_id)

    def give_up(self) -> None:
        """Cancel the call and tell its sender; one that waits to be admitted has not run."""
        if not self.has_begun:
            failure = self.server.refuse_body(self.request_id)
        elif self.reply is None:
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, 'there is no memory for its body')
        else:
            failure = Failure(ErrorKind.INCOMPLETE_ANSWER, 'there is no memory for its answer')
        self.is_given_up = True
        self.cancel()
        if self.link.is_open:
            self.link.send(refusal(failure, call_id=self.id))

    def _end(self) -> None:
        self.server.held_memory.release(self)
        # A cancelled task refers to this call in turn, by the frames of its traceback: what the
        # call holds would stay until the garbage collector finds the cycle.
        self.task = self.frame = self.reply = None
        self.link.end_call(self.id)

    async def _run(self, frame: Call) -> None:
        self.is_started = True
        try:
            self.reply = await self._get_reply(frame)
            del frame  # its body is not needed any more
            self.frame = None
            self.reply.id = self.id
            if self.link.write_paused:
                await self._wait_writable(self.reply)
            if self.link.is_open and not self.is_given_up:
                self.link.send(self.reply)
        finally:
            self._end()

    async def _wait_writable(self, reply: Reply) -> None:
        """Wait until little is left to be sent; the reply may be given up meanwhile."""
        self.server.held_memory.set(self, reply.held_bytes)
        await self.link.wait_writable()

    async def _get_reply(self, frame: Call) -> Reply:
        try:
            return await self.server.handler(frame)
        except Exception:
            # Without a reply the caller would wait until its deadline.
            self.server.on_fault(frame)
            return refusal(Failure(ErrorKind.INTERNAL))
