from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.quarantine import (
    MAX_FINGERPRINTS,
    SUSPECT_SECONDS,
    NotSuspected,
    Quarantine,
    Quarantined,
    Suspected,
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
        self.quarantine.record_death(0.0, KILLER)
        self.assertEqual(Suspected(), self.quarantine.check(1.0, KILLER))
        self.quarantine.record_death(1.0, KILLER)
        standing = self.quarantine.check(2.0, KILLER)
        assert isinstance(standing, Quarantined)
        self.assertEqual(ErrorKind.QUARANTINED, standing.failure.kind)

    def test_innocent_request_clears_itself_by_completing(self):
        self.quarantine.record_death(0.0, INNOCENT)
        self.quarantine.record_completion(1.0, INNOCENT)
        self.assertEqual(NotSuspected(), self.quarantine.check(1.0, INNOCENT))

    def test_barred_request_is_not_cleared_by_an_old_completion(self):
        self.quarantine.merge_deaths(0.0, KILLER, 2)
        self.quarantine.record_completion(1.0, KILLER)
        self.assertIsInstance(self.quarantine.check(1.0, KILLER), Quarantined)

    def test_higher_count_of_a_peer_stays(self):
        self.quarantine.merge_deaths(0.0, KILLER, 2)
        self.quarantine.merge_deaths(0.0, KILLER, 1)
        self.assertEqual(2, self.quarantine.death_count(1.0, KILLER))

    def test_suspicion_ends_after_a_time(self):
        self.quarantine.record_death(0.0, INNOCENT)
        self.assertEqual(NotSuspected(), self.quarantine.check(SUSPECT_SECONDS, INNOCENT))

    def test_memory_is_bounded(self):
        for fingerprint in range(MAX_FINGERPRINTS + 100):
            self.quarantine.record_death(0.0, fingerprint)
        self.assertEqual(MAX_FINGERPRINTS, len(self.quarantine))
