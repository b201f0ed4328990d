"""What a node's control costs where it is one of hundreds: counted in work, not in time."""

from random import Random
from unittest import mock

import xxhash
from testtools import TestCase

from dunlinsaddle.membership import digests
from dunlinsaddle.membership.digests import BUCKETS, Digests, bucket_of
from dunlinsaddle.membership.messages import Sync
from dunlinsaddle.membership.view import MemberView, State
from dunlinsaddle.policy.route import Candidate, Router
from tests.builders import build_member
from tests.fakes.network import GossipSimulation

FLEETS = (194, 960)


class DigestsTest(TestCase):
    def test_an_exchange_between_equal_views_costs_the_same_in_any_fleet(self):
        # Callers wait: each exchange that comes in is compared with digests that were worked out
        # anew over all members. With 194 nodes half of a node's processor time went there.
        hashed = {}
        for size in FLEETS:
            net = GossipSimulation()
            net.add_nodes(size)
            one, other = net.nodes['n000'], net.nodes['n001']
            sync = Sync(
                sender='n001', reply_to=other.me.gossip, digests=other.view.digests.values()
            )
            counted = mock.Mock(side_effect=xxhash.xxh32_intdigest)
            with mock.patch.object(digests, 'xxh32_intdigest', counted):
                self.assertEqual([], one.receive(1.0, sync))
            hashed[size] = counted.call_count
        self.assertEqual(dict.fromkeys(FLEETS, 0), hashed)

    def test_kept_digests_are_those_of_the_members(self):
        # Two nodes that hold the same would exchange all of it for ever if one of them had
        # missed a change of its own view.
        rng = Random(7)
        view = MemberView()
        for _ in range(3000):
            name = f'n{rng.randrange(200):03}'
            if rng.random() < 0.1:
                view.remove(name)
                continue
            state = rng.choice(list(State))
            view.merge(build_member(name, incarnation=rng.randrange(1, 30), state=state))
        fresh = Digests()
        for member in view.members():
            fresh.replace(None, member)
        self.assertEqual(fresh.values(), view.digests.values())
        held = {m.instance for bucket in range(BUCKETS) for m in view.digests.members(bucket)}
        self.assertEqual({m.instance for m in view.members()}, held)

    def test_suspicions_and_deaths_leave_digests_alone_as_before(self):
        alive, suspected = (build_member('a', state=s) for s in (State.ALIVE, State.SUSPECT))
        numbers = {}
        for member in (alive, suspected):
            found = Digests()
            found.replace(None, member)
            numbers[member.state] = found.values()
        self.assertEqual(numbers[State.ALIVE], numbers[State.SUSPECT])
        gone = Digests()
        gone.replace(None, build_member('a', state=State.DEAD))
        self.assertEqual([0] * BUCKETS, gone.values())
        self.assertIn(bucket_of('a'), range(BUCKETS))


class CountedCandidates(tuple):
    """Counts how often somebody walks over it."""

    walks = 0

    def __iter__(self):
        self.walks += 1
        return super().__iter__()


class ChoiceTest(TestCase):
    def candidates(self, count: int) -> CountedCandidates:
        return CountedCandidates(Candidate(f'n{i:03}', f'd{i % 5}') for i in range(count))

    def test_a_choice_costs_the_same_among_any_number_of_targets(self):
        # Each call walked over all targets of its service, though only two are drawn: among
        # 71 of them 44 us of processor time a call, among four 14.
        for size in FLEETS:
            router, found = Router('d0', Random(3)), self.candidates(size)
            for i in range(500):
                router.choose(i / 100, found)
            self.assertLessEqual(found.walks, 3)

    def test_a_target_left_out_is_not_chosen_until_its_time_is_up(self):
        # What is kept between choices must not outlive what it was worked out from.
        router, found = Router('d0', Random(3)), self.candidates(40)
        router.choose(0.0, found)
        router.avoid_leaving(0.0, 'n000')
        soon = {router.choose(0.1, found).instance for _ in range(2000)}
        later = {router.choose(60.0, found).instance for _ in range(2000)}
        self.assertNotIn('n000', soon)
        self.assertIn('n000', later)
        self.assertEqual(later, soon | {'n000'})
