import asyncio
import itertools
from random import Random

from testtools import TestCase

from dunlinsaddle.membership.liveness import HeartbeatStatus, TargetMonitor
from dunlinsaddle.membership.probing import ProbeScheduler
from dunlinsaddle.membership.view import MemberView, State
from dunlinsaddle.settings import Address
from tests.builders import build_member
from tests.clock import PausedClockTest


class CountingView(MemberView):
    """Counts the walks over all members."""

    walks = 0

    def members(self):
        self.walks += 1
        return super().members()


class MemberViewTest(TestCase):
    def test_probing_walks_all_members_only_when_one_has_changed(self):
        # Four times a second a walk over 960 members took 1.5 ms, and the calls that came
        # meanwhile waited. What is kept must still follow each change: a probe of one that
        # has gone, or none of a fresh one, would make the failure detector blind.
        view, me = CountingView(), build_member('me')
        probe_scheduler = ProbeScheduler(Random(1))
        for name in ('a', 'b', 'me'):
            view.merge(build_member(name))

        def probed() -> set[str]:
            given = [
                *(probe_scheduler.next_target(view, me) for _ in range(20)),
                *probe_scheduler.sample(view, me, 9, ''),
            ]
            return {m.instance for m in given if m is not None}

        self.assertEqual(({'a', 'b'}, 1), (probed(), view.walks))
        view.merge(build_member('c'))
        view.merge(build_member('a', state=State.DEAD))
        self.assertEqual(({'b', 'c'}, 2), (probed(), view.walks))
        view.remove('b')
        self.assertEqual(({'c'}, 3), (probed(), view.walks))

    def test_words_in_any_order_end_in_the_same_view(self):
        words = [
            build_member(incarnation=number, state=state)
            for number in (1, 2)
            for state in (State.ALIVE, State.SUSPECT, State.DEAD)
        ]
        for order in itertools.permutations(words):
            view = MemberView()
            for word in order:
                view.merge(word)
            self.assertEqual(words[-1], view.find('bangor-1'))

    def test_serving_prefers_who_is_not_suspected(self):
        view = MemberView()
        view.merge(build_member('bangor-1'))
        view.merge(build_member('bangor-2'))
        self.assertEqual(2, len(view.serving_members('cut-orders')))
        view.merge(build_member('bangor-1', state=State.SUSPECT))
        self.assertEqual(['bangor-2'], [m.instance for m in view.serving_members('cut-orders')])

    def test_serving_falls_back_to_the_suspected_when_no_other_is_left(self):
        view = MemberView()
        view.merge(build_member('bangor-1', state=State.SUSPECT))
        view.merge(build_member('bangor-2', state=State.DRAINING))
        self.assertEqual(['bangor-1'], [m.instance for m in view.serving_members('cut-orders')])

    def test_a_dropped_member_serves_no_longer(self):
        view = MemberView()
        view.merge(build_member())
        view.serving_members('cut-orders')
        view.remove('bangor-1')
        self.assertEqual([], view.serving_members('cut-orders'))


class TargetWatchTest(PausedClockTest):
    def test_silence_is_judged_by_the_period_of_announcements(self):
        watch = TargetMonitor()
        self.assertEqual(HeartbeatStatus.FRESH, watch.heartbeat_status(100))
        for moment in (96, 98, 100):
            watch.record_announcement(moment)
        found = [watch.heartbeat_status(100 + silence) for silence in (2.1, 2.2, 5.9, 6.0)]
        self.assertEqual(
            [
                HeartbeatStatus.FRESH,
                HeartbeatStatus.LATE,
                HeartbeatStatus.LATE,
                HeartbeatStatus.GONE,
            ],
            found,
        )

    def test_a_target_that_announced_itself_once_is_not_gone_by_silence(self):
        # The target announces itself at its start and never again. Its calls must not end
        # after three periods of a heartbeat that it never promised.
        watch = TargetMonitor()
        watch.record_announcement(0)
        self.assertEqual(HeartbeatStatus.LATE, watch.heartbeat_status(1000))

    def test_a_late_target_is_gone_only_if_it_refuses_connections(self):
        # A slow target must not lose its service for one late announcement.
        async def scenario():
            loop = asyncio.get_running_loop()
            await loop.create_server(asyncio.Protocol, '127.0.0.1', 80)
            watch = TargetMonitor()
            watch.record_announcement(0)
            accepts = await watch.is_gone(3, Address('127.0.0.1', 80))
            refuses = await watch.is_gone(3, Address('127.0.0.1', 81))
            return accepts, refuses

        self.assertEqual((False, True), self.run_paused(scenario()))


class ViewChangeTest(TestCase):
    def test_only_newer_words_are_told(self):
        told = []
        view = MemberView(lambda before, now: told.append((before, now)))
        first = build_member()
        suspect = first._replace(state=State.SUSPECT)
        for word in (first, suspect, first):
            view.merge(word)
        self.assertEqual([(None, first), (first, suspect)], told)
