import asyncio
from random import Random

from dunlinsaddle.calls.call_state import PendingCall, RunningCalls
from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.calls.messages import Call, Lost, NotSent, Reply, refusal
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.policy.admission import Admission
from dunlinsaddle.policy.level import ReportedLevel
from dunlinsaddle.policy.quarantine import Quarantine, Quarantined
from dunlinsaddle.policy.route import Router
from dunlinsaddle.settings import Address
from dunlinsaddle.stats import Stats
from tests.builders import build_member, build_work
from tests.clock import PausedClockTest

DONE = Reply(0, 200, [], b'ok', Outcome.DONE)


class FakeLinks:
    """Answers calls to peers from a list, and keeps what was asked."""

    def __init__(self, *replies: Reply | NotSent | Lost) -> None:
        self.replies = list(replies)
        self.calls: list[Call] = []

    async def call(self, address: Address, frame: Call) -> Reply | NotSent | Lost:
        self.calls.append(frame)
        return self.replies.pop(0)


class FakeGate:
    """An owner that answers from its table."""

    async def handle(self, call: PendingCall) -> Reply:
        return DONE


class DeadTarget(HttpClient):
    """A target that dies of every call and takes no connection afterwards."""

    async def send(self, address, req, timeout, *, allow_resend=None, matches_request=None):
        return Lost('the connection ended', ErrorKind.TARGET_LOST)

    async def can_connect(self, address):
        return False


class FailsBelow(HttpClient):
    """A target whose call to another service is refused, and which answers 502 for that."""

    running: RunningCalls

    async def send(self, address, req, timeout, *, allow_resend=None, matches_request=None):
        running_call = self.running.find(dict(req.headers)[b'dunlinsaddle-call'].decode())
        running_call.downstream_retry_after = 2.0
        return Answered(HttpResponse(502, [], b''))


class LiveTarget(HttpClient):
    """A target that answers every call."""

    async def send(self, address, req, timeout, *, allow_resend=None, matches_request=None):
        await asyncio.sleep(0.01)
        return Answered(HttpResponse(200, [], b'ok'))


def build_executor(client: HttpClient, quarantine: Quarantine, **changes) -> Executor:
    target = LocalTarget()
    target.announce('cut-orders', Address('127.0.0.1', 1))
    return Executor(target, Admission(), client, RunningCalls(), Stats(), quarantine, **changes)


class SlowTarget(LiveTarget):
    async def send(self, *args, **kwargs):
        await asyncio.sleep(1)
        return await super().send(*args, **kwargs)


class DispatchTest(PausedClockTest):
    def dispatch(
        self,
        links: FakeLinks,
        quarantine: Quarantine | None = None,
        router: Router | None = None,
        **changes,
    ) -> Reply:
        async def scenario() -> Reply:
            view = MemberView()
            for name in ('bangor-1', 'menai-1', 'caernarfon-1'):
                view.merge(build_member(name))
            known = Quarantine() if quarantine is None else quarantine
            dispatcher = Dispatcher(
                'entry',
                view,
                router or Router('bangor-hall', Random(1)),
                links,
                build_executor(LiveTarget(), known),
                Stats(),
                known,
            )
            return await dispatcher.dispatch(build_work(**changes))

        return self.run_paused(scenario())

    def test_lost_idempotent_call_is_answered_by_another_target(self):
        links = FakeLinks(Lost('cut'), DONE)
        self.assertEqual(200, self.dispatch(links).status)

    def test_lost_non_idempotent_call_is_unknown_and_never_sent_again(self):
        links = FakeLinks(Lost('cut'), DONE)
        reply = self.dispatch(links, idempotent=False)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(1, len(links.calls))

    def test_refusal_after_a_lost_try_does_not_say_not_run(self):
        # The first target is cut off while it runs the call; the second is overloaded and
        # refuses. "Not run" is true of the second try only: the caller must hear "unknown".
        links = FakeLinks(Lost('cut'), refusal(Failure(ErrorKind.OVERLOADED, retry_after=1)))
        reply = self.dispatch(links)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)

    def test_early_refusal_never_says_not_run_of_a_key(self):
        # The first send of a release ran and its answer was lost; meanwhile the chain below
        # became overloaded. The resend must reach the key's owner: refused here, the caller
        # would hear "not run" of an order that was released.
        async def scenario() -> tuple[Reply, Reply]:
            known = Quarantine()
            executor = build_executor(LiveTarget(), known)
            dispatcher = Dispatcher(
                'entry',
                MemberView(),
                Router('bangor-hall', Random(1)),
                FakeLinks(),
                executor,
                Stats(),
                known,
            )
            dispatcher.idempotency_router = FakeGate()
            now = asyncio.get_running_loop().time()
            executor.levels.record_response(now, 'cut-orders', 'read', ReportedLevel(-1.0))
            keyed = await dispatcher.dispatch(build_work(key='a-key', idempotent=False))
            plain = await dispatcher.dispatch(build_work())
            return keyed, plain

        keyed, plain = self.run_paused(scenario())
        self.assertEqual((ErrorKind.REFUSED_EARLY.value, Outcome.DONE), (plain.kind, keyed.outcome))

    def test_caller_that_goes_away_leaves_no_call_outstanding(self):
        # Callers give up while a target is slow. Were their calls still counted as on their
        # way to it, it would look ever more loaded and be given less and less work.
        class SlowLinks:
            async def call(self, address, frame):
                await asyncio.sleep(60)

        async def scenario() -> tuple[int, int]:
            view, known = MemberView(), Quarantine()
            view.merge(build_member('bangor-1'))
            router = Router('bangor-hall', Random(1))
            executor = build_executor(LiveTarget(), known)
            parts = (view, router, SlowLinks(), executor, Stats(), known)
            task = asyncio.create_task(Dispatcher('entry', *parts).dispatch(build_work()))
            await asyncio.sleep(0.1)
            during = router.report(0.1, 'bangor-1', '')['outstanding']
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return during, router.report(0.1, 'bangor-1', '')['outstanding']

        self.assertEqual((1, 0), self.run_paused(scenario()))

    def test_overload_further_down_is_no_fault_of_the_target_above(self):
        router = Router('bangor-hall', Random(1))
        for retry_after in (2.0, 0.0):
            links = FakeLinks(Reply(0, 502, [], b'', Outcome.DONE, retry_after=retry_after))
            self.dispatch(links, router=router)
            names = ('bangor-1', 'menai-1', 'caernarfon-1')
            shares = [router.report(0.0, name, 'bangor-hall')['error_share'] for name in names]
            self.assertEqual(retry_after == 0, any(shares))

    def test_tries_end_with_the_allowance(self):
        links = FakeLinks(*[NotSent('refused')] * 10)
        self.dispatch(links, tokens=1)
        self.assertLessEqual(len(links.calls), 2)

    def test_request_that_kills_its_targets_is_sent_to_two_at_most(self):
        # Each target that runs the call dies. After the second death the entry gives up,
        # though tokens and targets are left: a third target must not die.
        first = refusal(Failure(ErrorKind.TARGET_LOST))
        first.deaths = 1
        second = refusal(Failure(ErrorKind.TARGET_LOST))
        second.deaths = 2
        quarantine = Quarantine()
        links = FakeLinks(first, second, DONE)
        reply = self.dispatch(links, quarantine, tokens=5)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(2, len(links.calls))
        self.assertEqual(1, links.calls[1].deaths)
        self.assertIsInstance(quarantine.check(0.1, links.calls[0].fingerprint), Quarantined)


