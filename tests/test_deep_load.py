from functools import cache

from testtools import TestCase

from dunlinsaddle.records.models import Rank
from tests.fakes.deep_load import DeepLoad, LoadPattern, RequestKind, RequestShares

SEEDS = (1,)
#: A chain of services whose last one is called four times for a lookup and eight times for an
#: order, and takes bookings itself; a lookup and a booking cost it about the same.
EQUAL_COST = (
    RequestKind('lookup', Rank.NORMAL, 245.0, 1.2, 5.0, 0.022, upstream_seconds=0.1, chains=1),
    RequestKind('order', Rank.CRITICAL, 103.0, 1.5, 5.0, 0.022, upstream_seconds=0.12, chains=2),
    RequestKind('booking', Rank.NORMAL, 28.0, 0.25, 1.0, 0.072),
)
EQUAL_COST_SLOTS = 20
#: The same with views in place of bookings, each of which costs as much as four lookups.
UNEQUAL_COST = (
    RequestKind('lookup', Rank.NORMAL, 179.0, 1.5, 5.0, 0.03, upstream_seconds=0.15, chains=1),
    RequestKind('order', Rank.CRITICAL, 87.0, 1.5, 5.0, 0.03, upstream_seconds=0.16, chains=2),
    RequestKind('view', Rank.NORMAL, 38.3, 1.2, 5.0, 0.48),
)
UNEQUAL_COST_SLOTS = 38
#: Orders are most of all and need four calls, fetches eight; views go to the deep service itself.
MOSTLY_ORDERS = (
    RequestKind('fetch', Rank.NORMAL, 65.0, 1.2, 5.0, 0.022, upstream_seconds=0.09, chains=2),
    RequestKind('order', Rank.CRITICAL, 105.0, 1.5, 5.0, 0.022, upstream_seconds=0.12, chains=1),
    RequestKind('view', Rank.NORMAL, 43.0, 1.2, 4.0, 0.36),
)
MOSTLY_ORDERS_SLOTS = 17
#: Three targets of 20 slots take 1.5 times the usual load of ALIKE, those of 38 slots twice
#: that of UNLIKE: a surge of 1.3 times as much, three in ten callers of which come again at once.
EQUAL_COST_SURGE = LoadPattern(surge=1.95, immediate_retries=0.3)
UNEQUAL_COST_SURGE = LoadPattern(surge=2.6, immediate_retries=0.3)
UNEQUAL_COST_LOST_TARGET = LoadPattern(surge=1.6, lost_targets=1)
#: All targets say of more than half of what arrives that they did not run it, for five seconds.
ALL_SHED = LoadPattern(shed_share=0.55)


@cache
def worst_shares(kinds, pattern, slots, **mechanisms) -> dict[str, RequestShares]:
    """Give the least share in time and the largest spoilt over the seeds; a run takes 3 s."""
    runs = [DeepLoad(kinds, pattern, s, slots=slots, **mechanisms).run() for s in SEEDS]
    return {
        kind.name: RequestShares(
            min(run[kind.name].in_time for run in runs),
            max(run[kind.name].wasted for run in runs),
        )
        for kind in kinds
    }


class UsualLoadTest(TestCase):
    def test_nearly_full_and_all_are_served(self):
        # At 0.93 of what the slots take, refusing by an estimate of the demand would cost
        # callers what the targets have room for.
        served = worst_shares(EQUAL_COST, LoadPattern(surge=1.4), EQUAL_COST_SLOTS)
        for share in served.values():
            self.assertGreater(share.in_time, 0.97)
        served = worst_shares(UNEQUAL_COST, LoadPattern(surge=1.86), UNEQUAL_COST_SLOTS)
        self.assertGreater(served['lookup'].in_time, 0.98)
        self.assertGreater(served['order'].in_time, 0.99)
        self.assertGreater(served['view'].in_time, 0.9)


