from random import Random

from testtools import TestCase

from dunlinsaddle.explain import ExplainRequest, explain
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.route import Router
from tests.builders import build_member, build_record

RELEASE = ExplainRequest(service='cut-orders', method='POST', path='/orders/17/release')
READ = ExplainRequest(service='cut-orders', method='GET', path='/orders/17')


class ExplainTest(TestCase):
    def explain(self, question: ExplainRequest, members=(), load: Load | None = None, **changes):
        router = Router('bangor-hall', Random(1))
        for member in members:
            router.record_sent(member.instance)
            router.record_answer(0.0, member.instance, load)
        return explain(question, build_record(), members, router, 0.0, **changes)

    def test_names_the_rule_and_what_it_is_worth(self):
        told = self.explain(RELEASE, [build_member()])
        self.assertEqual(('release', 'critical', False), tuple(told.values())[1:4])
        self.assertEqual('admitted', told['verdict'])

    def test_says_when_nobody_serves_it(self):
        self.assertIn('no target', self.explain(READ)['verdict'])

    def test_says_when_the_chain_admits_only_more_valued_requests(self):
        self.assertIn('refused early', self.explain(READ, [build_member()], level=100)['verdict'])
        self.assertEqual('admitted', self.explain(RELEASE, [build_member()], level=127)['verdict'])

    def test_says_when_every_target_is_full(self):
        told = self.explain(READ, [build_member()], Load(inflight=8, limit=8))
        self.assertIn('at its limit', told['verdict'])
