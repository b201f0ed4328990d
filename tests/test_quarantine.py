from itertools import permutations

from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.quarantine import (
    FIRST_REFUSAL_SECONDS,
    MAX_CLEARED,
    MAX_COMPLETED,
    MAX_CRASHES,
    MAX_FINGERPRINTS,
    PAUSE_SECONDS,
    QUARANTINE_SECONDS,
    REFUSAL_GROWTH,
    SUSPECT_SECONDS,
    UNNAMED_CRASH,
    Crash,
    NotSuspected,
    Paused,
    Quarantine,
    Quarantined,
    Suspected,
    choose_trial_instance,
    crashes_by_number,
    number_of_crashes,
)

CRASHING = 7
HARMLESS = 8
FIRST, SECOND, THIRD = Crash(1), Crash(2), Crash(3)
TRIAL = Crash(4, was_trial=True)


class QuarantineTest(TestCase):
    def setUp(self):
        super().setUp()
        self.quarantine = Quarantine()

    def record(self, now: float, *crashes: Crash, fingerprint: int = HARMLESS) -> None:
        self.quarantine.record(now, fingerprint, crashes)

    # A request crashes each target that runs it, and its caller resends it: two targets are lost.
    def test_request_is_refused_after_a_crash_during_its_trial(self):
        self.record(0.0, FIRST, fingerprint=CRASHING)
        self.assertEqual(Suspected(), self.quarantine.check(1.0, CRASHING))
        self.record(1.0, TRIAL, fingerprint=CRASHING)
        state = self.quarantine.check(2.0, CRASHING)
        assert isinstance(state, Quarantined)
        self.assertEqual(ErrorKind.QUARANTINED, state.failure.kind)

    # One crash ended two equal requests, and each of them counted as a crash: 422 for 15 minutes.
    def test_one_crash_counts_once_however_often_it_is_reported(self):
        for now in range(10):
            self.record(float(now), FIRST)
        self.assertEqual((FIRST,), self.quarantine.crashes(9.0, HARMLESS))
        self.assertEqual(Suspected(), self.quarantine.check(9.0, HARMLESS))

    # A report that is repeated all the time would keep a suspicion for good.
    def test_repeated_reports_do_not_prolong_the_suspicion(self):
        for now in (0.0, 60.0, 119.0):
            self.record(now, FIRST)
        self.assertEqual(NotSuspected(), self.quarantine.check(SUSPECT_SECONDS, HARMLESS))

    # A third of all targets lost power while each ran a popular request, which was then denied.
    def test_many_crashes_that_were_no_trials_do_not_refuse_a_request(self):
        self.record(0.0, *(Crash(name) for name in range(1, 300)))
        self.assertEqual(Suspected(), self.quarantine.check(0.0, HARMLESS))
        self.assertEqual(MAX_CRASHES, len(self.quarantine.crashes(0.0, HARMLESS)))

    # A popular request stayed suspected, or refused, although equal ones completed all the time.
    def test_completion_of_an_equal_request_takes_all_crashes_back(self):
        self.record(0.0, FIRST, TRIAL)
        self.assertEqual((FIRST.name, TRIAL.name), self.quarantine.clear(1.0, HARMLESS))
        self.assertEqual(NotSuspected(), self.quarantine.check(1.0, HARMLESS))
        self.assertEqual((), self.quarantine.clear(1.0, HARMLESS))

    # The report of a node that was frozen came after the completion, and the denial began anew.
    def test_report_that_arrives_after_the_clearing_changes_nothing(self):
        self.record(0.0, FIRST)
        self.quarantine.clear(1.0, HARMLESS)
        self.record(2.0, FIRST)
        self.assertEqual(NotSuspected(), self.quarantine.check(2.0, HARMLESS))

    # Messages of different nodes overtake each other: the clearing arrives before the report.
    def test_clearing_may_arrive_before_the_report(self):
        self.quarantine.merge_cleared(0.0, HARMLESS, [FIRST.name])
        self.record(1.0, FIRST, SECOND)
        self.assertEqual((SECOND,), self.quarantine.crashes(1.0, HARMLESS))

    # Nodes that got the same reports in another order disagreed, and some refused the request.
    def test_all_orders_of_the_same_reports_lead_to_the_same_belief(self):
        def report(*crashes: Crash):
            return lambda quarantine: quarantine.record(0.0, HARMLESS, crashes)

        def clearing(*names: int):
            return lambda quarantine: quarantine.merge_cleared(0.0, HARMLESS, names)

        reports = [
            report(FIRST),
            report(FIRST, SECOND),
            report(Crash(SECOND.name, was_trial=True)),
            report(Crash(SECOND.name, completed_before=True)),
            report(THIRD),
            clearing(FIRST.name),
            clearing(FIRST.name, THIRD.name),
        ]
        beliefs = set()
        for order in permutations(reports):
            quarantine = Quarantine()
            for apply in (*order, order[0]):
                apply(quarantine)
            beliefs.add(quarantine.crashes(0.0, HARMLESS))
        self.assertEqual({(Crash(SECOND.name, True, True),)}, beliefs)

    # A node that did not know of the latest crash cannot take it back.
    def test_clearing_leaves_crashes_that_its_sender_did_not_know(self):
        self.record(0.0, FIRST, TRIAL)
        self.quarantine.merge_cleared(1.0, HARMLESS, [FIRST.name])
        self.assertIsInstance(self.quarantine.check(1.0, HARMLESS), Quarantined)

    # All targets crashed within a second, one of them in the trial of a popular request: 422.
    def test_request_that_completed_before_is_refused_after_two_trials_only(self):
        self.record(0.0, Crash(1, completed_before=True), TRIAL)
        self.assertIsInstance(self.quarantine.check(PAUSE_SECONDS - 0.1, HARMLESS), Paused)
        self.assertEqual(Suspected(), self.quarantine.check(PAUSE_SECONDS, HARMLESS))
        self.record(PAUSE_SECONDS, Crash(5, was_trial=True))
        self.assertIsInstance(self.quarantine.check(PAUSE_SECONDS, HARMLESS), Quarantined)

    # Two calls that one crash ended knew different parts of it, and the later report was ignored.
    def test_reports_of_one_crash_add_up(self):
        self.record(0.0, Crash(1, completed_before=True))
        self.record(0.0, Crash(1, was_trial=True))
        self.assertEqual((Crash(1, True, True),), self.quarantine.crashes(0.0, HARMLESS))

    def test_completed_requests_are_remembered_within_a_bound(self):
        for fingerprint in range(MAX_COMPLETED + 1):
            self.quarantine.record_completion(fingerprint)
        known = [self.quarantine.has_completed(number) for number in (0, 1, MAX_COMPLETED)]
        self.assertEqual([False, True, True], known)

    # A wrong refusal held for 15 minutes; a right one must not be given up every few seconds.
    def test_each_confirmed_crash_makes_the_next_trial_wait_longer(self):
        now, seconds = 0.0, FIRST_REFUSAL_SECONDS
        for name in range(1, 5):
            self.record(now, Crash(name, was_trial=True))
            end = now + min(seconds, QUARANTINE_SECONDS)
            self.assertIsInstance(self.quarantine.check(end - 0.1, HARMLESS), Quarantined)
            now, seconds = end, seconds * REFUSAL_GROWTH
            self.assertNotIsInstance(self.quarantine.check(now, HARMLESS), Quarantined)
        self.assertGreater(now, 15 * 60)

    def test_suspicion_expires(self):
        self.record(0.0, FIRST)
        self.assertEqual(NotSuspected(), self.quarantine.check(SUSPECT_SECONDS, HARMLESS))

    def test_crash_after_the_expiry_counts_alone(self):
        self.record(0.0, FIRST)
        self.record(SUSPECT_SECONDS, SECOND)
        self.assertEqual((SECOND,), self.quarantine.crashes(SUSPECT_SECONDS, HARMLESS))

    # A call with the count of an older build, which counts each request, would be refused.
    def test_number_of_an_older_build_makes_a_suspect_only(self):
        self.record(0.0, *crashes_by_number(2))
        self.assertEqual(Suspected(), self.quarantine.check(0.0, HARMLESS))
        self.assertEqual((Crash(UNNAMED_CRASH),), self.quarantine.crashes(0.0, HARMLESS))
        self.assertEqual((), crashes_by_number(0))

    def test_older_builds_are_told_to_refuse_what_a_trial_has_confirmed(self):
        numbers = [number_of_crashes(c) for c in ((), (FIRST, SECOND), (FIRST, TRIAL))]
        self.assertEqual([0, 1, 2], numbers)

    def test_node_that_starts_takes_over_what_a_peer_knows_with_its_age(self):
        self.record(0.0, FIRST, TRIAL, fingerprint=CRASHING)
        self.record(5.0, FIRST)
        restored = Quarantine()
        self.assertEqual(2, restored.restore(100.0, self.quarantine.snapshot(10.0), 1.0))
        self.assertEqual(NotSuspected(), restored.check(100.0 + SUSPECT_SECONDS - 6, HARMLESS))
        self.assertIsInstance(restored.check(100.0, CRASHING), Quarantined)

    def test_memory_is_bounded(self):
        for fingerprint in range(MAX_FINGERPRINTS + 100):
            self.record(0.0, FIRST, fingerprint=fingerprint)
        for name in range(MAX_CLEARED * 3):
            self.record(0.0, Crash(name))
            self.quarantine.clear(0.0, HARMLESS)
        self.assertEqual(MAX_FINGERPRINTS, len(self.quarantine))

    # Each node tried a suspected request at a target of its own, and all of them crashed.
    def test_all_nodes_try_a_request_at_the_same_target(self):
        names = [f'bangor-{index}' for index in range(8)]
        chosen = {choose_trial_instance(CRASHING, order) for order in (names, reversed(names))}
        self.assertEqual(1, len(chosen))
        spread = {choose_trial_instance(fingerprint, names) for fingerprint in range(100)}
        self.assertEqual(set(names), spread)
        self.assertIsNone(choose_trial_instance(CRASHING, []))
