from testtools import TestCase

from dunlinsaddle.errors import RESPONSE_RULES, ErrorKind, Failure, Outcome, problem_document


class ErrorTableTest(TestCase):
    def test_every_kind_has_a_response_rule(self):
        self.assertEqual(set(ErrorKind), set(RESPONSE_RULES))

    def test_resend_is_allowed_with_unknown_outcome_only_where_it_is_safe(self):
        unknown_outcome = {
            kind
            for kind, rule in RESPONSE_RULES.items()
            if rule.resend and rule.outcome is Outcome.UNKNOWN
        }
        # These requests have an idempotency key or a change id, which makes resending safe.
        keyed = {ErrorKind.KEY_IN_PROGRESS, ErrorKind.OWNER_UNREACHABLE}
        # Refused before they were read: this send did not run, but an earlier one may have.
        unread = {ErrorKind.REQUEST_TIMEOUT, ErrorKind.TOO_MANY_CONNECTIONS}
        self.assertEqual(keyed | unread | {ErrorKind.PLATFORM_UNAVAILABLE}, unknown_outcome)

    def test_problem_document_has_kind_outcome_and_detail(self):
        problem = problem_document(Failure(ErrorKind.DRAINING, 'bangor-1 is leaving'))
        self.assertEqual(503, problem.status)
        self.assertEqual(Outcome.NOT_RUN, problem.outcome)
        self.assertTrue(problem.type.endswith('/draining'))
        self.assertEqual('bangor-1 is leaving', problem.detail)
