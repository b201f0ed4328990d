import asyncio
import os
from collections import Counter
from random import Random

import async_solipsism
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from testtools import ExpectedException, TestCase
from testtools.content import text_content

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.messages import Reply
from dunlinsaddle.errors import ErrorKind
from tests.once_cluster import NAMES, Cluster, Process

EXAMPLES = int(os.environ.get('MODEL_EXAMPLES', '20'))
STEPS = 50
SENDS = 12

names = st.sampled_from(NAMES)
ENDS = (None, None, None, ErrorKind.TARGET_LOST, ErrorKind.DEADLINE_EXCEEDED)
REFUSALS = (None, None, None, ErrorKind.OVERLOADED, ErrorKind.DRAINING)
HOW = st.sampled_from(['well', 'well', 'down', 'lost', 'late'])
totals: Counter[str] = Counter()


class OnceMachine(RuleBasedStateMachine):
    """Random faults around three nodes; frozen runs may wake beside their own successors."""

    cluster_type = Cluster

    def __init__(self) -> None:
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        asyncio.set_event_loop(self.loop)
        self.asleep: list[Process] = []
        self.keys: list[str] = []
        self.run(self.begin())

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    async def begin(self) -> None:
        self.cluster = self.cluster_type()
        for name, skew in zip(NAMES, (0.0, 20.0, -20.0), strict=True):
            self.cluster.start(name, skew)
        await self.cluster.settle(2)

    @rule(seconds=st.sampled_from([0.01, 2.5, 61.0, 245.0, 950.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule(name=names, how=HOW)
    def keep(self, name, how):
        store = self.cluster.store
        store.down, store.late = how == 'down', how == 'late'
        store.lose_answers = 1 if how == 'lost' else 0
        self.run(self.cluster.nodes[name].tick())
        store.down = store.late = False
        store.lose_answers = 0

    @rule()
    def land(self):
        self.run(self.cluster.store.land())

    @rule(name=names, skew=st.sampled_from([0.0, 20.0, -20.0]), wakes=st.booleans())
    def restart(self, name, skew, wakes):
        async def fresh() -> None:
            self.cluster.start(name, skew, moved=wakes)

        if wakes:
            self.asleep.append(self.cluster.nodes[name])
        self.run(fresh())

    @rule(name=names, skew=st.sampled_from([0.0, 20.0, -20.0]), wakes=st.booleans())
    def replace(self, name, skew, wakes):
        """Put a new run in place of one that has just taken keys, also from fast clocks."""
        for ahead in (0, 20_000, 40_000):
            self.run(self.cluster.send_to(name, SENDS // 3, self.keys, ahead=ahead))
        former = self.cluster.nodes[name]
        self.restart(name, skew, wakes)
        self.keep(name, 'well')
        self.run(self.cluster.refresh())
        self.resend()
        self.run(asyncio.sleep(50.0))
        self.run(self.cluster.send_to(name, SENDS // 3, self.keys))
        if wakes:
            for key in self.keys[-SENDS // 3 :]:
                self.run(former.send(key))
        self.resend()

    @rule(name=names)
    def leave(self, name):
        """Drain a node under calls that still run, ask the heirs, and start it afresh."""
        node = self.cluster.nodes[name]
        self.run(self.cluster.send_to(name, SENDS // 2, self.keys))
        self.run(node.leave())
        self.run(self.cluster.refresh())
        self.resend()
        self.restart(name, 0.0, False)
        self.resend()

    @rule(name=names, leaving=st.booleans())
    def drain(self, name, leaving):
        self.cluster.nodes[name].leaving = leaving

    @rule(name=names, other=names)
    def cut_or_mend(self, name, other):
        self.cluster.cuts ^= {frozenset((name, other))}

    @rule(name=names)
    def freeze_or_resume(self, name):
        self.cluster.frozen ^= {name}

    @rule(count=st.integers(0, 2))
    def lose_replies(self, count):
        self.cluster.lose_replies = count

    @rule(seed=st.integers(0, 9999), opaque=st.booleans(), seconds=st.sampled_from([0, 0.05]))
    def traffic(self, seed, opaque, seconds):
        """Send new and old keys by any entry, all at once: some while their first run goes on."""
        rng = Random(seed)
        for node in self.cluster.nodes.values():
            node.seconds = seconds
            node.refuses, node.fails = rng.choice(REFUSALS), rng.choice(ENDS)

        async def send() -> None:
            for _ in range(SENDS):
                if opaque:
                    self.keys.append(f'opaque-{rng.randrange(40)}')
                elif rng.random() < 0.5:
                    self.keys.append(self.cluster.mint(rng.choice([0, 0, 20_000, -20_000])))
                pool = self.keys if rng.random() < 0.2 else self.keys[-12:]
                key = rng.choice(pool or ['opaque-1'])
                tasks.append(asyncio.create_task(self.node(rng).send(key)))
            await asyncio.gather(*tasks)

        tasks: list[asyncio.Task[object]] = []
        self.run(send())

    def node(self, rng: Random) -> Process:
        return self.cluster.nodes[rng.choice(NAMES)]

    @rule(name=names, how=HOW, leaving=st.booleans(), lands=st.booleans())
    def hand_over(self, name, how, leaving, lands):
        """Close ranges by a write of any end, use them before it is settled, and then after."""
        node = self.cluster.nodes[name]
        node.leaving = leaving
        self.run(self.cluster.send_to(name, SENDS // 2, self.keys, ahead=10_000))
        self.keep(name, how)
        self.run(self.cluster.send_to(name, SENDS // 2, self.keys))
        if lands:
            self.land()
        self.run(self.cluster.refresh())
        self.resend()
        node.leaving = False

    @rule(name=names)
    def lapse(self, name):
        """Let one node claim what the others, cut off from the platform, no longer extend."""
        self.run(asyncio.sleep(245.0))
        self.keep(name, 'well')
        for other in NAMES:
            self.run(self.cluster.send_to(other, SENDS // 3, self.keys))
        self.resend()

    def resend(self):
        for key in self.keys[-SENDS:]:
            for name in NAMES:
                self.run(self.cluster.nodes[name].send(key))

    @rule(pick=st.integers(0, 3), newer=st.integers(0, 5))
    def wake(self, pick, newer):
        if not self.asleep:
            return
        node = self.asleep[pick % len(self.asleep)]
        self.run(node.tick())
        if self.keys:
            self.run(node.send(self.keys[-1 - newer % len(self.keys)]))

    @invariant()
    def nothing_twice_and_no_lies(self):
        totals['faults'] += 1
        assert not self.cluster.lies, self.cluster.lies

    def teardown(self):
        totals.update(self.cluster.answers)
        totals.update(self.cluster.kinds)
        totals['sends'] += self.cluster.sends.total()
        totals['keys'] += len(self.keys)
        totals['runs'] += self.cluster.runs.total()
        totals['failed runs'] += len(self.cluster.failed)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        asyncio.set_event_loop(None)


class NaiveProcess(Process):
    """The naive way: each entry remembers the keys that it ran itself, and sends them on."""

    def __init__(self, cluster: Cluster, name: str, epoch: str, skew: float) -> None:
        super().__init__(cluster, name, epoch, skew)
        self.seen: dict[str, Reply] = {}

    async def enter(self, call: PendingCall) -> Reply:
        if call.ctx.key not in self.seen:
            self.seen[call.ctx.key] = await self.execute(call)
        return self.seen[call.ctx.key]


class NaiveCluster(Cluster):
    process = NaiveProcess


class NaiveMachine(OnceMachine):
    """The same faults around the naive way."""

    cluster_type = NaiveCluster


SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],  # shrinking outlasts the timeout of a test
)


class OwnershipModelTest(TestCase):
    def test_the_naive_way_runs_keys_twice(self):
        # The caller sends its key to a second node: that one's memory knows nothing of it.
        few = settings(SETTINGS, max_examples=20)
        with ExpectedException(AssertionError, '.*ran [2-9] times.*'):
            run_state_machine_as_test(NaiveMachine, settings=few)

    def test_no_key_runs_twice_and_no_answer_lies_whatever_fails(self):
        totals.clear()
        run_state_machine_as_test(OnceMachine, settings=SETTINGS)
        self.addDetail('totals', text_content(str(dict(totals))))
        self.assertGreaterEqual(totals['sends'] + totals['faults'], 10_000 * EXAMPLES // 20)
