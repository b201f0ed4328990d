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
from tests.once_cluster import NAMES, Cluster, NodeProcess

EXAMPLES = int(os.environ.get('MODEL_EXAMPLES', '20'))
STEPS = 50
SENDS = 12

node_names = st.sampled_from(NAMES)
FAILURE_KINDS = (None, None, None, ErrorKind.TARGET_LOST, ErrorKind.DEADLINE_EXCEEDED)
REFUSAL_KINDS = (None, None, None, ErrorKind.OVERLOADED, ErrorKind.DRAINING)
STORE_CONDITIONS = st.sampled_from(['up', 'up', 'down', 'answer lost', 'delayed'])
totals: Counter[str] = Counter()


class AtMostOnceMachine(RuleBasedStateMachine):
    """Random faults around three nodes; frozen processes may resume beside their replacements."""

    cluster_type = Cluster

    def __init__(self) -> None:
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        asyncio.set_event_loop(self.loop)
        self.frozen_processes: list[NodeProcess] = []
        self.keys: list[str] = []
        self.run(self.start_cluster())

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    async def start_cluster(self) -> None:
        self.cluster = self.cluster_type()
        for name, skew in zip(NAMES, (0.0, 20.0, -20.0), strict=True):
            self.cluster.start(name, skew)
        await self.cluster.run_ticks(2)

    @rule(seconds=st.sampled_from([0.01, 2.5, 61.0, 245.0, 950.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule(name=node_names, store_condition=STORE_CONDITIONS)
    def tick_node(self, name, store_condition):
        store = self.cluster.store
        store.down, store.delays_writes = store_condition == 'down', store_condition == 'delayed'
        store.lose_answers = 1 if store_condition == 'answer lost' else 0
        self.run(self.cluster.nodes[name].tick())
        store.down = store.delays_writes = False
        store.lose_answers = 0

    @rule()
    def apply_delayed_write(self):
        self.run(self.cluster.store.apply_delayed_write())

    @rule(name=node_names, skew=st.sampled_from([0.0, 20.0, -20.0]), previous_resumes=st.booleans())
    def restart(self, name, skew, previous_resumes):
        async def start_process() -> None:
            self.cluster.start(name, skew, moved=previous_resumes)

        if previous_resumes:
            self.frozen_processes.append(self.cluster.nodes[name])
        self.run(start_process())

    @rule(name=node_names, skew=st.sampled_from([0.0, 20.0, -20.0]), previous_resumes=st.booleans())
    def replace_process(self, name, skew, previous_resumes):
        """Replace a process that has just accepted keys, some of them minted by fast clocks."""
        for ahead in (0, 20_000, 40_000):
            self.run(self.cluster.send_to(name, SENDS // 3, self.keys, ahead=ahead))
        previous_process = self.cluster.nodes[name]
        self.restart(name, skew, previous_resumes)
        self.tick_node(name, 'up')
        self.run(self.cluster.refresh())
        self.resend_recent_keys()
        self.run(asyncio.sleep(50.0))
        self.run(self.cluster.send_to(name, SENDS // 3, self.keys))
        if previous_resumes:
            for key in self.keys[-SENDS // 3 :]:
                self.run(previous_process.send(key))
        self.resend_recent_keys()

    @rule(name=node_names)
    def drain_and_restart(self, name):
        """Drain a node that has run keys, resend them to the next owners, and restart it."""
        node = self.cluster.nodes[name]
        self.run(self.cluster.send_to(name, SENDS // 2, self.keys))
        self.run(node.drain_and_leave())
        self.run(self.cluster.refresh())
        self.resend_recent_keys()
        self.restart(name, 0.0, False)
        self.resend_recent_keys()

    @rule(name=node_names, leaving=st.booleans())
    def set_leaving(self, name, leaving):
        self.cluster.nodes[name].leaving = leaving

    @rule(name=node_names, other=node_names)
    def cut_or_restore_link(self, name, other):
        self.cluster.cut_links ^= {frozenset((name, other))}

    @rule(name=node_names)
    def freeze_or_resume(self, name):
        self.cluster.frozen ^= {name}

    @rule(count=st.integers(0, 2))
    def lose_replies(self, count):
        self.cluster.replies_to_lose = count

    @rule(seed=st.integers(0, 9999), opaque=st.booleans(), seconds=st.sampled_from([0, 0.05]))
    def send_traffic(self, seed, opaque, seconds):
        """Send new and old keys to random nodes concurrently, some while their first run lasts."""
        rng = Random(seed)
        for node in self.cluster.nodes.values():
            node.run_seconds = seconds
            node.refusal_kind, node.failure_kind = (
                rng.choice(REFUSAL_KINDS),
                rng.choice(FAILURE_KINDS),
            )

        async def send() -> None:
            for _ in range(SENDS):
                if opaque:
                    self.keys.append(f'opaque-{rng.randrange(40)}')
                elif rng.random() < 0.5:
                    self.keys.append(self.cluster.mint_key(rng.choice([0, 0, 20_000, -20_000])))
                pool = self.keys if rng.random() < 0.2 else self.keys[-12:]
                key = rng.choice(pool or ['opaque-1'])
                tasks.append(asyncio.create_task(self.pick_node(rng).send(key)))
            await asyncio.gather(*tasks)

        tasks: list[asyncio.Task[object]] = []
        self.run(send())

    def pick_node(self, rng: Random) -> NodeProcess:
        return self.cluster.nodes[rng.choice(NAMES)]

    @rule(
        name=node_names,
        store_condition=STORE_CONDITIONS,
        leaving=st.booleans(),
        applies_delayed_write=st.booleans(),
    )
    def close_ranges(self, name, store_condition, leaving, applies_delayed_write):
        """Close ranges by a write with any result, and send keys before and after it is applied."""
        node = self.cluster.nodes[name]
        node.leaving = leaving
        self.run(self.cluster.send_to(name, SENDS // 2, self.keys, ahead=10_000))
        self.tick_node(name, store_condition)
        self.run(self.cluster.send_to(name, SENDS // 2, self.keys))
        if applies_delayed_write:
            self.apply_delayed_write()
        self.run(self.cluster.refresh())
        self.resend_recent_keys()
        node.leaving = False

    @rule(name=node_names)
    def expire_ranges_of_others(self, name):
        """Let one node claim the ranges that the others have not extended in time."""
        self.run(asyncio.sleep(245.0))
        self.tick_node(name, 'up')
        for other in NAMES:
            self.run(self.cluster.send_to(other, SENDS // 3, self.keys))
        self.resend_recent_keys()

    def resend_recent_keys(self):
        for key in self.keys[-SENDS:]:
            for name in NAMES:
                self.run(self.cluster.nodes[name].send(key))

    @rule(pick=st.integers(0, 3), key_age=st.integers(0, 5))
    def resume_frozen_process(self, pick, key_age):
        if not self.frozen_processes:
            return
        node = self.frozen_processes[pick % len(self.frozen_processes)]
        self.run(node.tick())
        if self.keys:
            self.run(node.send(self.keys[-1 - key_age % len(self.keys)]))

    @invariant()
    def keys_run_at_most_once_and_replies_are_correct(self):
        totals['faults'] += 1
        assert not self.cluster.violations, self.cluster.violations

    def teardown(self):
        totals.update(self.cluster.answers)
        totals.update(self.cluster.kinds)
        totals['sends'] += self.cluster.sends.total()
        totals['keys'] += len(self.keys)
        totals['runs'] += self.cluster.runs.total()
        totals['failed runs'] += len(self.cluster.uncertain_keys)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        asyncio.set_event_loop(None)


class NaiveProcess(NodeProcess):
    """Naive deduplication: each node remembers only the keys that it ran itself."""

    def __init__(self, cluster: Cluster, name: str, epoch: str, skew: float) -> None:
        super().__init__(cluster, name, epoch, skew)
        self.seen: dict[str, Reply] = {}

    async def handle(self, call: PendingCall) -> Reply:
        if call.ctx.key not in self.seen:
            self.seen[call.ctx.key] = await self.execute(call)
        return self.seen[call.ctx.key]


class NaiveCluster(Cluster):
    process_type = NaiveProcess


class NaiveMachine(AtMostOnceMachine):
    """The same faults with the naive deduplication."""

    cluster_type = NaiveCluster


SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],  # shrinking takes longer than a test may take
)


class OwnershipModelTest(TestCase):
    def test_naive_deduplication_runs_keys_twice(self):
        # A key that is resent to a second node is not remembered there.
        few_examples = settings(SETTINGS, max_examples=20)
        with ExpectedException(AssertionError, '.*ran [2-9] times.*'):
            run_state_machine_as_test(NaiveMachine, settings=few_examples)

    def test_no_key_runs_twice_and_all_replies_are_correct_under_random_faults(self):
        totals.clear()
        run_state_machine_as_test(AtMostOnceMachine, settings=SETTINGS)
        self.addDetail('totals', text_content(str(dict(totals))))
        self.assertGreaterEqual(totals['sends'] + totals['faults'], 10_000 * EXAMPLES // 20)
