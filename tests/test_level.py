from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.level import AdmittedLevel, ChainLevels, Heard


class AdmittedLevelTest(TestCase):
    def offer(self, level: AdmittedLevel, levels: range, begin: float, seconds: float, rate: int):
        for i in range(int(seconds * rate)):
            level.arrived(levels[i * 7 % len(levels)])
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
                level.arrived(wanted)
            level.update(5.0 + i / 100, capacity=100.0)
        self.assertGreaterEqual(level.level, 383)


class ChainLevelsTest(TestCase):
    def test_entry_refuses_what_a_deeper_hop_would_refuse(self):
        levels = ChainLevels()
        levels.learn(0.0, 'schedules', 'cuts', Heard(300.0))
        failure = levels.check(0.1, 'schedules', 'cuts', 320)
        self.assertEqual(ErrorKind.REFUSED_EARLY, failure.kind)
        self.assertGreaterEqual(failure.retry_after, 1.0)
        self.assertIsNone(levels.check(0.1, 'schedules', 'cuts', 290))

    def test_middle_hop_reports_the_worst_of_its_chain(self):
        levels = ChainLevels()
        levels.called(0.0, 'stock', 'schedules', 'cuts')
        levels.learn(0.0, 'schedules', 'cuts', Heard(300.0))
        self.assertEqual(300.0, levels.worst(0.1, 'stock', 400.0).level)
        self.assertEqual(400.0, levels.worst(0.1, 'other', 400.0).level)

    def test_stale_level_opens_by_itself(self):
        # The caller is refused for ever though the overload is over. The entry refuses all
        # calls to the service early, so no answer comes that would bring a better level.
        levels = ChainLevels()
        levels.learn(0.0, 'schedules', 'cuts', Heard(-1.0))
        self.assertIsNotNone(levels.check(0.4, 'schedules', 'cuts', LOWEST_LEVEL))
        self.assertIsNone(levels.check(3.0, 'schedules', 'cuts', LOWEST_LEVEL))

    def test_level_does_not_live_on_in_a_circle_of_services(self):
        # Two services call each other. Each reports the other's level as part of its chain,
        # so each confirms what it once heard from the other, and both refuse for ever.
        one, other = ChainLevels(), ChainLevels()
        one.called(0.0, 'a', 'other', 'b')
        other.called(0.0, 'b', 'one', 'a')
        one.learn(0.0, 'other', 'b', Heard(10.0))
        for step in range(40):
            now = step * 0.1
            other.learn(now, 'one', 'a', one.worst(now, 'a', LOWEST_LEVEL))
            one.learn(now, 'other', 'b', other.worst(now, 'b', LOWEST_LEVEL))
        self.assertGreater(one.admitted(4.0, 'other', 'b'), 500)
