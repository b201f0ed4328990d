import asyncio
from typing import Any

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.handlers import CallerHandler
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.membership.view import State
from dunlinsaddle.records.book import RecordBook
from dunlinsaddle.records.models import VersionedRecord
from dunlinsaddle.stats import Stats
from tests.builders import build_member, build_record
from tests.clock import PausedClockTest
from tests.once_cluster import NAMES, SERVICE, Cluster, Process


class EntryTest(PausedClockTest):
    def test_an_entry_never_calls_a_running_key_not_run(self):
        # The caller is told "in progress" and asks again at once, a dozen times. The entry
        # damps resends, but "not run" from there would be a lie: the first send is running.
        class RunningKeyDispatcher:
            idempotency_router = None

            async def dispatch(self, call: PendingCall) -> Reply:
                return refusal(Failure(ErrorKind.KEY_IN_PROGRESS, retry_after=5.0))

        async def scenario() -> None:
            book = RecordBook()
            book.take(VersionedRecord('cut-orders', 1, build_record(resend_ratio=0.0)))
            dispatcher: Any = RunningKeyDispatcher()
            face = CallerHandler(book, dispatcher, Stats())
            headers = [(b'idempotency-key', b'order-17')]
            req = HttpRequest('POST', '/cut-orders/stock', headers, b'', '10.0.0.1')
            statuses = {(await face.handle(req)).status for _ in range(12)}
            self.assertEqual({409}, statuses)

        self.run_paused(scenario())


