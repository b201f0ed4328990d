import asyncio
from collections.abc import Iterable
from random import Random

from dunlinsaddle.calls.call_state import PendingCall, RunningCalls
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.calls.messages import Call, Lost, NotSent, Reply, refusal
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.policy.admission import Admission
from dunlinsaddle.policy.level import ReportedLevel
from dunlinsaddle.policy.quarantine import (
    Crash,
    NotSuspected,
    Quarantine,
    Quarantined,
    QuarantineState,
    Suspected,
)
from dunlinsaddle.policy.route import Router
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.settings import Address
from dunlinsaddle.stats import Stats
from tests.builders import build_member, build_pending_call
from tests.clock import PausedClockTest

DONE = Reply(0, 200, [], b'ok', Outcome.DONE)
CONFIRMED = (Crash(1), Crash(2, was_trial=True))


class FakeLinks:
    """Answers calls to peers from a list, and records the calls."""

    def __init__(self, *replies: Reply | NotSent | Lost) -> None:
        self.replies = list(replies)
        self.calls: list[Call] = []

    async def call(self, address: Address, frame: Call) -> Reply | NotSent | Lost:
        self.calls.append(frame)
        return self.replies.pop(0)


class FakeIdempotencyRouter:
    """Answers every call as if the owner of its key had the reply stored."""

    async def handle(self, call: PendingCall) -> Reply:
        return DONE


class CrashingTarget(HttpClient):
    """A target that crashes on every call and accepts no connection afterwards."""

    async def send(self, address, req, timeout, **options):
        return Lost('the connection ended', ErrorKind.TARGET_LOST)

    async def is_listening(self, address):
        return False


class CrashingLaterTarget(CrashingTarget):
    """A target that crashes a tenth of a second after the first call, with all calls."""

    async def send(self, address, req, timeout, **options):
        await asyncio.sleep(max(0.1 - asyncio.get_running_loop().time(), 0.0))
        return await super().send(address, req, timeout, **options)


class RecordedCrashes:
    """Records what would be reported to other nodes."""

    def __init__(self) -> None:
        self.crashes: list[tuple[int, Crash]] = []
        self.cleared: list[tuple[int, tuple[int, ...]]] = []

    def report_crash(self, fingerprint: int, crash: Crash) -> None:
        self.crashes.append((fingerprint, crash))

    def report_cleared(self, fingerprint: int, names: Iterable[int]) -> None:
        self.cleared.append((fingerprint, tuple(names)))


class DownstreamRefusedTarget(HttpClient):
    """A target that answers 502 because its downstream call was refused."""

    running: RunningCalls

    async def send(self, address, req, timeout, **options):
        running_call = self.running.find(dict(req.headers)[b'dunlinsaddle-call'].decode())
        running_call.downstream_retry_after = 2.0
        return Answered(HttpResponse(502, [], b''))


class FakeTarget(HttpClient):
    """A target that answers every call."""

    async def send(self, address, req, timeout, **options):
        await asyncio.sleep(0.01)
        return Answered(HttpResponse(200, [], b'ok'))


def build_executor(client: HttpClient, quarantine: Quarantine, **changes) -> Executor:
    target = LocalTarget()
    target.announce('cut-orders', Address('127.0.0.1', 1))
    return Executor(target, Admission(), client, RunningCalls(), Stats(), quarantine, **changes)


class SlowTarget(FakeTarget):
    async def send(self, *args, **kwargs):
        await asyncio.sleep(1)
        return await super().send(*args, **kwargs)


