from random import Random

from testtools import TestCase

from dunlinsaddle.explain import ExplainRequest, explain
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.route import Router
from tests.builders import build_member, build_record

RELEASE = ExplainRequest(service='cut-orders', method='POST', path='/orders/17/release')
READ = ExplainRequest(service='cut-orders', method='GET', path='/orders/17')


class ExplainTest(TestCase):
    def explain(self, request: ExplainRequest, members=(), load: Load | None = None, **changes):
        router = Router('bangor-hall', Random(1))
        for member in members:
            router.record_sent(member.instance)
            router.record_answer(0.0, member.instance, load)
        return explain(request, build_record(), members, router, 0.0, **changes)

    def test_shows_the_rule_with_its_rank_and_idempotency(self):
        explanation = self.explain(RELEASE, [build_member()])
        self.assertEqual(('release', 'critical', False), tuple(explanation.values())[1:4])
        self.assertEqual('admitted', explanation['verdict'])

    def test_verdict_when_no_target_is_known(self):
        self.assertIn('no target', self.explain(READ)['verdict'])

    def test_verdict_when_only_higher_priorities_are_admitted(self):
        self.assertIn('refused early', self.explain(READ, [build_member()], level=100)['verdict'])
        self.assertEqual('admitted', self.explain(RELEASE, [build_member()], level=127)['verdict'])

    def test_verdict_when_every_target_is_at_its_limit(self):
        explanation = self.explain(READ, [build_member()], Load(inflight=8, limit=8))
        self.assertIn('at its limit', explanation['verdict'])
