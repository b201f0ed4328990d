from random import Random

from testtools import TestCase

from dunlinsaddle.policy.sliding_count import SlidingCount


class SlidingCountTest(TestCase):
    def test_no_window_counts_less_than_there_was(self):
        # The bounds of quotas and of repeats rest on it, whenever they ask.
        rng = Random(3)
        count, times, now = SlidingCount(0.1, 100), [], 0.0
        for _ in range(2000):
            now += rng.expovariate(40)
            count.add(now)
            times.append(now)
            inside = sum(now - 5 <= t for t in times)
            within = sum(now - 5.2 <= t for t in times)
            self.assertTrue(inside <= count.total(now, 50) <= within)

    def test_windows_before_the_present_one(self):
        count = SlidingCount(1.0, 20)
        count.add(3.5, 7)
        self.assertEqual((0, 7), (count.total(18.0, 10), count.total(18.0, 10, 10)))
        self.assertEqual(0, count.total(40.0, 10, 10))

    def test_what_is_taken_back_is_of_the_newest_bucket(self):
        count = SlidingCount(1.0, 10)
        count.add(1.0, 2)
        self.assertEqual(2, count.total(1.0, 10))
        for left in (1, 0, 0):
            count.remove_one()
            self.assertEqual(left, count.total(1.0, 10))
