"""A target that names in its answers how many requests a second it takes."""

import asyncio

from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.messages import RelayedTargetState
from dunlinsaddle.calls.target import AdvertisedState, LocalTarget
from dunlinsaddle.mesh.target_status import TargetStatus
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.settings import Address
from standins.soak_says import allowed
from tests.builders import build_logger
from tests.clock import PausedClockTest
from tests.fakes.mesh_load import ENTRIES, TARGETS, Callers
from tests.mesh_case import MeshTest


def name_rate(target, text):
    target.extra_headers = [(b'server-limit', text.encode())] if text else []


class NamedRateTest(MeshTest):
    """Three entries with 40 requests a second each, and three targets."""

    def fleet(self, scenario, targets=ENTRIES + TARGETS, asked=2.0, **terms):
        async def run(mesh):
            callers = Callers(mesh, 40.0)
            await callers.configure(**terms)
            await asyncio.sleep(1)
            await callers.ask_for(asked)
            return await scenario(mesh, callers)

        return self.run_mesh(run, configure=False, targets=targets)

    def named_by(self, names, text, seconds=10.0):
        """Let targets name a rate; give callers, the most in a window of each, and since when."""

        async def scenario(mesh, callers):
            named_at = asyncio.get_running_loop().time()
            for name in names:
                name_rate(mesh.targets[name], text)
            await callers.ask_for(seconds)
            await callers.end()
            most = [callers.most_in_window(mesh.targets[name], named_at) for name in names]
            return callers, most, named_at

        return self.fleet(scenario)

    def test_a_target_that_names_a_rate_gets_no_more_and_the_others_serve_the_rest(self):
        """A target in need that is not heard gets three times what it takes."""
        callers, most, named_at = self.named_by('t', '7.5')
        self.assertLessEqual(most[0], allowed(7.5))
        self.assertGreater(most[0], 0)
        for rank in (0, 2):
            self.assertGreaterEqual(callers.served(rank, named_at), 0.99)

    def test_requests_that_one_target_does_not_take_are_served_by_the_others(self):
        """Refused by the level of the target in need, callers lose what others have room for."""
        for names, text in (('t', '0.5'), ('tu', '7.5')):
            callers, most, named_at = self.named_by(names, text)
            self.assertLessEqual(max(most), allowed(float(text)))
            for rank in (0, 2):
                self.assertGreaterEqual(callers.served(rank, named_at), 0.99)

    def test_the_end_of_a_rate_is_heard_though_the_target_was_passed_over(self):
        """A target that nobody asks tells nobody that it takes everything again."""

        async def scenario(mesh, callers):
            target = mesh.targets['t']
            name_rate(target, '0')
            await callers.ask_for(5.0)
            name_rate(target, '')
            await callers.ask_for(12.0)
            before = len(target.arrivals)
            await callers.ask_for(3.0)
            await callers.end()
            return (len(target.arrivals) - before) / 3.0

        self.assertGreater(self.fleet(scenario), 20)

    def test_what_all_targets_rates_bear_goes_to_the_most_valued(self):
        """Without a queue by rank, orders are lost to views where targets are in need."""
        callers, most, named_at = self.named_by('tuv', '13')
        self.assertLessEqual(max(most), allowed(13))
        # 30 orders and 90 views a second; 39 of them may run.
        self.assertGreaterEqual(callers.served(0, named_at), 0.98)
        self.assertGreaterEqual(callers.served(2, named_at), 0.09)
        refused = [one for one in callers.asked if one.when > named_at and one.status != 200]
        self.assertEqual({503}, {one.status for one in refused})
        self.assertGreater(min(one.retry_after for one in refused), 0)

    def test_a_target_is_bound_as_long_as_it_names_a_rate(self):
        async def scenario(mesh, callers):
            counts = []
            target = mesh.targets['t']
            for text in ('7.5', '2', '', 'abc', '6'):
                name_rate(target, text)
                before = len(target.arrivals)
                await callers.ask_for(4.0)
                counts.append((len(target.arrivals) - before) / 4.0)
            await callers.end()
            return counts

        low, lower, none, unread, again = self.fleet(scenario)
        self.assertLessEqual(low, 9)
        self.assertLessEqual(lower, 3)
        self.assertGreater(none, 20)
        self.assertGreater(unread, 20)
        self.assertLessEqual(again, 8)

    def test_what_waits_goes_on_at_once_when_the_rate_rises(self):
        """The node waits for the moment that the old rate named, and callers with it."""

        async def scenario(mesh, callers):
            target = mesh.targets['t']
            name_rate(target, '0.25')
            await mesh.call('a', '/orders/x')
            asked = [
                asyncio.create_task(mesh.call('a', '/orders/x', timeout=20.0)) for _ in range(4)
            ]
            await asyncio.sleep(0.5)
            name_rate(target, '100')
            await asyncio.gather(*asked)
            whens = [arrival.when for arrival in target.arrivals[1:]]
            return whens[-1] - whens[0]

        long = {'timeout': '20s', 'targetLatency': None}
        self.assertLess(self.fleet(scenario, (*ENTRIES, 't:deep:d'), 0.0, **long), 0.2)


