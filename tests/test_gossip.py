from random import Random

from testtools import TestCase

from dunlinsaddle.membership.digests import BUCKETS
from dunlinsaddle.membership.messages import MAX_MESSAGE_BYTES, MessageCodec, Rumor, Sync, update_of
from dunlinsaddle.membership.view import State
from tests.builders import PEER_KEY, build_member
from tests.fakes.network import GossipSimulation


class GossipTest(TestCase):
    def test_a_fresh_node_learns_all_from_one_seed(self):
        net = GossipSimulation()
        net.add_nodes(40)
        fresh = net.add_node('fresh')
        fresh.sync_schedule.seeds.add(net.nodes['n007'].me.gossip)
        took = net.run_until(net.all_alive, 8)
        self.assertLess(took, 5)

    def test_no_member_of_a_large_fleet_is_left_out_of_a_view_exchange(self):
        # A fresh node asks again and again, and the byte budget lets through a part of a bucket
        # each time. When that was always the same part, it never heard of the rest.
        net = GossipSimulation()
        node = net.add_node('full')
        for i in range(959):
            node.view.merge(build_member(f'n{i:03}'))
        sync = Sync(sender='fresh', reply_to=build_member().gossip, digests=[0] * BUCKETS)
        heard: set[str] = set()
        for now in range(1500):
            node.budget.refill(now)
            for send in node.receive(now, sync):
                heard |= {word.instance for word in send.message.words}
        self.assertEqual(960, len(heard))

    def test_a_killed_node_is_suspected_within_three_seconds_and_then_dead(self):
        # Calls to the killed node fail until routers avoid it. Its ring neighbour probes it
        # every other second, asks others to try, and passes the suspicion on; nobody denies
        # it, so that each node concludes the death for itself.
        worst = 0.0
        for seed in range(25):
            net = GossipSimulation(seed)
            net.add_nodes(24)
            net.run(net.rng.uniform(3, 6))
            net.kill('n003')
            took = net.run_until(lambda n=net: n.count_states('n003')[State.ALIVE] < 23, 4, 0.05)
            worst = max(worst, took)
            net.run_until(lambda n=net: n.count_states('n003')[State.DEAD] == 23, 12)
            self.assertTrue(
                all(len(n.view.serving_members('cut-orders')) == 23 for n in net.nodes.values())
            )
        self.assertLessEqual(worst, 3.0)

    def test_a_paused_node_denies_the_suspicion(self):
        # Calls avoid the paused node for a moment and come back without an operator. The
        # suspicion has spread when it wakes; it hears of it and raises its incarnation. Its
        # own probes ran out while it slept, and must not make it bury the fleet.
        net = GossipSimulation()
        net.add_nodes(24)
        net.run(3)
        net.paused.add('n003')
        net.run(4)
        self.assertGreater(net.count_states('n003')[State.SUSPECT], 20)
        net.paused.clear()
        took = net.run_until(net.all_alive, 10)
        self.assertLess(took, 5)
        self.assertEqual(2, net.nodes['n000'].view.find('n003').incarnation)

    def test_a_paused_node_does_not_bury_who_denied_while_it_slept(self):
        # The node suspects another, then sleeps; the other denies in the meantime. By its clock
        # the suspicion is over when it wakes, before any denial has reached it.
        net = GossipSimulation()
        net.add_nodes(12)
        net.paused.add('n005')
        sleeper = net.nodes['n003']
        net.run_until(lambda: sleeper.view.find('n005').state == State.SUSPECT, 4)
        net.paused = {'n003'}
        net.run(8)
        sleeper.tick(net.now)
        self.assertEqual(State.SUSPECT, sleeper.view.find('n005').state)
        net.paused.clear()
        net.run_until(net.all_alive, 10)

    def test_a_suspicion_that_is_over_is_passed_on_no_more(self):
        # Kept in the queue until a cut has healed, it would put the living under suspicion on
        # their own side.
        net = GossipSimulation()
        net.add_nodes(3)
        node = net.nodes['n000']
        node.budget.rate = node.budget.burst = node.budget.remaining = 0
        net.kill('n001')
        net.run(20)
        self.assertEqual(State.DEAD, node.view.find('n001').state)
        self.assertEqual(0, len(node.rumors))

    def test_a_node_held_dead_comes_back_by_itself(self):
        net = GossipSimulation()
        net.add_nodes(24)
        net.paused.add('n003')
        net.run(30)
        self.assertEqual(23, net.count_states('n003')[State.DEAD])
        net.paused.clear()
        self.assertLess(net.run_until(net.all_alive, 15), 10)

    def test_a_lossy_network_buries_nobody(self):
        net = GossipSimulation()
        net.add_nodes(24)
        net.loss = 0.1
        for _ in range(120):
            net.run(1)
            dead = sum(net.count_states(name)[State.DEAD] for name in net.nodes)
            self.assertEqual(0, dead)

    def test_a_draining_node_gets_no_new_work_within_two_seconds(self):
        net = GossipSimulation()
        net.add_nodes(64)
        net.run(2)
        node = net.nodes['n005']
        node.announce(node.me._replace(state=State.DRAINING))
        took = net.run_until(lambda: net.count_states('n005')[State.DRAINING] == 63, 4, 0.05)
        self.assertLess(took, 2)

    def test_a_restarted_instance_replaces_its_old_self_even_with_a_slow_clock(self):
        # Routers would send calls to a port where nobody listens. The instance comes back at
        # another address with a lower number, as its clock was set back; it hears of its old
        # self and goes past it.
        net = GossipSimulation()
        net.add_nodes(24)
        net.run(2)
        net.nodes['n005'].announce(net.nodes['n005'].me._replace(service='slab-stock'))
        net.run(5)
        net.kill('n005')
        fresh = net.add_node('n005', incarnation=1)
        fresh.sync_schedule.seeds.add(net.nodes['n001'].me.gossip)
        where = fresh.me.gossip
        nodes = net.nodes.values()
        net.run_until(lambda: all(n.view.find('n005').gossip == where for n in nodes), 10)
        self.assertGreater(fresh.me.incarnation, 2)

    def test_sides_of_a_cut_go_on_and_heal_without_the_platform(self):
        # Each side keeps serving its own while the other is dead to it, and nobody of its own
        # side is held dead, neither during the cut nor by stale words after it.
        # After twelve seconds the smaller side has not yet probed all of the larger one, so
        # only after a long cut does each side serve its own and nobody else.
        self.cut_and_heal(12, stray=4)
        self.cut_and_heal(600, stray=0)

    def cut_and_heal(self, seconds: float, stray: int) -> None:
        net = GossipSimulation()
        net.add_nodes(36, domains=3)
        net.run(2)
        away = {n for n, g in net.nodes.items() if g.me.domain == 'domain-0'}
        sides = (away, set(net.nodes) - away)
        net.is_cut = lambda sender, receiver: (sender in away) != (receiver in away)
        net.run(seconds)
        for side in sides:
            for name in side:
                serving = self.serving(net, name)
                self.assertEqual(set(), side - serving)
                self.assertLessEqual(len(serving - side), stray)
        net.is_cut = lambda sender, receiver: False
        self.assertLess(net.run_until(lambda: self.healed(net, sides), 60), 20)

    def serving(self, net: GossipSimulation, name: str) -> set[str]:
        return {m.instance for m in net.nodes[name].view.serving_members('cut-orders')}

    def healed(self, net: GossipSimulation, sides: tuple[set[str], ...]) -> bool:
        for side in sides:
            for name in side:
                buried = [o for o in side if net.nodes[name].view.find(o).state == State.DEAD]
                self.assertEqual([], buried)
        return net.all_alive()

    def test_the_death_of_a_failure_domain_does_not_flood(self):
        net = GossipSimulation()
        net.add_nodes(96, domains=3)
        net.run(5)
        for name in [n for n, g in net.nodes.items() if g.me.domain == 'domain-0']:
            net.kill(name)
        worst = 0
        for _ in range(30):
            net.sent_bytes.clear()
            net.run(1)
            worst = max(worst, max(net.sent_bytes.values()))
        left = {m.domain for m in net.nodes['n001'].view.members() if not m.is_gone}
        self.assertEqual({'domain-1', 'domain-2'}, left)
        self.assertLess(worst, 5000)

    def test_a_forgotten_member_is_not_brought_back_by_an_old_word(self):
        net = GossipSimulation()
        net.add_nodes(8)
        net.run(2)
        old = update_of(net.nodes['n001'].view.find('n005'))
        net.kill('n005')
        net.run(3650)
        node = net.nodes['n001']
        self.assertIsNone(node.view.find('n005'))
        rumor = Rumor(sender='n002', reply_to=net.nodes['n002'].me.gossip, words=[old])
        node.receive(net.now, rumor)
        self.assertIsNone(node.view.find('n005'))

    def test_a_replayed_old_message_changes_nothing_for_long(self):
        # Somebody who holds no key records messages and sends them again an hour later. They
        # are well sealed, but their numbers answer no probe and their words are outdone by
        # the incarnations that came since.
        net = GossipSimulation()
        net.add_nodes(12)
        net.recording = True
        net.paused.add('n003')
        net.run(4)
        net.paused.clear()
        net.run(20)
        net.recording = False
        net.run(10)
        before = {n: dict(g.view._members) for n, g in net.nodes.items()}
        for data in net.recorded:
            net.replay(data, net.rng.choice(list(net.nodes)))
        net.run(20)
        self.assertTrue(net.all_alive())
        self.assertEqual(before, {n: dict(g.view._members) for n, g in net.nodes.items()})


