from testtools import TestCase

from dunlinsaddle.policy.retry_budget import SPENDABLE_SHARE, RetryBudget


class RetryBudgetTest(TestCase):
    def spend_all(self, budget, now):
        spent = 0
        while budget.spend(now, 'svc'):
            spent += 1
        return spent

    def test_repeats_are_a_share_of_what_this_node_sent_and_of_the_extra(self):
        budget = RetryBudget(0.2, 40.0, 10.0)
        budget.node_count = 4
        for _ in range(400):
            budget.record_request(1.0, 'svc')
        self.assertEqual(
            int(400 * 0.2 * SPENDABLE_SHARE + 40 * SPENDABLE_SHARE / 4), self.spend_all(budget, 1.0)
        )

    def test_the_bound_holds_in_every_window(self):
        # A steady stream, spent as soon as it may be: no window of ten seconds holds more.
        budget = RetryBudget(0.2, 0.0, 10.0)
        spends = []
        for step in range(600):
            now = step * 0.1
            for _ in range(20):
                budget.record_request(now, 'svc')
            spends += [now] * self.spend_all(budget, now)
        for start in range(0, 50):
            inside = [t for t in spends if start <= t < start + 10]
            self.assertLessEqual(len(inside), 2200 * 0.2 * SPENDABLE_SHARE + 1)

    def test_a_fall_of_the_load_takes_nothing_from_the_budget_for_two_windows(self):
        budget = RetryBudget(0.2, 0.0, 10.0)
        for step in range(100):
            for _ in range(10):
                budget.record_request(step * 0.1, 'svc')
        whole = budget.allowed(9.9, 'svc')
        self.assertEqual(whole, budget.allowed(15.0, 'svc'))
        self.assertLess(budget.allowed(27.0, 'svc'), whole / 2)
        self.assertEqual(0.0, budget.allowed(45.0, 'svc'))

    def test_what_is_scarce_is_kept_for_the_most_valued(self):
        # Lookups fail by hundreds, and their repeats take the whole budget: the calls of
        # orders, which fail beside them, are not sent again.
        budget = RetryBudget(0.2, 0.0, 10.0)
        for _ in range(1000):
            budget.record_request(1.0, 'svc')
        lookups = 0
        while budget.spend(1.0, 'svc', level=300):
            lookups += 1
        orders = self.spend_all(budget, 1.0)
        self.assertLess(lookups, 0.75 * 200 * SPENDABLE_SHARE)
        self.assertGreater(orders, 0.25 * 200 * SPENDABLE_SHARE)

    def test_services_do_not_share(self):
        budget = RetryBudget(0.2, 0.0, 10.0)
        for _ in range(100):
            budget.record_request(1.0, 'svc')
        self.assertFalse(budget.spend(1.0, 'other'))

    def test_lookups_are_sent_again_where_nothing_more_valued_needs_it(self):
        # What a few lost answers take is far from the budget, and is nobody else's.
        budget = RetryBudget(0.2, 213.0, 10.0)
        budget.node_count = 194
        refused = 0
        for tick in range(3000):
            now = tick * 0.01
            budget.record_request(now, 'deep')
            if tick % 40 == 0:
                refused += not budget.spend(now, 'deep', 300)
        self.assertLess(refused, 5)