class NewsTest(PausedClockTest):
    """Answers that overtake one another, and those of another incarnation."""

    def rates(self, *steps):
        """Give the rate held after each answer: when it came, when its request went, its rate."""

        async def scenario():
            admission = SlotAdmission()
            decisions = DecisionLog(build_logger())
            status = TargetStatus(LocalTarget(), admission, decisions)
            loop, held = asyncio.get_running_loop(), []
            began = loop.time()
            for came, sent, rate in steps:
                await asyncio.sleep(began + came - loop.time())
                status.update('q', began + sent, AdvertisedState(rate))
                held.append(status.reported.rate)
            return held

        return self.run_paused(scenario())

    def test_a_lower_rate_holds_at_once(self):
        self.assertEqual([9.0, 5.0], self.rates((1, 0.5, 9.0), (2, 0, 5.0)))

    def test_an_answer_that_was_long_on_its_way_lifts_no_bound(self):
        """It was made before the target was in need, and comes after the answer that says so."""
        steps = ((1, 0.9, 5.0), (2, 0.5, None), (3, 0.5, 9.0), (4, 3.5, 9.0), (5, 4.5, None))
        self.assertEqual([5.0, 5.0, 5.0, 9.0, None], self.rates(*steps))

    def test_the_word_of_the_incarnation_before_does_not_count(self):
        async def scenario():
            decisions = DecisionLog(build_logger())
            status = TargetStatus(LocalTarget(), SlotAdmission(), decisions)
            sent_at = asyncio.get_running_loop().time()
            await asyncio.sleep(1)
            status.reset()
            status.update('q', sent_at, AdvertisedState(5.0))
            return status.reported

        self.assertEqual(AdvertisedState(), self.run_paused(scenario()))

    def test_a_node_that_was_started_again_holds_the_rate_that_entries_were_told(self):
        """Its first calls go to a target in need before an answer says so; later its word holds."""

        async def scenario():
            target = LocalTarget()
            status = TargetStatus(target, SlotAdmission(), DecisionLog(build_logger()))
            target.on_start = status.reset
            target.start_incarnation('deep', Address('h', 1), 'i-1', 7)
            held = []
            for told in (RelayedTargetState('i-1/6', 3.0), RelayedTargetState('i-1/7', 4.0)):
                status.restore('q', told)
                held.append(status.reported.rate)
            await asyncio.sleep(1)
            status.update('q', asyncio.get_running_loop().time(), AdvertisedState(9.0))
            status.restore('q', RelayedTargetState('i-1/7', 4.0))
            return [*held, status.reported.rate]

        self.assertEqual([None, 4.0, 9.0], self.run_paused(scenario()))
