from testtools import TestCase

from dunlinsaddle.errors import RESPONSE_RULES, ErrorKind, Failure, Outcome, problem_document


class ErrorTableTest(TestCase):
    def test_every_kind_has_one_answer(self):
        self.assertEqual(set(ErrorKind), set(RESPONSE_RULES))

    def test_resend_is_never_offered_without_an_outcome_that_allows_it(self):
        unsafe = {
            kind
            for kind, rule in RESPONSE_RULES.items()
            if rule.resend and rule.outcome is Outcome.UNKNOWN
        }
        # Each of these comes with an idempotency key or a change id, which makes resending safe.
        keyed = {ErrorKind.KEY_IN_PROGRESS, ErrorKind.OWNER_UNREACHABLE}
        # These were refused unread: this send did not run, of an earlier one nothing is known.
        unread = {ErrorKind.REQUEST_TIMEOUT, ErrorKind.TOO_MANY_CONNECTIONS}
        self.assertEqual(keyed | unread | {ErrorKind.PLATFORM_UNAVAILABLE}, unsafe)

    def test_problem_names_kind_outcome_and_detail(self):
        problem = problem_document(Failure(ErrorKind.DRAINING, 'bangor-1 is leaving'))
        self.assertEqual(503, problem.status)
        self.assertEqual(Outcome.NOT_RUN, problem.outcome)
        self.assertTrue(problem.type.endswith('/draining'))
        self.assertEqual('bangor-1 is leaving', problem.detail)
