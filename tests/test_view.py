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
    """Counts the scans over all members."""

    scans = 0

    def members(self):
        self.scans += 1
        return super().members()


class MemberViewTest(TestCase):
    def test_probing_scans_all_members_only_after_a_change(self):
        # A scan of 960 members took 1.5 ms four times per second and delayed requests. The cached
        # list must still follow each change: probing a member that is gone, or not probing a new
        # one, would break failure detection.
        view, me = CountingView(), build_member('me')
        probe_scheduler = ProbeScheduler(Random(1))
        for name in ('a', 'b', 'me'):
            view.merge(build_member(name))

        def probed_instances() -> set[str]:
            targets = [
                *(probe_scheduler.next_target(view, me) for _ in range(20)),
                *probe_scheduler.sample(view, me, 9, ''),
            ]
            return {m.instance for m in targets if m is not None}

        self.assertEqual(({'a', 'b'}, 1), (probed_instances(), view.scans))
        view.merge(build_member('c'))
        view.merge(build_member('a', state=State.DEAD))
        self.assertEqual(({'b', 'c'}, 2), (probed_instances(), view.scans))
        view.remove('b')
        self.assertEqual(({'c'}, 3), (probed_instances(), view.scans))

    def test_updates_in_any_order_result_in_the_same_view(self):
        updates = [
            build_member(incarnation=number, state=state)
            for number in (1, 2)
            for state in (State.ALIVE, State.SUSPECT, State.DEAD)
        ]
        for order in itertools.permutations(updates):
            view = MemberView()
            for update in order:
                view.merge(update)
            self.assertEqual(updates[-1], view.find('bangor-1'))

    def test_suspected_members_do_not_serve_while_others_are_alive(self):
        view = MemberView()
        view.merge(build_member('bangor-1'))
        view.merge(build_member('bangor-2'))
        self.assertEqual(2, len(view.serving_members('cut-orders')))
        view.merge(build_member('bangor-1', state=State.SUSPECT))
        self.assertEqual(['bangor-2'], [m.instance for m in view.serving_members('cut-orders')])

    def test_suspected_members_serve_if_no_other_is_left(self):
        view = MemberView()
        view.merge(build_member('bangor-1', state=State.SUSPECT))
        view.merge(build_member('bangor-2', state=State.DRAINING))
        self.assertEqual(['bangor-1'], [m.instance for m in view.serving_members('cut-orders')])

    def test_a_removed_member_does_not_serve(self):
        view = MemberView()
        view.merge(build_member())
        view.serving_members('cut-orders')
        view.remove('bangor-1')
        self.assertEqual([], view.serving_members('cut-orders'))


class TargetMonitorTest(PausedClockTest):
    def test_heartbeat_status_depends_on_the_time_since_the_last_announcement(self):
        monitor = TargetMonitor()
        self.assertEqual(HeartbeatStatus.FRESH, monitor.heartbeat_status(100))
        for time in (96, 98, 100):
            monitor.record_announcement(time)
        statuses = [monitor.heartbeat_status(100 + silence) for silence in (2.1, 2.2, 5.9, 6.0)]
        self.assertEqual(
            [
                HeartbeatStatus.FRESH,
                HeartbeatStatus.LATE,
                HeartbeatStatus.LATE,
                HeartbeatStatus.GONE,
            ],
            statuses,
        )

    def test_a_target_that_announced_itself_only_once_is_late_but_not_gone(self):
        # The target announces itself only at its start. It must not count as gone for missing
        # heartbeats that it never sent.
        monitor = TargetMonitor()
        monitor.record_announcement(0)
        self.assertEqual(HeartbeatStatus.LATE, monitor.heartbeat_status(1000))

    def test_a_late_target_is_gone_only_if_it_refuses_connections(self):
        # A slow target must stay in service after one late announcement.
        async def scenario():
            loop = asyncio.get_running_loop()
            await loop.create_server(asyncio.Protocol, '127.0.0.1', 80)
            monitor = TargetMonitor()
            monitor.record_announcement(0)
            accepts = await monitor.is_gone(3, Address('127.0.0.1', 80))
            refuses = await monitor.is_gone(3, Address('127.0.0.1', 81))
            return accepts, refuses

        self.assertEqual((False, True), self.run_paused(scenario()))


class ViewChangeTest(TestCase):
    def test_only_newer_updates_are_reported(self):
        changes = []
        view = MemberView(lambda before, now: changes.append((before, now)))
        first = build_member()
        suspect = first._replace(state=State.SUSPECT)
        for update in (first, suspect, first):
            view.merge(update)
        self.assertEqual([(None, first), (first, suspect)], changes)
