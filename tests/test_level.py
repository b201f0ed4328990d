from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.level import AdmittedLevel, ChainLevels, ReportedLevel


class AdmittedLevelTest(TestCase):
    def offer(self, level: AdmittedLevel, levels: range, begin: float, seconds: float, rate: int):
        for i in range(int(seconds * rate)):
            level.record_arrival(levels[i * 7 % len(levels)])
            level.update(begin + i / rate, capacity=100.0)

    def test_level_admits_what_the_capacity_takes(self):
        level = AdmittedLevel()
        self.offer(level, range(256, 384), 0.0, 5.0, rate=400)
        self.assertGreater(level.level, 256 + 128 * 0.15)
        self.assertLess(level.level, 256 + 128 * 0.35)

    def test_critical_requests_go_last(self):
        level = AdmittedLevel()
        self.offer(level, [*range(128)] + [*range(256, 384)] * 9, 0.0, 5.0, rate=500)
        self.assertGreater(level.level, 127)

    def test_level_opens_within_two_seconds_of_the_end(self):
        # The overload is over, and callers are still refused. The target remembers the
        # demand at the shut levels, and sees only the open ones: what is refused by the hops
        # above never arrives. That the open ones fell to a tenth must count for all.
        level = AdmittedLevel()
        self.offer(level, range(256, 384), 0.0, 5.0, rate=1000)
        for i in range(200):
            wanted = 256 + i * 37 % 128
            if wanted <= level.level:
                level.record_arrival(wanted)
            level.update(5.0 + i / 100, capacity=100.0)
        self.assertGreaterEqual(level.level, 383)

    def test_level_opens_at_once_with_spare_capacity(self):
        # Callers are refused though the target has free places and nothing waits: what it
        # remembers of the demand at shut levels is taken for demand of now.
        level = AdmittedLevel()
        self.offer(level, range(256, 384), 0.0, 5.0, rate=1000)
        self.assertLess(level.level, 300)
        level.update(5.2, capacity=100.0, idle=0.1)
        self.assertEqual(LOWEST_LEVEL, level.level)


class ChainLevelsTest(TestCase):
    def test_entry_refuses_what_a_deeper_hop_would_refuse(self):
        levels = ChainLevels()
        levels.record_response(0.0, 'schedules', 'cuts', ReportedLevel(300.0))
        failure = levels.check(0.1, 'schedules', 'cuts', 320)
        self.assertEqual(ErrorKind.REFUSED_EARLY, failure.kind)
        self.assertGreaterEqual(failure.retry_after, 1.0)
        self.assertIsNone(levels.check(0.1, 'schedules', 'cuts', 290))

    def test_callers_refused_together_do_not_come_back_together(self):
        # Each second all callers that a surge had refused come at once, are refused again at
        # once, and the next second is the same: all were told the same Retry-After.
        levels = ChainLevels()
        levels.record_response(0.0, 'schedules', 'cuts', ReportedLevel(300.0))
        told = [levels.check(0.1, 'schedules', 'cuts', 320).retry_after for _ in range(100)]
        self.assertGreater(len({round(seconds, 2) for seconds in told}), 30)

    def test_only_the_entry_refuses_early(self):
        # Callers lose requests that are almost done. The level falls a little while they are
        # on their way, and the tenth hop refuses what the first has let in.
        levels = ChainLevels()
        levels.record_response(0.0, 'schedules', 'cuts', ReportedLevel(300.0))
        self.assertIsNone(levels.check(0.1, 'schedules', 'cuts', 320, hop=10))

    def test_entry_opens_at_once_when_its_demand_falls(self):
        # The surge has ended, and callers are refused for seconds more. The target down the
        # chain works off what is on its way, so its level stays low, while the entry can see
        # that a tenth of the demand is left.
        levels = ChainLevels()
        levels.record_response(0.0, 'schedules', 'cuts', ReportedLevel(268.0))
        for i in range(1500):
            levels.check(i / 500, 'schedules', 'cuts', 256 + i * 37 % 128)
            levels.record_response(i / 500, 'schedules', 'cuts', ReportedLevel(268.0))
        self.assertIsNotNone(levels.check(3.0, 'schedules', 'cuts', 300))
        for i in range(50):
            levels.check(3.0 + i / 50, 'schedules', 'cuts', 256 + i * 37 % 128)
            levels.record_response(3.0 + i / 50, 'schedules', 'cuts', ReportedLevel(268.0))
        self.assertIsNone(levels.check(4.0, 'schedules', 'cuts', 300))

    def test_middle_hop_reports_the_worst_of_its_chain(self):
        levels = ChainLevels()
        levels.record_call(0.0, 'stock', 'schedules', 'cuts')
        levels.record_response(0.0, 'schedules', 'cuts', ReportedLevel(300.0))
        self.assertEqual(300.0, levels.lowest_in_chain(0.1, 'stock', ReportedLevel(400.0)).level)
        self.assertEqual(400.0, levels.lowest_in_chain(0.1, 'other', ReportedLevel(400.0)).level)

    def test_stale_level_opens_by_itself(self):
        # The caller is refused for ever though the overload is over. The entry refuses all
        # calls to the service early, so no answer comes that would bring a better level.
        levels = ChainLevels()
        levels.record_response(0.0, 'schedules', 'cuts', ReportedLevel(-1.0))
        self.assertIsNotNone(levels.check(0.4, 'schedules', 'cuts', LOWEST_LEVEL))
        self.assertIsNone(levels.check(3.0, 'schedules', 'cuts', LOWEST_LEVEL))

    def test_service_whose_targets_are_back_is_open_at_once(self):
        # All targets were lost together. They are back within a second, and callers of the
        # least valued rank are refused for another one and a half: the level opens by steps,
        # as if there were a load that too many callers would bring back.
        levels = ChainLevels()
        levels.record_unavailable(0.0, 'schedules', 'cuts')
        self.assertIsNotNone(levels.check(0.4, 'schedules', 'cuts', 0))
        self.assertIsNone(levels.check(0.6, 'schedules', 'cuts', LOWEST_LEVEL))

    def test_level_does_not_live_on_in_a_circle_of_services(self):
        # Two services call each other. Each reports the other's level as part of its chain,
        # so each confirms what it once heard from the other, and both refuse for ever.
        one, other = ChainLevels(), ChainLevels()
        one.record_call(0.0, 'a', 'other', 'b')
        other.record_call(0.0, 'b', 'one', 'a')
        one.record_response(0.0, 'other', 'b', ReportedLevel(10.0))
        for step in range(40):
            now = step * 0.1
            other.record_response(
                now, 'one', 'a', one.lowest_in_chain(now, 'a', ReportedLevel(LOWEST_LEVEL))
            )
            one.record_response(
                now, 'other', 'b', other.lowest_in_chain(now, 'b', ReportedLevel(LOWEST_LEVEL))
            )
        self.assertGreater(one.admitted_level(4.0, 'other', 'b'), 500)