class SurgeTest(TestCase):
    def test_requests_are_refused_where_they_enter_and_not_after_their_work(self):
        # Callers wait for an answer that fails after three hops, as one of four calls is
        # refused at the full service. Its level, told upstream, refuses the same requests
        # before they begin: a third of all lookups was begun in vain, now a sixth at most.
        with_levels = worst_shares(EQUAL_COST, EQUAL_COST_SURGE, EQUAL_COST_SLOTS)
        without = worst_shares(EQUAL_COST, EQUAL_COST_SURGE, EQUAL_COST_SLOTS, early_refusal=False)
        self.assertLess(with_levels['lookup'].wasted, 0.17)
        self.assertGreater(without['lookup'].wasted, 0.3)

    def test_the_most_valued_are_served_whole(self):
        served = worst_shares(EQUAL_COST, EQUAL_COST_SURGE, EQUAL_COST_SLOTS)
        self.assertGreater(served['order'].in_time, 0.99)

    def test_callers_of_the_full_service_itself_are_served_as_often_as_others(self):
        # Bookings go straight to the service that all chains meet at. Behind the calls of
        # running work 0.02 of them were served.
        served = worst_shares(EQUAL_COST, EQUAL_COST_SURGE, EQUAL_COST_SLOTS)
        self.assertGreater(served['booking'].in_time, 0.6)
        self.assertGreater(served['lookup'].in_time, 0.55)


class AllTargetsShedTest(TestCase):
    def test_as_many_orders_are_whole_as_repeats_can_pay_for(self):
        # Callers of orders get errors while lookups beside them are served: a call is taken at
        # the second or third try, and the repeats of ten seconds went to whoever asked first.
        # An order needs 8 x 0.55 / 0.45 of them; a sixth of the usual calls may be repeated.
        for kinds, slots in ((EQUAL_COST, EQUAL_COST_SLOTS), (UNEQUAL_COST, UNEQUAL_COST_SLOTS)):
            lookup, order = kinds[:2]
            usual = sum(kind.rate * max(4 * kind.chains, 1) for kind in kinds)
            paid = 10 * usual * 0.16 / (8 * 0.55 / 0.45)
            served = worst_shares(kinds, ALL_SHED, slots)
            self.assertGreater(served[order.name].in_time, paid / (5 * order.rate))
            self.assertGreater(served[order.name].in_time, served[lookup.name].in_time)


class MostValuedMostlyTest(TestCase):
    """Orders are two in five of all requests, and all targets turn calls away for nine seconds."""

    def test_orders_get_the_repeats_of_the_load_before_the_fault(self):
        # Requests that fail early make fewer calls, and with them the budget shrank that the
        # orders need: it follows the window that had most.
        fetch, order, view = MOSTLY_ORDERS
        calls = 8 * fetch.rate + 4 * order.rate + view.rate
        asked = 9 * order.rate
        paid = 10 * calls * 0.16 / (4 * 0.55 / 0.45)
        lucky = 0.45**4 * (asked - paid)
        served = worst_shares(
            MOSTLY_ORDERS, LoadPattern(shed_share=0.55, duration=9.0), MOSTLY_ORDERS_SLOTS
        )
        self.assertGreater(served[order.name].in_time, (paid + lucky) / asked)


class CostTest(TestCase):
    def test_four_cheap_requests_go_before_a_dear_one(self):
        # A view takes the slots of four lookups. Shed alike, each view that is served costs
        # four callers their lookup.
        for pattern, least in ((UNEQUAL_COST_SURGE, 0.7), (UNEQUAL_COST_LOST_TARGET, 0.68)):
            by_cost = worst_shares(UNEQUAL_COST, pattern, UNEQUAL_COST_SLOTS)
            alike = worst_shares(
                UNEQUAL_COST, pattern, UNEQUAL_COST_SLOTS, prioritise_by_cost=False
            )
            self.assertGreater(by_cost['lookup'].in_time, least)
            self.assertLess(alike['lookup'].in_time, 0.66)
            self.assertGreater(by_cost['order'].in_time, 0.99)

    def test_the_dear_ones_are_not_starved(self):
        for pattern in (UNEQUAL_COST_SURGE, UNEQUAL_COST_LOST_TARGET):
            by_cost = worst_shares(UNEQUAL_COST, pattern, UNEQUAL_COST_SLOTS)
            self.assertGreater(by_cost['view'].in_time, by_cost['lookup'].in_time / 4)
