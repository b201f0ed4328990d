"""Calls that a node hands to another node, without a choice of its own."""

import asyncio
from collections.abc import Iterable

from dunlinsaddle.calls.call_state import PendingCall, build_call_frame
from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.messages import Lost, NotSent, Reply
from dunlinsaddle.membership.view import Member, State
from dunlinsaddle.policy.route import Candidate, Router


def candidates_of(members: Iterable[Member]) -> list[Candidate]:
    """Give the members as the router wants them."""
    return [Candidate(m.instance, m.domain, m.state is State.SUSPECT) for m in members]


class MemberCalls:
    """Hands a call to one member, and lets the router learn from how it ended."""

    def __init__(self, router: Router, links: PeerLinks) -> None:
        self.router = router
        self.links = links

    async def call(
        self, work: PendingCall, member: Member, *, asked: int = 0, owned: bool = False
    ) -> Reply | NotSent | Lost:
        """Hand it over; ``asked`` and ``owned`` say what the member is taken for."""
        loop = asyncio.get_running_loop()
        handed = work.allowance.delegate()
        call = build_call_frame(work, loop.time(), handed)
        call.asked, call.owned = asked, owned
        self.router.record_sent(member.instance)
        try:
            reply = await self.links.call(member.peers, call)
        except asyncio.CancelledError:
            self.router.record_answer(loop.time(), member.instance, None)
            raise
        match reply:
            case Reply():
                self.router.record_answer(loop.time(), member.instance, reply.load)
                work.allowance.reclaim(handed, reply.unspent)
                reply.unspent = work.allowance.tokens
            case NotSent():
                self.router.record_failure(loop.time(), member.instance)
                work.allowance.reclaim(handed, handed)
            case Lost():
                self.router.record_failure(loop.time(), member.instance)
        return reply
