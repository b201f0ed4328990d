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

CRASHING = 7
HARMLESS = 8


class QuarantineTest(TestCase):
    def setUp(self):
        super().setUp()
        self.quarantine = Quarantine()

    def test_request_is_refused_after_two_crashes(self):
        # A request crashes each target that runs it, and its caller resends it. It must be
        # refused before it crashes a third target.
        self.quarantine.record_crash(0.0, CRASHING)
        self.assertEqual(Suspected(), self.quarantine.check(1.0, CRASHING))
        self.quarantine.record_crash(1.0, CRASHING)
        state = self.quarantine.check(2.0, CRASHING)
        assert isinstance(state, Quarantined)
        self.assertEqual(ErrorKind.QUARANTINED, state.failure.kind)

    def test_completed_request_is_no_longer_suspected(self):
        self.quarantine.record_crash(0.0, HARMLESS)
        self.quarantine.record_completion(1.0, HARMLESS)
        self.assertEqual(NotSuspected(), self.quarantine.check(1.0, HARMLESS))

    def test_quarantined_request_is_not_cleared_by_a_late_completion(self):
        self.quarantine.merge_crash_count(0.0, CRASHING, 2)
        self.quarantine.record_completion(1.0, CRASHING)
        self.assertIsInstance(self.quarantine.check(1.0, CRASHING), Quarantined)

    def test_higher_count_of_another_node_remains(self):
        self.quarantine.merge_crash_count(0.0, CRASHING, 2)
        self.quarantine.merge_crash_count(0.0, CRASHING, 1)
        self.assertEqual(2, self.quarantine.crash_count(1.0, CRASHING))

    def test_suspicion_expires(self):
        self.quarantine.record_crash(0.0, HARMLESS)
        self.assertEqual(NotSuspected(), self.quarantine.check(SUSPECT_SECONDS, HARMLESS))

    def test_memory_is_bounded(self):
        for fingerprint in range(MAX_FINGERPRINTS + 100):
            self.quarantine.record_crash(0.0, fingerprint)
        self.assertEqual(MAX_FINGERPRINTS, len(self.quarantine))