class ExecuteTest(PausedClockTest):
    def execute(self, executor_of, **changes) -> Reply:
        async def scenario() -> Reply:
            return await executor_of().execute(build_work(**changes))

        return self.run_paused(scenario())

    def test_death_of_the_target_is_told_with_the_answer(self):
        heard: list[tuple[int, int]] = []

        def build() -> Executor:
            on_target_crash = lambda fingerprint, deaths: heard.append((fingerprint, deaths))  # noqa: E731
            return build_executor(DeadTarget(), Quarantine(), on_target_crash=on_target_crash)

        reply = self.execute(build, fingerprint=5)
        self.assertEqual((1, Outcome.UNKNOWN), (reply.deaths, reply.outcome))
        self.assertEqual([(5, 1)], heard)

    def test_caller_hears_when_to_come_back_from_an_overload_further_down(self):
        # A service below is full and refuses the target's call. The target answers 502 of its
        # own, without Retry-After: its caller would ask again at once. What must run once gets
        # no such word, for its answer stands.
        for idempotent, seconds in ((True, 2.0), (False, 0.0)):
            client = FailsBelow()

            def build(client=client) -> Executor:
                executor = build_executor(client, Quarantine())
                client.running = executor.running
                return executor

            reply = self.execute(build, idempotent=idempotent)
            self.assertEqual((502, seconds), (reply.status, reply.retry_after))

    def test_barred_request_is_refused_for_good(self):
        reply = self.execute(lambda: build_executor(LiveTarget(), Quarantine()), deaths=2)
        self.assertEqual(ErrorKind.QUARANTINED.value, reply.kind)
        self.assertEqual(0, reply.retry_after)

    def test_observed_service_neither_bars_nor_delays_a_suspect(self):
        # Two targets died of one request, one of the other. Beside the older system neither is
        # refused or made to wait for the other; what enforcing would refuse is counted.
        async def scenario() -> tuple[list[int], float, int]:
            executor = build_executor(
                SlowTarget(), Quarantine(), is_observe_only=lambda service: True
            )
            works = [build_work(fingerprint=n, deaths=d) for n, d in ((1, 2), (2, 1), (3, 1))]
            replies = await asyncio.gather(*map(executor.execute, works))
            refused = executor.stats.observed_refusals[ErrorKind.QUARANTINED.value]
            return [r.status for r in replies], asyncio.get_running_loop().time(), refused

        statuses, elapsed, refused = self.run_paused(scenario())
        self.assertEqual([200] * 3, statuses)
        self.assertAlmostEqual(1.01, elapsed, places=6)
        self.assertEqual(1, refused)

    def test_observed_service_counts_refusals_and_runs_the_call(self):
        # The older system still protects the service. This one would refuse the call, and
        # must only count that: two systems that both refuse would starve the targets.
        async def scenario() -> tuple[Reply, int]:
            executor = build_executor(
                LiveTarget(), Quarantine(), is_observe_only=lambda service: True
            )
            executor.admission.limit = 0
            replies = await asyncio.gather(*(executor.execute(build_work()) for _ in range(5)))
            return replies[-1], sum(executor.stats.observed_refusals.values())

        reply, refused = self.run_paused(scenario())
        self.assertEqual(200, reply.status)
        self.assertGreater(refused, 0)
