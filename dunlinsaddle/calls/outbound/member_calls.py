"""Calls to a given member, with the outcome reported to the router."""

import asyncio
from collections.abc import Iterable

from dunlinsaddle.calls.call_state import PendingCall, build_call_frame
from dunlinsaddle.calls.messages import Lost, NotSent, Reply
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.membership.view import Member, State
from dunlinsaddle.policy.route import Candidate, Router


def to_candidates(members: Iterable[Member]) -> list[Candidate]:
    """Return the members as candidates for the router."""
    return [Candidate(m.instance, m.domain, m.state is State.SUSPECT) for m in members]


class MemberCaller:
    """Sends a call to one member and reports the outcome to the router."""

    def __init__(self, router: Router, links: PeerLinks) -> None:
        self.router = router
        self.links = links

    async def call(
        self,
        call: PendingCall,
        member: Member,
        *,
        owner_lookups: int = 0,
        owner_approved: bool = False,
    ) -> Reply | NotSent | Lost:
        """Send a call; for the two options see the fields of ``Call``."""
        loop = asyncio.get_running_loop()
        delegated_tokens = call.allowance.delegate()
        frame = build_call_frame(call, loop.time(), delegated_tokens)
        frame.owner_lookups, frame.owner_approved = owner_lookups, owner_approved
        self.router.record_sent(member.instance)
        try:
            reply = await self.links.call(member.peers, frame)
        except asyncio.CancelledError:
            self.router.record_answer(loop.time(), member.instance, None)
            raise
        match reply:
            case Reply():
                self.router.record_answer(
                    loop.time(),
                    member.instance,
                    reply.load,
                    rule=call.ctx.rule,
                    speed=reply.speed,
                )
                call.allowance.reclaim(delegated_tokens, reply.unspent_retry_tokens)
                reply.unspent_retry_tokens = call.allowance.tokens
            case NotSent():
                self.router.record_failure(loop.time(), member.instance)
                call.allowance.reclaim(delegated_tokens, delegated_tokens)
            case Lost():
                self.router.record_failure(loop.time(), member.instance)
        return reply
