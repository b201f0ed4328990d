from random import Random

from testtools import TestCase

from dunlinsaddle.policy.sliding_count import SlidingCount


class SlidingCountTest(TestCase):
    def test_window_never_counts_fewer_events_than_occurred(self):
        # The bounds of quotas and of the retry budget depend on it at any time.
        rng = Random(3)
        count, times, now = SlidingCount(0.1, 100), [], 0.0
        for _ in range(2000):
            now += rng.expovariate(40)
            count.add(now)
            times.append(now)
            at_least = sum(now - 5 <= t for t in times)
            at_most = sum(now - 5.2 <= t for t in times)
            self.assertTrue(at_least <= count.total(now, 50) <= at_most)

    def test_total_of_an_earlier_window(self):
        count = SlidingCount(1.0, 20)
        count.add(3.5, 7)
        self.assertEqual((0, 7), (count.total(18.0, 10), count.total(18.0, 10, 10)))
        self.assertEqual(0, count.total(40.0, 10, 10))

    def test_events_are_removed_from_the_newest_bucket_only(self):
        count = SlidingCount(1.0, 10)
        count.add(1.0, 2)
        self.assertEqual(2, count.total(1.0, 10))
        for remaining in (1, 0, 0):
            count.remove_one()
            self.assertEqual(remaining, count.total(1.0, 10))
