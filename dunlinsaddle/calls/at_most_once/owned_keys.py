"""At-most-once execution at the owner of a key: remembers keys and runs each only once."""

import asyncio
from collections.abc import Callable

import msgspec

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.messages import Lost, NotSent, Reply, refusal
from dunlinsaddle.calls.outbound.member_calls import MemberCaller, to_candidates
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.policy.key_table import KeyRefused, KeyTable, StoredAnswer
from dunlinsaddle.policy.keys import Key
from dunlinsaddle.policy.ownership import Owner
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.stats import Stats

RETRY_AFTER_SECONDS = 1.0  #: longer than reading the map of owners takes
MAX_FORWARDS = 2  #: nodes a run is forwarded to: enough if one drains and the next is full
FORWARDED_KINDS = frozenset({ErrorKind.DRAINING, ErrorKind.NO_TARGET, ErrorKind.OVERLOADED})
ACCEPTED = 'accepted'
REPEATED = 'repeated'


class OwnedKeys:
    """The keys that this node owns, and their runs at the local target or at another node."""

    def __init__(
        self,
        me: Owner,
        clock: Callable[[], int],
        view: MemberView,
        member_calls: MemberCaller,
        executor: Executor,
        stats: Stats,
        key_window: Callable[[str], float],
    ) -> None:
        self.me = me
        self.clock = clock
        self.view = view
        self.member_calls = member_calls
        self.executor = executor
        self.stats = stats
        self.key_window = key_window
        self.tables: dict[str, KeyTable[Reply]] = {}
        self._run_tasks: set[asyncio.Task[Reply]] = set()

    async def wait_idle(self) -> None:
        """Wait until no run started by this node as an owner is in progress, on any node."""
        while self._run_tasks:
            await asyncio.wait(self._run_tasks)

    def find_reply(self, call: PendingCall, key: str) -> Reply | None:
        """Return the reply to a key that this node remembers, or None."""
        known_reply = self.table(call.ctx.service).lookup(key, call.ctx.fingerprint)
        return None if known_reply is None else self._replay(known_reply)

    async def run_once(self, call: PendingCall, key: Key, birth: int) -> Reply:
        """Run a key that has not been started here, or return the remembered reply."""
        service = call.ctx.service
        table = self.table(service)
        known_reply = self.find_reply(call, key.text)
        if known_reply is not None:
            return known_reply
        now = self.clock()
        table.raise_floor(now - int(self.key_window(service) * 1000))
        result = table.begin(key.text, birth, call.ctx.fingerprint, now)
        if isinstance(result, KeyRefused):
            return self._replay(result)
        self.stats.keys[ACCEPTED] += 1
        # A caller that disconnects must not cancel the run, which would leave its outcome
        # unknown: a resend of the same key gets the reply. The deadline bounds the run.
        task = asyncio.get_running_loop().create_task(self._run(call, key.text, table))
        self._run_tasks.add(task)
        task.add_done_callback(self._run_tasks.discard)
        return await asyncio.shield(task)

    async def _run(self, call: PendingCall, key: str, table: KeyTable[Reply]) -> Reply:
        reply: Reply | None = None
        try:
            reply = await self._run_or_forward(call)
        finally:
            if reply is None or reply.outcome is Outcome.UNKNOWN:
                table.mark_unknown(key)
            elif reply.outcome is Outcome.NOT_RUN:
                table.forget(key)
            else:
                table.complete(key, reply, reply.size)
        return reply

    async def _run_or_forward(self, call: PendingCall) -> Reply:
        """Run a call at the local target, or forward it while it provably did not run."""
        tokens = call.allowance.delegate()
        reply = await self.executor.execute(call._replace(allowance=RetryAllowance(tokens)))
        call.allowance.reclaim(tokens, reply.unspent_retry_tokens)
        tried_instances = {self.me.instance}
        while _can_forward(reply) and len(tried_instances) <= MAX_FORWARDS:
            now = asyncio.get_running_loop().time()
            members = {m.instance: m for m in self.view.serving_members(call.ctx.service)}
            candidates = to_candidates(members.values())
            chosen = self.member_calls.router.choose(now, candidates, frozenset(tried_instances))
            if chosen is None or not call.allowance.spend():
                break
            tried_instances.add(chosen.instance)
            self.stats.retries += 1
            match await self.member_calls.call(call, members[chosen.instance], owner_approved=True):
                case Reply() as answer:
                    reply = answer
                case NotSent(detail):
                    reply = refusal(Failure(ErrorKind.NO_TARGET, detail, RETRY_AFTER_SECONDS))
                case Lost(detail, kind):
                    reply = refusal(Failure(kind, detail))
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply

    def table(self, service: str) -> KeyTable[Reply]:
        """Return the table of a service's remembered keys."""
        return self.tables.setdefault(service, KeyTable())

    def _replay(self, known_reply: StoredAnswer[Reply] | KeyRefused) -> Reply:
        match known_reply:
            case StoredAnswer(answer):
                self.stats.keys[REPEATED] += 1
                return _copy_reply(answer)
            case KeyRefused(kind):
                return self.refuse(kind)

    def refuse(self, kind: ErrorKind, detail: str = '') -> Reply:
        """Refuse a key, and count the reason."""
        self.stats.keys[kind.value] += 1
        return refusal(Failure(kind, detail, RETRY_AFTER_SECONDS))


def _can_forward(reply: Reply) -> bool:
    return reply.outcome is Outcome.NOT_RUN and ErrorKind(reply.kind) in FORWARDED_KINDS


def _copy_reply(reply: Reply) -> Reply:
    # Each link sets the id of the reply that it sends, so the stored reply must not be shared.
    return msgspec.structs.replace(reply, unspent_retry_tokens=0, load=None, speed=None)
