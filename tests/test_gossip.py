from random import Random

from testtools import TestCase

from dunlinsaddle.membership.digests import BUCKETS
from dunlinsaddle.membership.messages import MAX_MESSAGE_BYTES, MessageCodec, Rumor, Sync, update_of
from dunlinsaddle.membership.view import State
from tests.builders import PEER_KEY, build_member
from tests.fakes.network import GossipSimulation


class GossipTest(TestCase):
    def test_a_new_node_learns_all_members_from_one_seed(self):
        net = GossipSimulation()
        net.add_nodes(40)
        new_node = net.add_node('fresh')
        new_node.sync_schedule.seeds.add(net.nodes['n007'].me.gossip)
        elapsed = net.run_until(net.all_alive, 8)
        self.assertLess(elapsed, 5)

    def test_repeated_syncs_transfer_every_member_of_a_large_fleet(self):
        # The byte budget allows only part of a bucket per sync. If that is always the same part, a
        # new node never learns the other members.
        net = GossipSimulation()
        node = net.add_node('full')
        for i in range(959):
            node.view.merge(build_member(f'n{i:03}'))
        sync = Sync(sender='fresh', reply_to=build_member().gossip, digests=[0] * BUCKETS)
        received: set[str] = set()
        for now in range(1500):
            node.budget.refill(now)
            for send in node.receive(now, sync):
                received |= {update.instance for update in send.message.words}
        self.assertEqual(960, len(received))

    def test_a_killed_node_is_suspected_within_three_seconds_and_then_declared_dead(self):
        # Requests to a killed node fail until routers avoid it. Its ring neighbour probes it every
        # other second, also through other nodes, and spreads the suspicion. Without a refutation
        # each node declares the death.
        max_seconds = 0.0
        for seed in range(25):
            net = GossipSimulation(seed)
            net.add_nodes(24)
            net.run(net.rng.uniform(3, 6))
            net.kill('n003')
            elapsed = net.run_until(lambda n=net: n.count_states('n003')[State.ALIVE] < 23, 4, 0.05)
            max_seconds = max(max_seconds, elapsed)
            net.run_until(lambda n=net: n.count_states('n003')[State.DEAD] == 23, 12)
            self.assertTrue(
                all(len(n.view.serving_members('cut-orders')) == 23 for n in net.nodes.values())
            )
        self.assertLessEqual(max_seconds, 3.0)

    def test_a_paused_node_refutes_the_suspicion_when_it_resumes(self):
        # The node must recover without an operator: it learns of the suspicion and increments its
        # incarnation. Its own probes timed out during the pause, which must not make it declare
        # the others dead.
        net = GossipSimulation()
        net.add_nodes(24)
        net.run(3)
        net.paused.add('n003')
        net.run(4)
        self.assertGreater(net.count_states('n003')[State.SUSPECT], 20)
        net.paused.clear()
        elapsed = net.run_until(net.all_alive, 10)
        self.assertLess(elapsed, 5)
        self.assertEqual(2, net.nodes['n000'].view.find('n003').incarnation)

    def test_a_paused_node_does_not_declare_dead_who_refuted_during_the_pause(self):
        # The node suspects another one, which refutes during the pause. When the node resumes, its
        # suspicion timer has expired before any refutation reaches it.
        net = GossipSimulation()
        net.add_nodes(12)
        net.paused.add('n005')
        paused_node = net.nodes['n003']
        net.run_until(lambda: paused_node.view.find('n005').state == State.SUSPECT, 4)
        net.paused = {'n003'}
        net.run(8)
        paused_node.tick(net.now)
        self.assertEqual(State.SUSPECT, paused_node.view.find('n005').state)
        net.paused.clear()
        net.run_until(net.all_alive, 10)

    def test_an_expired_suspicion_is_no_longer_spread(self):
        # If it stayed queued until a partition heals, live members would be suspected on their own
        # side.
        net = GossipSimulation()
        net.add_nodes(3)
        node = net.nodes['n000']
        node.budget.rate = node.budget.burst = node.budget.remaining = 0
        net.kill('n001')
        net.run(20)
        self.assertEqual(State.DEAD, node.view.find('n001').state)
        self.assertEqual(0, len(node.rumors))

    def test_a_node_declared_dead_rejoins_by_itself(self):
        net = GossipSimulation()
        net.add_nodes(24)
        net.paused.add('n003')
        net.run(30)
        self.assertEqual(23, net.count_states('n003')[State.DEAD])
        net.paused.clear()
        self.assertLess(net.run_until(net.all_alive, 15), 10)

    def test_no_live_node_is_declared_dead_in_a_lossy_network(self):
        net = GossipSimulation()
        net.add_nodes(24)
        net.loss = 0.1
        for _ in range(120):
            net.run(1)
            dead = sum(net.count_states(name)[State.DEAD] for name in net.nodes)
            self.assertEqual(0, dead)

    def test_all_nodes_learn_within_two_seconds_that_a_node_drains(self):
        net = GossipSimulation()
        net.add_nodes(64)
        net.run(2)
        node = net.nodes['n005']
        node.announce(node.me._replace(state=State.DRAINING))
        elapsed = net.run_until(lambda: net.count_states('n005')[State.DRAINING] == 63, 4, 0.05)
        self.assertLess(elapsed, 2)

    def test_a_restarted_instance_replaces_its_former_entry_even_with_a_lower_incarnation(self):
        # Otherwise routers send requests to a port where nothing listens. The instance restarts at
        # another address with a lower incarnation, because its clock was set back; it learns its
        # former incarnation and exceeds it.
        net = GossipSimulation()
        net.add_nodes(24)
        net.run(2)
        net.nodes['n005'].announce(net.nodes['n005'].me._replace(service='slab-stock'))
        net.run(5)
        net.kill('n005')
        new_node = net.add_node('n005', incarnation=1)
        new_node.sync_schedule.seeds.add(net.nodes['n001'].me.gossip)
        new_address = new_node.me.gossip
        nodes = net.nodes.values()
        net.run_until(lambda: all(n.view.find('n005').gossip == new_address for n in nodes), 10)
        self.assertGreater(new_node.me.incarnation, 2)

    def test_both_sides_of_a_partition_keep_serving_and_merge_without_the_platform(self):
        # Each side keeps its own members alive, during the partition and despite outdated updates
        # after it. After twelve seconds the smaller side has not yet probed all of the larger one;
        # only after a long partition does each side serve exactly its own members.
        self.partition_and_heal(12, max_foreign=4)
        self.partition_and_heal(600, max_foreign=0)

    def partition_and_heal(self, seconds: float, max_foreign: int) -> None:
        net = GossipSimulation()
        net.add_nodes(36, domains=3)
        net.run(2)
        isolated = {n for n, g in net.nodes.items() if g.me.domain == 'domain-0'}
        sides = (isolated, set(net.nodes) - isolated)
        net.is_cut = lambda sender, receiver: (sender in isolated) != (receiver in isolated)
        net.run(seconds)
        for side in sides:
            for name in side:
                serving = self.serving(net, name)
                self.assertEqual(set(), side - serving)
                self.assertLessEqual(len(serving - side), max_foreign)
        net.is_cut = lambda sender, receiver: False
        self.assertLess(net.run_until(lambda: self.has_healed(net, sides), 60), 20)

    def serving(self, net: GossipSimulation, name: str) -> set[str]:
        return {m.instance for m in net.nodes[name].view.serving_members('cut-orders')}

    def has_healed(self, net: GossipSimulation, sides: tuple[set[str], ...]) -> bool:
        for side in sides:
            for name in side:
                dead = [o for o in side if net.nodes[name].view.find(o).state == State.DEAD]
                self.assertEqual([], dead)
        return net.all_alive()

    def test_the_death_of_a_failure_domain_does_not_flood_the_network(self):
        net = GossipSimulation()
        net.add_nodes(96, domains=3)
        net.run(5)
        for name in [n for n, g in net.nodes.items() if g.me.domain == 'domain-0']:
            net.kill(name)
        max_bytes = 0
        for _ in range(30):
            net.sent_bytes.clear()
            net.run(1)
            max_bytes = max(max_bytes, max(net.sent_bytes.values()))
        remaining_domains = {m.domain for m in net.nodes['n001'].view.members() if not m.is_gone}
        self.assertEqual({'domain-1', 'domain-2'}, remaining_domains)
        self.assertLess(max_bytes, 5000)

    def test_an_outdated_update_does_not_add_an_expired_member_again(self):
        net = GossipSimulation()
        net.add_nodes(8)
        net.run(2)
        outdated = update_of(net.nodes['n001'].view.find('n005'))
        net.kill('n005')
        net.run(3650)
        node = net.nodes['n001']
        self.assertIsNone(node.view.find('n005'))
        rumor = Rumor(sender='n002', reply_to=net.nodes['n002'].me.gossip, words=[outdated])
        node.receive(net.now, rumor)
        self.assertIsNone(node.view.find('n005'))

    def test_replayed_messages_have_no_lasting_effect(self):
        # An attacker without the key records messages and sends them again later. They are
        # authentic, but their probe IDs are unknown and their incarnations outdated.
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