class LeavingCallersTest(PausedClockTest):
    # A call that is cancelled just when it may start took its slot along, until none was left.
    def test_slot_of_a_call_whose_caller_leaves_as_it_starts_is_given_back(self):
        async def scenario() -> int:
            admission = SlotAdmission()
            admission.set_slots(1)
            target = LocalTarget()
            target.announce('cut-orders', Address('127.0.0.1', 1))
            executor = Executor(
                target, admission, SlowTarget(), RunningCalls(), Stats(), Quarantine()
            )
            for _ in range(3):
                running, waiting = (
                    asyncio.create_task(executor.execute(build_pending_call(deadline=900.0)))
                    for _ in range(2)
                )
                await asyncio.sleep(0.5)
                # The first to run is the one whose end lets the other start.
                running.cancel()
                waiting.cancel()
                await asyncio.wait((running, waiting))
            return (await executor.execute(build_pending_call(deadline=900.0))).status

        self.assertEqual(200, self.run_paused(scenario()))


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
            quarantine_state = Quarantine() if quarantine is None else quarantine
            dispatcher = Dispatcher(
                'entry',
                view,
                router or Router('bangor-hall', Random(1)),
                links,
                build_executor(FakeTarget(), quarantine_state),
                Stats(),
                quarantine_state,
            )
            return await dispatcher.dispatch(build_pending_call(**changes))

        return self.run_paused(scenario())

    def test_lost_idempotent_call_is_answered_by_another_target(self):
        links = FakeLinks(Lost('cut'), DONE)
        self.assertEqual(200, self.dispatch(links).status)

    # A node without a descriptor left took sound targets for failed ones, and had none to send to.
    def test_local_lack_of_descriptors_does_not_eject_targets(self):
        for is_local in (True, False):
            router = Router('bangor-hall', Random(1))
            for _ in range(10):
                lack = (NotSent('EMFILE', is_local_exhaustion=is_local) for _ in range(3))
                self.dispatch(FakeLinks(*lack), router=router)
            reports = [router.report(0.0, name, 'd') for name in ('bangor-1', 'menai-1')]
            self.assertEqual(is_local, not any(r['error_share'] for r in reports))

    def test_lost_non_idempotent_call_is_unknown_and_not_resent(self):
        links = FakeLinks(Lost('cut'), DONE)
        reply = self.dispatch(links, idempotent=False)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(1, len(links.calls))

    def test_refusal_after_a_lost_attempt_is_outcome_unknown(self):
        # The first target is cut off while it runs the call, and the second one is overloaded
        # and refuses. The call did not run at the second only, so its outcome is unknown.
        links = FakeLinks(Lost('cut'), refusal(Failure(ErrorKind.OVERLOADED, retry_after=1)))
        reply = self.dispatch(links)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)

    def test_keyed_call_is_not_refused_early(self):
        # The first attempt ran and its reply was lost; then the downstream services became
        # overloaded. The resend must reach the owner of the key: an early refusal would claim
        # that a call did not run which has run.
        async def scenario() -> tuple[Reply, Reply]:
            quarantine_state = Quarantine()
            executor = build_executor(FakeTarget(), quarantine_state)
            dispatcher = Dispatcher(
                'entry',
                MemberView(),
                Router('bangor-hall', Random(1)),
                FakeLinks(),
                executor,
                Stats(),
                quarantine_state,
            )
            dispatcher.idempotency_router = FakeIdempotencyRouter()
            now = asyncio.get_running_loop().time()
            executor.levels.record_response(now, 'cut-orders', 'read', ReportedLevel(-1.0))
            keyed_reply = await dispatcher.dispatch(
                build_pending_call(key='a-key', idempotent=False)
            )
            plain_reply = await dispatcher.dispatch(build_pending_call())
            return keyed_reply, plain_reply

        keyed_reply, plain_reply = self.run_paused(scenario())
        self.assertEqual(
            (ErrorKind.REFUSED_EARLY.value, Outcome.DONE), (plain_reply.kind, keyed_reply.outcome)
        )

    def test_cancelled_call_is_not_counted_as_outstanding(self):
        # Callers disconnect while a target is slow. If their calls stayed counted as
        # outstanding, the target would look ever more loaded and receive ever fewer calls.
        class SlowLinks:
            async def call(self, address, frame):
                await asyncio.sleep(60)

        async def scenario() -> tuple[int, int]:
            view, quarantine_state = MemberView(), Quarantine()
            view.merge(build_member('bangor-1'))
            router = Router('bangor-hall', Random(1))
            executor = build_executor(FakeTarget(), quarantine_state)
            parts = (view, router, SlowLinks(), executor, Stats(), quarantine_state)
            task = asyncio.create_task(Dispatcher('entry', *parts).dispatch(build_pending_call()))
            await asyncio.sleep(0.1)
            outstanding_during = router.report(0.1, 'bangor-1', '')['outstanding']
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return outstanding_during, router.report(0.1, 'bangor-1', '')['outstanding']

        self.assertEqual((1, 0), self.run_paused(scenario()))

    def test_downstream_overload_is_not_counted_as_error_of_the_target(self):
        router = Router('bangor-hall', Random(1))
        for retry_after in (2.0, 0.0):
            links = FakeLinks(Reply(0, 502, [], b'', Outcome.DONE, retry_after=retry_after))
            self.dispatch(links, router=router)
            names = ('bangor-1', 'menai-1', 'caernarfon-1')
            shares = [router.report(0.0, name, 'bangor-hall')['error_share'] for name in names]
            self.assertEqual(retry_after == 0, any(shares))

    # Guards against a target that goes on getting its full share while its answers have no end.
    def test_an_answer_over_the_limit_counts_as_error_of_the_target(self):
        router = Router('bangor-hall', Random(1))
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, 'the answer is too large')
        links = FakeLinks(refusal(failure))
        self.dispatch(links, router=router)
        names = ('bangor-1', 'menai-1', 'caernarfon-1')
        shares = [router.report(0.0, name, 'bangor-hall')['error_share'] for name in names]
        self.assertEqual((1, True), (len(links.calls), any(shares)))

    def test_number_of_attempts_is_limited_by_the_allowance(self):
        links = FakeLinks(*[NotSent('refused')] * 10)
        self.dispatch(links, tokens=1)
        self.assertLessEqual(len(links.calls), 2)

    def test_request_that_crashes_targets_is_sent_to_at_most_two(self):
        # Each target that runs the call crashes. After the second crash the call must not be
        # resent, although retry tokens and targets are left.
        first = refusal(Failure(ErrorKind.TARGET_LOST))
        first.crashes = [Crash(1)]
        second = refusal(Failure(ErrorKind.TARGET_LOST))
        second.crashes = [Crash(1), Crash(2, was_trial=True)]
        quarantine = Quarantine()
        links = FakeLinks(first, second, DONE)
        reply = self.dispatch(links, quarantine, tokens=5)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(2, len(links.calls))
        self.assertEqual([Crash(1)], links.calls[1].crashes)
        self.assertIsInstance(quarantine.check(0.1, links.calls[0].fingerprint), Quarantined)


