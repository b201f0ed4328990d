"""Sends a call to a target of its service, again elsewhere where that is safe."""

import asyncio

from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.messages import Lost, NotSent, Reply, refusal
from dunlinsaddle.calls.once import OnceGate
from dunlinsaddle.calls.work import Work, call_of
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.policy.retry import Allowance, may_resend
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.stats import Stats

NO_TARGET_COME_BACK = 1.0


class Dispatcher:
    """Chooses a target, hands the call over, and spends the retry allowance."""

    def __init__(
        self,
        instance: str,
        view: MemberView,
        router: Router,
        links: PeerLinks,
        executor: Executor,
        stats: Stats,
    ) -> None:
        self.instance = instance
        self.view = view
        self.router = router
        self.links = links
        self.executor = executor
        self.stats = stats
        self.once: OnceGate | None = None

    async def dispatch(self, work: Work) -> Reply:
        """Give a call to one target after another until one answer is final."""
        if self.once is not None and not work.ctx.idempotent:
            return await self.once.enter(work)
        loop = asyncio.get_running_loop()
        tried: set[str] = set()
        reply: Reply | None = None
        while True:
            members = {m.instance: m for m in self.view.serving(work.ctx.service)}
            candidates = [Candidate(m.instance, m.domain) for m in members.values()]
            chosen = self.router.choose(loop.time(), candidates, frozenset(tried))
            if chosen is None:
                return reply or self._nobody(work)
            if reply is not None and not work.allowance.spend():
                return reply
            if reply is not None:
                self.stats.retries += 1
            tried.add(chosen.instance)
            reply = await self._try(work, members[chosen.instance])
            reply.unspent = work.allowance.tokens
            kind = ErrorKind(reply.kind) if reply.kind else None
            if not may_resend(kind, reply.outcome, idempotent=work.ctx.idempotent):
                return reply

    async def _try(self, work: Work, member: Member) -> Reply:
        loop = asyncio.get_running_loop()
        handed = work.allowance.hand_down()
        self.router.sent(member.instance)
        if member.instance == self.instance:
            reply: Reply | NotSent | Lost = await self.executor.execute(
                work._replace(allowance=Allowance(handed))
            )
        else:
            reply = await self.links.call(member.peers, call_of(work, loop.time(), handed))
        match reply:
            case Reply():
                self.router.answered(member.instance, reply.load)
                work.allowance.give_back(handed, reply.unspent)
                return reply
            case NotSent(detail):
                self.router.failed(loop.time(), member.instance)
                work.allowance.give_back(handed, handed)
                return refusal(Failure(ErrorKind.NO_TARGET, detail, NO_TARGET_COME_BACK))
            case Lost(detail, kind):
                self.router.failed(loop.time(), member.instance)
                return refusal(Failure(kind, detail))

    def _nobody(self, work: Work) -> Reply:
        detail = f'no target of {work.ctx.service} is known'
        return refusal(Failure(ErrorKind.NO_TARGET, detail, NO_TARGET_COME_BACK))