class SealTest(TestCase):
    def test_random_bytes_and_wrong_keys_are_refused(self):
        rng = Random(5)
        mine, other = MessageCodec(PEER_KEY), MessageCodec('another-key')
        net = GossipSimulation()
        net.add_nodes(5)
        net.recording = True
        net.run(5)
        for i in range(3000):
            sealed = bytearray(rng.choice(net.recorded))
            if i % 3 == 0:
                sealed = bytearray(rng.randbytes(rng.randrange(2 * MAX_MESSAGE_BYTES)))
            elif i % 3 == 1:
                sealed[rng.randrange(len(sealed))] ^= 1 << rng.randrange(8)
            else:
                sealed = bytearray(other.encode(mine.decode(bytes(sealed))))
            self.assertIsNone(mine.decode(bytes(sealed)))

    def test_well_sealed_nonsense_never_raises(self):
        # A faulty node of ours holds the key: whatever it sends, the others keep their loops.
        rng = Random(6)
        net = GossipSimulation()
        net.add_nodes(5)
        net.recording = True
        net.run(5)
        codec = MessageCodec(PEER_KEY)
        opened = 0
        for _ in range(3000):
            body = bytearray(rng.choice(net.recorded)[16:])
            for _ in range(rng.randrange(1, 4)):
                body[rng.randrange(len(body))] = rng.randrange(256)
            message = codec.decode(codec._mac(bytes(body)) + bytes(body))
            if message is not None:
                opened += 1
                net.nodes['n001'].receive(net.now, message)
        net.nodes['n001'].tick(net.now + 1)
        self.assertGreater(opened, 100)

    def test_the_largest_messages_fit_one_datagram(self):
        net = GossipSimulation()
        net.add_nodes(200)
        net.recording = True
        net.add_node('fresh').sync_schedule.seeds.add(net.nodes['n001'].me.gossip)
        net.run(5)
        self.assertLessEqual(max(map(len, net.recorded)), MAX_MESSAGE_BYTES)


class IncarnationTest(TestCase):
    def test_a_word_of_death_is_checked_before_it_is_believed(self):
        net = GossipSimulation()
        net.add_nodes(3)
        node = net.nodes['n000']
        dead = node.view.find('n001')._replace(state=State.DEAD)
        rumor = Rumor(sender='n002', reply_to=build_member().gossip, words=[update_of(dead)])
        node.receive(net.now, rumor)
        self.assertEqual(State.ALIVE, node.view.find('n001').state)
        self.assertIn('n001', node.probe_scheduler._priority)