class ExecuteTest(PausedClockTest):
    def execute(self, build, **changes) -> Reply:
        async def scenario() -> Reply:
            return await build().execute(build_pending_call(**changes))

        return self.run_paused(scenario())

    def test_crash_of_the_target_is_reported_with_the_reply(self):
        reports = RecordedCrashes()
        reply = self.execute(
            lambda: build_executor(CrashingTarget(), Quarantine(), crash_reports=reports),
            fingerprint=5,
        )
        self.assertEqual((1, Outcome.UNKNOWN), (reply.crash_count, reply.outcome))
        self.assertEqual([(5, crash) for crash in reply.crashes], reports.crashes)

    # One crash of a target ended two equal requests, and both counted: all later ones were denied.
    def test_crash_that_ends_equal_requests_counts_once(self):
        async def scenario() -> tuple[list[Reply], Quarantine]:
            quarantine = Quarantine()
            executor = build_executor(CrashingTarget(), quarantine, crash_reports=reports)
            executor.admission.limit = 40
            calls = [build_pending_call(fingerprint=5) for _ in range(40)]
            return await asyncio.gather(*map(executor.execute, calls)), quarantine

        reports = RecordedCrashes()
        replies, quarantine = self.run_paused(scenario())
        self.assertEqual({ErrorKind.TARGET_LOST.value}, {reply.kind for reply in replies})
        self.assertEqual((1, 1), (len(reports.crashes), len(quarantine.crashes(0.0, 5))))
        self.assertEqual(Suspected(), quarantine.check(0.0, 5))

    # Equal requests complete all the time, but only at other targets or without a known crash.
    def test_completion_takes_back_the_crashes_of_equal_requests(self):
        async def scenario() -> QuarantineState:
            quarantine = Quarantine()
            executor = build_executor(FakeTarget(), quarantine, crash_reports=reports)
            call = build_pending_call(fingerprint=5)
            running = asyncio.create_task(executor.execute(call))
            await asyncio.sleep(0.005)
            quarantine.record(0.0, 5, [Crash(1)])  # told by the node beside another target
            await running
            return quarantine.check(1.0, 5)

        reports = RecordedCrashes()
        self.assertEqual(NotSuspected(), self.run_paused(scenario()))
        self.assertEqual([(5, (1,))], reports.cleared)

    # A call of the target completed elsewhere, and its request went on to crash one target more.
    def test_completion_of_a_call_says_nothing_of_its_request(self):
        async def scenario() -> QuarantineState:
            quarantine = Quarantine()
            quarantine.record(0.0, 5, [Crash(1)])
            executor = build_executor(FakeTarget(), quarantine)
            await executor.execute(build_pending_call(fingerprint=5, own_fingerprint=9))
            return quarantine.check(1.0, 5)

        self.assertEqual(Suspected(), self.run_paused(scenario()))

    # Requests that equal a suspected one ran one after the other, at a tenth of their usual rate.
    def test_equal_requests_that_wait_are_released_by_the_first_completion(self):
        async def scenario() -> tuple[set[str], float]:
            executor = build_executor(SlowTarget(), Quarantine())
            executor.admission.limit = 10
            executor.quarantine.record(0.0, 5, [Crash(1)])
            calls = [build_pending_call(fingerprint=5) for _ in range(10)]
            tasks = [asyncio.create_task(executor.execute(call)) for call in calls]
            await asyncio.sleep(0.5)
            executor.quarantine.clear(0.5, 5)  # told by the node beside another target
            executor.suspects.trials.wake()
            replies = await asyncio.gather(*tasks)
            return {reply.kind for reply in replies}, asyncio.get_running_loop().time()

        kinds, elapsed = self.run_paused(scenario())
        self.assertEqual({''}, kinds)
        self.assertAlmostEqual(1.51, elapsed, places=6)

    # Other requests that the same crash ended became suspects first, and no trial was conclusive.
    def test_crash_during_a_trial_confirms_its_request_only(self):
        async def scenario() -> list[QuarantineState]:
            executor = build_executor(CrashingLaterTarget(), Quarantine())
            executor.quarantine.record(0.0, 5, [Crash(1)])
            calls = [build_pending_call(fingerprint=number) for number in (4, 5, 6)]
            await asyncio.gather(*map(executor.execute, calls))
            return [executor.quarantine.check(1.0, number) for number in (4, 5, 6)]

        before, tried, after = self.run_paused(scenario())
        self.assertEqual([Suspected(), Suspected()], [before, after])
        self.assertIsInstance(tried, Quarantined)

    # The target crashed during the trial of one suspect because of another that was in progress.
    def test_crash_beside_another_suspect_confirms_neither(self):
        async def scenario() -> QuarantineState:
            client = CrashingLaterTarget()
            executor = build_executor(client, Quarantine())
            first = asyncio.create_task(executor.execute(build_pending_call(fingerprint=6)))
            await asyncio.sleep(0.01)
            executor.quarantine.record(0.0, 5, [Crash(1)])
            executor.quarantine.record(0.0, 6, [Crash(1)])
            await asyncio.gather(first, executor.execute(build_pending_call(fingerprint=5)))
            return executor.quarantine.check(1.0, 5)

        self.assertEqual(Suspected(), self.run_paused(scenario()))

    def test_reply_has_retry_after_when_a_downstream_call_was_refused(self):
        # A downstream service is overloaded and refuses the target's call, and the target
        # answers 502 without Retry-After: its caller would retry at once. A call that must run
        # only once gets no Retry-After, because its reply is final.
        for idempotent, seconds in ((True, 2.0), (False, 0.0)):
            client = DownstreamRefusedTarget()

            def build(client=client) -> Executor:
                executor = build_executor(client, Quarantine())
                client.running = executor.running
                return executor

            reply = self.execute(build, idempotent=idempotent)
            self.assertEqual((502, seconds), (reply.status, reply.retry_after))

    def test_barred_request_is_refused_without_retry_after(self):
        reply = self.execute(lambda: build_executor(FakeTarget(), Quarantine()), crashes=CONFIRMED)
        self.assertEqual(ErrorKind.QUARANTINED.value, reply.kind)
        self.assertEqual(0, reply.retry_after)

    def test_observe_mode_neither_bars_nor_delays_a_suspect(self):
        # One request crashed two targets, two others crashed one each. In observe mode none is
        # refused or waits for another; the refusal that enforcing would cause is counted.
        async def scenario() -> tuple[list[int], float, int]:
            executor = build_executor(
                SlowTarget(), Quarantine(), is_observe_only=lambda service: True
            )
            works = [
                build_pending_call(fingerprint=n, crashes=crashes)
                for n, crashes in ((1, CONFIRMED), (2, (Crash(3),)), (3, (Crash(4),)))
            ]
            replies = await asyncio.gather(*map(executor.execute, works))
            refused = executor.stats.observed_refusals[ErrorKind.QUARANTINED.value]
            return [r.status for r in replies], asyncio.get_running_loop().time(), refused

        statuses, elapsed, refused = self.run_paused(scenario())
        self.assertEqual([200] * 3, statuses)
        self.assertAlmostEqual(1.01, elapsed, places=6)
        self.assertEqual(1, refused)

    # A suspected request that waited for another one reached its target long after the drain.
    def test_suspects_that_wait_are_refused_when_the_target_drains(self):
        async def scenario() -> tuple[list[str], list[float]]:
            executor = build_executor(SlowTarget(), Quarantine())
            loop = asyncio.get_running_loop()
            ended_at = []

            async def execute(number: int) -> str:
                reply = await executor.execute(
                    build_pending_call(fingerprint=number, crashes=(Crash(number + 1),))
                )
                ended_at.append(loop.time())
                return reply.kind

            suspects = [loop.create_task(execute(number)) for number in range(3)]
            await asyncio.sleep(0.5)
            executor.target.drain()
            executor.refuse_waiting()
            return await asyncio.gather(*suspects), ended_at

        kinds, ended_at = self.run_paused(scenario())
        self.assertEqual(['', 'draining', 'draining'], kinds)
        self.assertEqual([0.5, 0.5, 1.01], [round(at, 3) for at in ended_at])

    def test_observe_mode_counts_refusals_and_runs_the_call(self):
        # An older system still protects the service, so a refusal must only be counted: if both
        # systems refused calls, the targets would get too few.
        async def scenario() -> tuple[Reply, int]:
            executor = build_executor(
                FakeTarget(), Quarantine(), is_observe_only=lambda service: True
            )
            executor.admission.limit = 0
            replies = await asyncio.gather(
                *(executor.execute(build_pending_call()) for _ in range(5))
            )
            return replies[-1], sum(executor.stats.observed_refusals.values())

        reply, refused = self.run_paused(scenario())
        self.assertEqual(200, reply.status)
        self.assertGreater(refused, 0)