class OnceTest(PausedClockTest):
    def run_cluster(self, scenario):
        async def run() -> None:
            cluster = Cluster()
            for name, skew in zip(NAMES, (0.0, 20.0, -20.0), strict=True):
                cluster.start(name, skew)
            await cluster.settle()
            await scenario(cluster)
            self.assertEqual([], cluster.lies)

        self.run_paused(run())

    def other(self, cluster: Cluster, node: Process) -> Process:
        return next(n for n in cluster.nodes.values() if n.name != node.name)

    def test_every_entry_gives_the_same_answer_to_a_key(self):
        async def scenario(cluster: Cluster) -> None:
            key = cluster.mint()
            replies = [await node.send(key) for node in cluster.nodes.values()]
            self.assertEqual(1, len({reply.body for reply in replies}))
            self.assertEqual({Outcome.DONE}, {reply.outcome for reply in replies})
            self.assertEqual(1, cluster.runs[key])

        self.run_cluster(scenario)

    def test_an_owner_counts_its_keys_and_tells_what_it_holds(self):
        async def scenario(cluster: Cluster) -> None:
            owner = cluster.nodes['bangor-1']
            key = cluster.owned_by('bangor-1')
            for _ in range(3):
                await owner.send(key)
            await owner.send(key, fingerprint=8)
            counts = {'accepted': 1, 'repeated': 2, 'key-reused': 1}
            self.assertEqual(counts, dict(owner.gate.owned_keys.stats.keys))
            holdings = [n.keeper.owned_ranges(SERVICE) for n in cluster.nodes.values()]
            self.assertEqual(64, sum(owned_ranges.ranges for owned_ranges in holdings))
            await asyncio.sleep(30)
            owned_ranges = owner.keeper.owned_ranges(SERVICE)
            self.assertGreater(owned_ranges.platform_age, 30)
            self.assertLess(owned_ranges.until - owner.keeper.clock(), 270_000)

        self.run_cluster(scenario)

    def test_a_resend_while_the_first_runs_is_told_so_at_once(self):
        # The caller times out early and sends the key by another entry. The first run goes on,
        # so the second gets "in progress" without waiting, and later the first one's answer.
        async def scenario(cluster: Cluster) -> None:
            loop = asyncio.get_running_loop()
            key = cluster.owned_by('bangor-1')
            cluster.nodes['bangor-1'].seconds = 3.0
            first = asyncio.create_task(cluster.nodes['menai-1'].send(key))
            await asyncio.sleep(1)
            began = loop.time()
            second = await cluster.nodes['caernarfon-1'].send(key)
            self.assertEqual(ErrorKind.KEY_IN_PROGRESS.value, second.kind)
            self.assertLess(loop.time() - began, 0.01)
            self.assertGreater(second.retry_after, 0)
            answer = await first
            self.assertEqual(answer.body, (await cluster.nodes['caernarfon-1'].send(key)).body)

        self.run_cluster(scenario)

    def test_a_caller_that_goes_away_finds_its_answer_later(self):
        # The entry cancels its call; the run must go on, or its end could never be told.
        async def scenario(cluster: Cluster) -> None:
            key = cluster.owned_by('bangor-1')
            cluster.nodes['bangor-1'].seconds = 1.0
            gone = asyncio.create_task(cluster.nodes['bangor-1'].send(key))
            await asyncio.sleep(0.1)
            gone.cancel()
            await asyncio.sleep(2)
            cluster.open.clear()
            self.assertEqual(Outcome.DONE, (await cluster.nodes['menai-1'].send(key)).outcome)

        self.run_cluster(scenario)

    def test_a_resend_after_the_owner_died_is_unknown_for_ever(self):
        # The owner ran the key and is killed; its next run has an empty memory. Nobody can
        # tell whether the key ran, so each entry says so, and none runs it again.
        async def scenario(cluster: Cluster) -> None:
            key = cluster.owned_by('bangor-1')
            await cluster.nodes['menai-1'].send(key)
            del cluster.nodes['bangor-1']
            reply = await cluster.nodes['menai-1'].send(key)
            self.assertEqual(ErrorKind.OWNER_UNREACHABLE.value, reply.kind)
            cluster.start('bangor-1')
            await cluster.settle(200)
            for node in cluster.nodes.values():
                reply = await node.send(key)
                self.assertEqual(ErrorKind.OUTCOME_UNKNOWN.value, reply.kind)
            self.assertEqual(1, cluster.runs[key])

        self.run_cluster(scenario)

    def test_a_killed_owner_is_back_within_the_margin(self):
        # The owner, whose clock is 20 s fast, is killed and started again at the same address
        # with a right clock. Keys that it may have run stay unknown, also those that only its
        # fast clock let it take; those born later run, each once.
        async def scenario(cluster: Cluster) -> None:
            old = [cluster.mint(ahead) for ahead in (0, 20_000, 45_000) for _ in range(20)]
            for key in old:
                await cluster.nodes['menai-1'].send(key)
            ran = dict(cluster.runs)
            cluster.start('caernarfon-1')
            loop, began, waited = asyncio.get_running_loop(), asyncio.get_running_loop().time(), {}
            while loop.time() - began < 320:
                await cluster.settle(1)
                key = cluster.mint()
                reply = await cluster.nodes['menai-1'].send(key)
                waited[loop.time() - began] = reply.outcome
            unserved = [at for at, outcome in waited.items() if outcome is not Outcome.DONE]
            self.assertLess(max(unserved, default=0.0), 54.0)
            for key in old:
                await cluster.nodes['menai-1'].send(key)
            self.assertEqual(ran, {key: cluster.runs[key] for key in ran})

        self.run_cluster(scenario)

    def test_a_run_that_lets_its_port_go_accepts_nothing(self):
        # It is paused after it closed its port, and its successor takes its keys over. When it
        # wakes, calls that it had read before must not begin.
        async def scenario(cluster: Cluster) -> None:
            key = cluster.owned_by('bangor-1')
            cluster.nodes['bangor-1'].keeper.close()
            await cluster.nodes['bangor-1'].send(key)
            self.assertEqual(0, cluster.runs[key])

        self.run_cluster(scenario)

    def test_a_paused_owner_wakes_beside_its_successor(self):
        # The owner freezes past its horizon and others take its ranges. When it wakes, it
        # still believes in its old map: keys born before its end are its own, younger ones
        # it no longer takes, and those run at the successor alone.
        async def scenario(cluster: Cluster) -> None:
            owner = cluster.nodes['bangor-1']
            old = cluster.owned_by('bangor-1')
            cluster.frozen.add('bangor-1')
            for name in NAMES[1:]:
                gone = build_member('bangor-1', state=State.DEAD)
                cluster.nodes[name].view.merge(gone)
            await cluster.settle(200)
            young = [cluster.mint() for _ in range(40)]
            for key in [old, *young]:
                await cluster.nodes['menai-1'].send(key)
            cluster.frozen.clear()
            for key in [old, *young]:
                await owner.send(key)
            self.assertEqual({1}, {cluster.runs[key] for key in young})

        self.run_cluster(scenario)

    def test_a_partition_with_a_successor_on_the_other_side(self):
        # One side loses the platform and the others, and keeps its ranges to their end; the
        # other side claims what comes after. Resends on both sides run each key once at most.
        async def scenario(cluster: Cluster) -> None:
            lone = cluster.nodes['bangor-1']
            cluster.cuts |= {frozenset(('bangor-1', name)) for name in NAMES[1:]}
            cluster.frozen.add('bangor-1')  # keeps it from the platform; calls go by the cuts
            served = 0
            for _ in range(30):
                await cluster.settle(6)
                key = cluster.mint()
                replies = [await node.send(key) for node in (lone, *cluster.nodes.values())]
                served += any(reply.outcome is Outcome.DONE for reply in replies)
            self.assertGreater(served, 20)
            self.assertEqual(1, max(cluster.runs.values()))

        self.run_cluster(scenario)

    def test_a_late_write_of_a_closing_range(self):
        # Two writes that close a range end in no answer, and the earlier one counts in the
        # end. The owner must not take keys in between: its heir owns them by that write.
        async def scenario(cluster: Cluster) -> None:
            owner = cluster.nodes['bangor-1']
            owner.leaving = cluster.store.late = True
            await owner.tick()
            await asyncio.sleep(5)
            between = [cluster.owned_by('bangor-1') for _ in range(20)]
            await asyncio.sleep(5)
            await owner.tick()
            for key in between:
                await owner.send(key)
            cluster.store.late = False
            await cluster.store.land()
            for key in between:
                for node in cluster.nodes.values():
                    await node.keeper.refresh(SERVICE)
                    await node.send(key)
            self.assertEqual({1}, {cluster.runs[key] for key in between})

        self.run_cluster(scenario)

    def test_an_ownership_write_whose_answer_is_lost_is_read_back(self):
        async def scenario(cluster: Cluster) -> None:
            cluster.store.lose_answers = 1
            await asyncio.sleep(100)
            await cluster.nodes['bangor-1'].tick()
            writes = cluster.nodes['bangor-1'].keeper.writes
            await cluster.nodes['bangor-1'].tick()
            self.assertEqual(writes, cluster.nodes['bangor-1'].keeper.writes)
            await cluster.nodes['menai-1'].send(cluster.owned_by('bangor-1'))

        self.run_cluster(scenario)

    def test_an_outage_shorter_than_the_horizon_stops_nothing(self):
        async def scenario(cluster: Cluster) -> None:
            cluster.store.down = True
            calls = cluster.store.calls
            for _ in range(20):
                await asyncio.sleep(10)
                reply = await cluster.nodes['menai-1'].send(cluster.mint())
                self.assertEqual(Outcome.DONE, reply.outcome)
            # 200 s, a reread in 60 s at each of three nodes, and none for a call.
            self.assertLessEqual(cluster.store.calls - calls, 12)

        self.run_cluster(scenario)

    def test_platform_calls_of_a_quiet_hour(self):
        # Ranges are extended once a minute, whatever the number of calls: 6 platform calls a
        # minute for three nodes, a write and a reread each, and a few for writes that collide.
        async def scenario(cluster: Cluster) -> None:
            calls = cluster.store.calls
            for second in range(3600):
                for node in cluster.nodes.values():
                    await node.tick()
                if second % 10 == 0:
                    await cluster.nodes['menai-1'].send(cluster.mint())
                await asyncio.sleep(1)
            self.assertLessEqual(cluster.store.calls - calls, 60 * 6 * 1.5)
            self.assertEqual({'done': 360}, dict(cluster.answers))

        self.run_cluster(scenario)

    def test_a_draining_owner_hands_calls_and_ranges_over(self):
        # The target refuses; the owner gives the call to another node once. A duplicate finds
        # the owner's answer. Keys born later go to the heirs, without a refusal in between.
        async def scenario(cluster: Cluster) -> None:
            owner = cluster.nodes['bangor-1']
            key = cluster.owned_by('bangor-1')
            owner.leaving, owner.refuses = True, ErrorKind.DRAINING
            replies = [await node.send(key) for node in cluster.nodes.values()]
            self.assertEqual({Outcome.DONE}, {reply.outcome for reply in replies})
            await owner.tick()
            for _ in range(40):
                key = cluster.mint()
                replies = [await node.send(key) for node in cluster.nodes.values()]
                self.assertEqual({Outcome.DONE}, {reply.outcome for reply in replies})
                self.assertEqual(1, cluster.runs[key])

        self.run_cluster(scenario)

    def test_a_rolling_restart_forgets_no_answer(self):
        # Each node in turn drains, goes, and comes back with an empty memory. A caller resends
        # every key by each entry after each restart: the next owners know the answers.
        async def scenario(cluster: Cluster) -> None:
            keys: list[str] = []
            for name in NAMES:
                await cluster.send_to('menai-1', 40, keys)
                await cluster.nodes[name].leave()
                gone = cluster.nodes.pop(name)
                await asyncio.sleep(0.01)
                for entry in cluster.nodes:
                    await cluster.send_to(entry, 10, keys)
                    for key in keys:
                        self.assertEqual(
                            Outcome.DONE, (await cluster.nodes[entry].send(key)).outcome
                        )
                cluster.start(gone.name)
                await cluster.settle(3)
            self.assertEqual({1}, {cluster.runs[key] for key in keys})

        self.run_cluster(scenario)

    def test_a_duplicate_of_a_call_that_was_handed_over(self):
        # The owner's target is full, so another node's target runs the key. The owner still
        # answers for it: "in progress" at once, then the answer.
        async def scenario(cluster: Cluster) -> None:
            key = cluster.owned_by('bangor-1')
            cluster.nodes['bangor-1'].refuses = ErrorKind.OVERLOADED
            for name in NAMES[1:]:
                cluster.nodes[name].seconds = 2.0
            first = asyncio.create_task(cluster.nodes['menai-1'].send(key))
            await asyncio.sleep(1)
            for node in cluster.nodes.values():
                second = await node.send(key)
                self.assertEqual(ErrorKind.KEY_IN_PROGRESS.value, second.kind)
            self.assertEqual(Outcome.DONE, (await first).outcome)
            self.assertEqual((await first).body, (await cluster.nodes['bangor-1'].send(key)).body)
            self.assertEqual(1, cluster.runs[key])

        self.run_cluster(scenario)

    def test_a_call_lost_while_it_is_handed_over_goes_nowhere_else(self):
        # The node that it was handed to falls silent: it may run the key, so a third node,
        # idle and in reach, must not be given it, now or later.
        async def scenario(cluster: Cluster) -> None:
            cluster.nodes['bangor-1'].refuses = ErrorKind.OVERLOADED
            cluster.frozen |= set(NAMES[1:])
            key = cluster.owned_by('bangor-1')
            reply = await cluster.nodes['bangor-1'].send(key)
            self.assertEqual(Outcome.UNKNOWN, reply.outcome)
            cluster.frozen.clear()
            cluster.nodes['bangor-1'].refuses = None
            for node in cluster.nodes.values():
                reply = await node.send(key)
                self.assertEqual(ErrorKind.OUTCOME_UNKNOWN.value, reply.kind)
            self.assertEqual(0, cluster.runs[key])

        self.run_cluster(scenario)

    def test_a_refused_key_may_be_sent_again_and_a_lost_one_never_runs_again(self):
        async def scenario(cluster: Cluster) -> None:
            key, entry = cluster.owned_by('bangor-1'), cluster.nodes['menai-1']
            for node in cluster.nodes.values():
                node.refuses = ErrorKind.OVERLOADED
            self.assertEqual(Outcome.NOT_RUN, (await entry.send(key)).outcome)
            for node in cluster.nodes.values():
                node.refuses, node.fails = None, ErrorKind.TARGET_LOST
            kinds = [(await entry.send(key)).kind for _ in range(3)]
            self.assertEqual(['target-lost', 'outcome-unknown', 'outcome-unknown'], kinds)
            self.assertEqual(1, cluster.runs[key])
            reused = await entry.send(key, fingerprint=8)
            self.assertEqual(ErrorKind.KEY_REUSED.value, reused.kind)

        self.run_cluster(scenario)

    def test_a_call_without_a_key_is_minted_one_that_a_live_node_owns(self):
        # The caller sends no key. The dead node's ranges are left out, and what was never sent
        # may be called "not run": the key was made here.
        async def scenario(cluster: Cluster) -> None:
            cluster.cuts |= {frozenset(('menai-1', name)) for name in NAMES[:2]}
            for _ in range(30):
                reply = await cluster.nodes['menai-1'].send('')
                self.assertEqual(Outcome.DONE, reply.outcome)

        self.run_cluster(scenario)

    def test_opaque_keys_are_claimed_in_the_platform(self):
        # The create's answer is lost: reading back shows whose it is. While the platform is
        # out, nobody can say whether the key ran elsewhere.
        async def scenario(cluster: Cluster) -> None:
            cluster.store.lose_answers = 1
            replies = [await node.send('order-17') for node in cluster.nodes.values()]
            self.assertEqual({Outcome.DONE}, {reply.outcome for reply in replies})
            self.assertEqual(1, cluster.runs['order-17'])
            cluster.store.down = True
            reply = await cluster.nodes['menai-1'].send('order-18')
            self.assertEqual(ErrorKind.PLATFORM_UNAVAILABLE.value, reply.kind)
            self.assertEqual(0, cluster.runs['order-18'])

        self.run_cluster(scenario)

    def test_a_deleted_map_is_not_begun_afresh(self):
        async def scenario(cluster: Cluster) -> None:
            key = cluster.owned_by('bangor-1')
            held = cluster.store.objects['ranges', SERVICE]
            await cluster.store.delete('ranges', SERVICE, held.version)
            cluster.start('menai-1')
            await cluster.settle(3)
            self.assertIsNone(cluster.store.objects['ranges', SERVICE].value)
            kinds = {(await cluster.nodes['menai-1'].send(key)).kind for _ in range(9)}
            self.assertLessEqual(kinds, {'', ErrorKind.OWNER_UNREACHABLE.value})

        self.run_cluster(scenario)