class MessageCodecTest(TestCase):
    def test_random_bytes_and_messages_of_another_key_are_rejected(self):
        rng = Random(5)
        mine, other = MessageCodec(PEER_KEY), MessageCodec('another-key')
        net = GossipSimulation()
        net.add_nodes(5)
        net.recording = True
        net.run(5)
        for i in range(3000):
            encoded = bytearray(rng.choice(net.recorded))
            if i % 3 == 0:
                encoded = bytearray(rng.randbytes(rng.randrange(2 * MAX_MESSAGE_BYTES)))
            elif i % 3 == 1:
                encoded[rng.randrange(len(encoded))] ^= 1 << rng.randrange(8)
            else:
                encoded = bytearray(other.encode(mine.decode(bytes(encoded))))
            self.assertIsNone(mine.decode(bytes(encoded)))

    def test_authentic_malformed_messages_never_raise(self):
        # A faulty node has the key: whatever it sends, the event loops of the others keep running.
        rng = Random(6)
        net = GossipSimulation()
        net.add_nodes(5)
        net.recording = True
        net.run(5)
        codec = MessageCodec(PEER_KEY)
        decoded_count = 0
        for _ in range(3000):
            body = bytearray(rng.choice(net.recorded)[16:])
            for _ in range(rng.randrange(1, 4)):
                body[rng.randrange(len(body))] = rng.randrange(256)
            message = codec.decode(codec._mac(bytes(body)) + bytes(body))
            if message is not None:
                decoded_count += 1
                net.nodes['n001'].receive(net.now, message)
        net.nodes['n001'].tick(net.now + 1)
        self.assertGreater(decoded_count, 100)

    def test_the_largest_messages_fit_into_one_datagram(self):
        net = GossipSimulation()
        net.add_nodes(200)
        net.recording = True
        net.add_node('fresh').sync_schedule.seeds.add(net.nodes['n001'].me.gossip)
        net.run(5)
        self.assertLessEqual(max(map(len, net.recorded)), MAX_MESSAGE_BYTES)


class IncarnationTest(TestCase):
    def test_a_reported_death_is_probed_before_it_is_accepted(self):
        net = GossipSimulation()
        net.add_nodes(3)
        node = net.nodes['n000']
        dead = node.view.find('n001')._replace(state=State.DEAD)
        rumor = Rumor(sender='n002', reply_to=build_member().gossip, words=[update_of(dead)])
        node.receive(net.now, rumor)
        self.assertEqual(State.ALIVE, node.view.find('n001').state)
        self.assertIn('n001', node.probe_scheduler._priority)
