from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.quarantine import (
    FINGERPRINTS_MOST,
    SUSPECT_SECONDS,
    Alone,
    Barred,
    Clear,
    Quarantine,
)

KILLER = 7
INNOCENT = 8


class QuarantineTest(TestCase):
    def setUp(self):
        super().setUp()
        self.quarantine = Quarantine()

    def test_request_is_refused_for_good_after_two_deaths(self):
        # A request crashes each target that runs it, and its caller sends it again. The
        # first death makes it a suspect, the second bars it: no third target dies.
        self.quarantine.died(0.0, KILLER)
        self.assertEqual(Alone(), self.quarantine.standing(1.0, KILLER))
        self.quarantine.died(1.0, KILLER)
        standing = self.quarantine.standing(2.0, KILLER)
        assert isinstance(standing, Barred)
        self.assertEqual(ErrorKind.QUARANTINED, standing.failure.kind)

    def test_innocent_request_clears_itself_by_completing(self):
        self.quarantine.died(0.0, INNOCENT)
        self.quarantine.completed(1.0, INNOCENT)
        self.assertEqual(Clear(), self.quarantine.standing(1.0, INNOCENT))

    def test_barred_request_is_not_cleared_by_an_old_completion(self):
        self.quarantine.hear(0.0, KILLER, 2)
        self.quarantine.completed(1.0, KILLER)
        self.assertIsInstance(self.quarantine.standing(1.0, KILLER), Barred)

    def test_higher_count_of_a_peer_stays(self):
        self.quarantine.hear(0.0, KILLER, 2)
        self.quarantine.hear(0.0, KILLER, 1)
        self.assertEqual(2, self.quarantine.deaths(1.0, KILLER))

    def test_suspicion_ends_after_a_time(self):
        self.quarantine.died(0.0, INNOCENT)
        self.assertEqual(Clear(), self.quarantine.standing(SUSPECT_SECONDS, INNOCENT))

    def test_memory_is_bounded(self):
        for fingerprint in range(FINGERPRINTS_MOST + 100):
            self.quarantine.died(0.0, fingerprint)
        self.assertEqual(FINGERPRINTS_MOST, len(self.quarantine))
