from testtools import TestCase

from dunlinsaddle.mesh.shutdown import shutdown_times


class ShutdownTimesTest(TestCase):
    # Requests that started shortly before the end of a node were cut off.
    def test_each_request_has_half_of_the_grace_time_whatever_that_is(self):
        for grace_seconds in (1.0, 3.0, 6.0, 30.0):
            times = shutdown_times(100.0, grace_seconds)
            self.assertLessEqual(times.finish_at, times.refuse_at)
            self.assertLess(times.refuse_at, times.end_at)
            self.assertEqual(100.0 + grace_seconds / 2, times.refuse_at)
            self.assertLess(times.end_at, 100.0 + grace_seconds)

    def test_callers_come_for_as_long_as_they_need_to_learn_of_the_stop(self):
        self.assertEqual(102.5, shutdown_times(100.0, 30.0).finish_at)
