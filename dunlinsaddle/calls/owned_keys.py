"""The owner's side of at-most-once: remembers keys, and runs each of them one time."""

import asyncio
from collections.abc import Callable

import msgspec

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.member_calls import MemberCaller, to_candidates
from dunlinsaddle.calls.messages import Lost, NotSent, Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.policy.key_table import KeyRefused, KeyTable, StoredAnswer
from dunlinsaddle.policy.keys import Key
from dunlinsaddle.policy.ownership import Owner
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.stats import Stats

RETRY_AFTER_SECONDS = 1.0  #: seconds; within one, a reading of the map of owners is done
MAX_HANDED_ON = 2  #: nodes that a run is handed on to: two more cover a drain beside a full one
HANDED_ON_KINDS = frozenset({ErrorKind.DRAINING, ErrorKind.NO_TARGET, ErrorKind.OVERLOADED})
ACCEPTED = 'accepted'
REPEATED = 'repeated'


class OwnedKeys:
    """The keys that this node owns, and their runs, here or handed on."""

    def __init__(
        self,
        me: Owner,
        clock: Callable[[], int],
        view: MemberView,
        calls: MemberCaller,
        executor: Executor,
        stats: Stats,
        window: Callable[[str], float],
    ) -> None:
        self.me = me
        self.clock = clock
        self.view = view
        self.calls = calls
        self.executor = executor
        self.stats = stats
        self.window = window
        self.tables: dict[str, KeyTable[Reply]] = {}
        self._runs: set[asyncio.Task[Reply]] = set()

    async def wait_idle(self) -> None:
        """Wait until no run that this node decided on is in progress, here or elsewhere."""
        while self._runs:
            await asyncio.wait(self._runs)

    def find_reply(self, call: PendingCall, key: str) -> Reply | None:
        """Give the answer to a key that is known here, if it is."""
        known = self.table(call.ctx.service).lookup(key, call.ctx.fingerprint)
        return None if known is None else self._recall(known)

    async def run_once(self, call: PendingCall, key: Key, birth: int) -> Reply:
        """Run a key that was never begun here, or give what came of it."""
        service = call.ctx.service
        table = self.table(service)
        known = self.find_reply(call, key.text)
        if known is not None:
            return known
        now = self.clock()
        table.raise_floor(now - int(self.window(service) * 1000))
        begun = table.begin(key.text, birth, call.ctx.fingerprint, now)
        if isinstance(begun, KeyRefused):
            return self._recall(begun)
        self.stats.keys[ACCEPTED] += 1
        # A caller that goes away must not turn its run into one of unknown end: it will come
        # back with the same key and find the answer. The deadline bounds the run.
        run = asyncio.get_running_loop().create_task(self._run(call, key.text, table))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        return await asyncio.shield(run)

    async def _run(self, call: PendingCall, key: str, table: KeyTable[Reply]) -> Reply:
        reply: Reply | None = None
        try:
            reply = await self._run_somewhere(call)
        finally:
            if reply is None or reply.outcome is Outcome.UNKNOWN:
                table.mark_unknown(key)
            elif reply.outcome is Outcome.NOT_RUN:
                table.forget(key)
            else:
                table.complete(key, reply, reply.size)
        return reply

    async def _run_somewhere(self, call: PendingCall) -> Reply:
        """Run a call beside this node, or hand it on as long as it provably did not run."""
        handed = call.allowance.delegate()
        reply = await self.executor.execute(call._replace(allowance=RetryAllowance(handed)))
        call.allowance.reclaim(handed, reply.unspent_retry_tokens)
        tried = {self.me.instance}
        while _goes_on(reply) and len(tried) <= MAX_HANDED_ON:
            now = asyncio.get_running_loop().time()
            members = {m.instance: m for m in self.view.serving_members(call.ctx.service)}
            candidates = to_candidates(members.values())
            chosen = self.calls.router.choose(now, candidates, frozenset(tried))
            if chosen is None or not call.allowance.spend():
                break
            tried.add(chosen.instance)
            self.stats.retries += 1
            match await self.calls.call(call, members[chosen.instance], owner_approved=True):
                case Reply() as answer:
                    reply = answer
                case NotSent(detail):
                    reply = refusal(Failure(ErrorKind.NO_TARGET, detail, RETRY_AFTER_SECONDS))
                case Lost(detail, kind):
                    reply = refusal(Failure(kind, detail))
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply

    def table(self, service: str) -> KeyTable[Reply]:
        """Give what is remembered of a service's keys."""
        return self.tables.setdefault(service, KeyTable())

    def _recall(self, known: StoredAnswer[Reply] | KeyRefused) -> Reply:
        match known:
            case StoredAnswer(answer):
                self.stats.keys[REPEATED] += 1
                return _copy(answer)
            case KeyRefused(kind):
                return self.refuse(kind)

    def refuse(self, kind: ErrorKind, detail: str = '') -> Reply:
        """Refuse a key, and count why."""
        self.stats.keys[kind.value] += 1
        return refusal(Failure(kind, detail, RETRY_AFTER_SECONDS))


def _goes_on(reply: Reply) -> bool:
    return reply.outcome is Outcome.NOT_RUN and ErrorKind(reply.kind) in HANDED_ON_KINDS


def _copy(reply: Reply) -> Reply:
    # A reply is given its number on each link that it leaves by.
    return msgspec.structs.replace(reply, unspent_retry_tokens=0, load=None)
