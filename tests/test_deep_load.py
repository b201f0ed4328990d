from functools import cache

from testtools import TestCase

from dunlinsaddle.records.models import Rank
from tests.fakes.deep_load import DeepLoad, Kind, Pattern, Share

SEEDS = (1,)
#: A chain of services whose last one is called four times for a lookup and eight times for an
#: order, and takes bookings itself; a lookup and a booking cost it about the same.
ALIKE = (
    Kind('lookup', Rank.NORMAL, 245.0, 1.2, 5.0, 0.022, above=0.1, chains=1),
    Kind('order', Rank.CRITICAL, 103.0, 1.5, 5.0, 0.022, above=0.12, chains=2),
    Kind('booking', Rank.NORMAL, 28.0, 0.25, 1.0, 0.072),
)
ALIKE_SLOTS = 20
#: The same with views in place of bookings, each of which costs as much as four lookups.
UNLIKE = (
    Kind('lookup', Rank.NORMAL, 179.0, 1.5, 5.0, 0.03, above=0.15, chains=1),
    Kind('order', Rank.CRITICAL, 87.0, 1.5, 5.0, 0.03, above=0.16, chains=2),
    Kind('view', Rank.NORMAL, 38.3, 1.2, 5.0, 0.48),
)
UNLIKE_SLOTS = 38
#: Orders are most of all and need four calls, fetches eight; views go to the deep service itself.
MOSTLY = (
    Kind('fetch', Rank.NORMAL, 65.0, 1.2, 5.0, 0.022, above=0.09, chains=2),
    Kind('order', Rank.CRITICAL, 105.0, 1.5, 5.0, 0.022, above=0.12, chains=1),
    Kind('view', Rank.NORMAL, 43.0, 1.2, 4.0, 0.36),
)
MOSTLY_SLOTS = 17
#: Three targets of 20 slots take 1.5 times the usual load of ALIKE, those of 38 slots twice
#: that of UNLIKE: a surge of 1.3 times as much, three in ten callers of which come again at once.
ALIKE_SURGE = Pattern(surge=1.95, hard=0.3)
UNLIKE_SURGE = Pattern(surge=2.6, hard=0.3)
UNLIKE_LOST = Pattern(surge=1.6, lost=1)
#: All targets say of more than half of what arrives that they did not run it, for five seconds.
ALL_SHED = Pattern(sheds=0.55)


@cache
def shares(kinds, pattern, slots, **mechanisms) -> dict[str, Share]:
    """Give the least share in time and the largest spoilt over the seeds; a run takes 3 s."""
    runs = [DeepLoad(kinds, pattern, s, slots=slots, **mechanisms).run() for s in SEEDS]
    return {
        kind.name: Share(
            min(run[kind.name].in_time for run in runs),
            max(run[kind.name].spoilt for run in runs),
        )
        for kind in kinds
    }


class UsualLoadTest(TestCase):
    def test_nearly_full_and_all_are_served(self):
        # At 0.93 of what the slots take, refusing by an estimate of the demand would cost
        # callers what the targets have room for.
        served = shares(ALIKE, Pattern(surge=1.4), ALIKE_SLOTS)
        for share in served.values():
            self.assertGreater(share.in_time, 0.97)
        served = shares(UNLIKE, Pattern(surge=1.86), UNLIKE_SLOTS)
        self.assertGreater(served['lookup'].in_time, 0.98)
        self.assertGreater(served['order'].in_time, 0.99)
        self.assertGreater(served['view'].in_time, 0.9)


class SurgeTest(TestCase):
    def test_requests_are_refused_where_they_enter_and_not_after_their_work(self):
        # Callers wait for an answer that fails after three hops, as one of four calls is
        # refused at the full service. Its level, told upstream, refuses the same requests
        # before they begin: a third of all lookups was begun in vain, now a sixth at most.
        with_levels = shares(ALIKE, ALIKE_SURGE, ALIKE_SLOTS)
        without = shares(ALIKE, ALIKE_SURGE, ALIKE_SLOTS, early=False)
        self.assertLess(with_levels['lookup'].spoilt, 0.17)
        self.assertGreater(without['lookup'].spoilt, 0.3)

    def test_the_most_valued_are_served_whole(self):
        served = shares(ALIKE, ALIKE_SURGE, ALIKE_SLOTS)
        self.assertGreater(served['order'].in_time, 0.99)

    def test_callers_of_the_full_service_itself_are_served_as_often_as_others(self):
        # Bookings go straight to the service that all chains meet at. Behind the calls of
        # running work 0.02 of them were served.
        served = shares(ALIKE, ALIKE_SURGE, ALIKE_SLOTS)
        self.assertGreater(served['booking'].in_time, 0.6)
        self.assertGreater(served['lookup'].in_time, 0.55)


class AllTargetsShedTest(TestCase):
    def test_as_many_orders_are_whole_as_repeats_can_pay_for(self):
        # Callers of orders get errors while lookups beside them are served: a call is taken at
        # the second or third try, and the repeats of ten seconds went to whoever asked first.
        # An order needs 8 x 0.55 / 0.45 of them; a sixth of the usual calls may be repeated.
        for kinds, slots in ((ALIKE, ALIKE_SLOTS), (UNLIKE, UNLIKE_SLOTS)):
            lookup, order = kinds[:2]
            usual = sum(kind.rate * max(4 * kind.chains, 1) for kind in kinds)
            paid = 10 * usual * 0.16 / (8 * 0.55 / 0.45)
            served = shares(kinds, ALL_SHED, slots)
            self.assertGreater(served[order.name].in_time, paid / (5 * order.rate))
            self.assertGreater(served[order.name].in_time, served[lookup.name].in_time)


class MostValuedMostlyTest(TestCase):
    """Orders are two in five of all requests, and all targets turn calls away for nine seconds."""

    def test_orders_get_the_repeats_of_the_load_before_the_fault(self):
        # Requests that fail early make fewer calls, and with them the budget shrank that the
        # orders need: it follows the window that had most.
        fetch, order, view = MOSTLY
        calls = 8 * fetch.rate + 4 * order.rate + view.rate
        asked = 9 * order.rate
        paid = 10 * calls * 0.16 / (4 * 0.55 / 0.45)
        lucky = 0.45**4 * (asked - paid)
        served = shares(MOSTLY, Pattern(sheds=0.55, seconds=9.0), MOSTLY_SLOTS)
        self.assertGreater(served[order.name].in_time, (paid + lucky) / asked)


class CostTest(TestCase):
    def test_four_cheap_requests_go_before_a_dear_one(self):
        # A view takes the slots of four lookups. Shed alike, each view that is served costs
        # four callers their lookup.
        for pattern, least in ((UNLIKE_SURGE, 0.7), (UNLIKE_LOST, 0.68)):
            by_cost = shares(UNLIKE, pattern, UNLIKE_SLOTS)
            alike = shares(UNLIKE, pattern, UNLIKE_SLOTS, by_cost=False)
            self.assertGreater(by_cost['lookup'].in_time, least)
            self.assertLess(alike['lookup'].in_time, 0.66)
            self.assertGreater(by_cost['order'].in_time, 0.99)

    def test_the_dear_ones_are_not_starved(self):
        for pattern in (UNLIKE_SURGE, UNLIKE_LOST):
            by_cost = shares(UNLIKE, pattern, UNLIKE_SLOTS)
            self.assertGreater(by_cost['view'].in_time, by_cost['lookup'].in_time / 4)
