import asyncio
from typing import Any

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.inbound.handlers import CallerHandler
from dunlinsaddle.calls.messages import Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.membership.view import State
from dunlinsaddle.records.models import VersionedRecord
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.stats import Stats
from tests.builders import build_member, build_record
from tests.clock import PausedClockTest
from tests.once_cluster import NAMES, SERVICE, Cluster, NodeProcess


class EntryTest(PausedClockTest):
    def test_entry_node_does_not_report_a_running_key_as_not_run(self):
        # The caller gets "in progress" and retries at once, a dozen times. The entry node limits
        # resends, but must not answer "not run" while the first attempt is running.
        class RunningKeyDispatcher:
            idempotency_router = None

            async def dispatch(self, call: PendingCall) -> Reply:
                return refusal(Failure(ErrorKind.KEY_IN_PROGRESS, retry_after=5.0))

        async def scenario() -> None:
            record_cache = RecordCache()
            record_cache.update(VersionedRecord('cut-orders', 1, build_record(resend_ratio=0.0)))
            dispatcher: Any = RunningKeyDispatcher()
            handler = CallerHandler(record_cache, dispatcher, Stats())
            headers = [(b'idempotency-key', b'order-17')]
            req = HttpRequest('POST', '/cut-orders/stock', headers, b'', '10.0.0.1')
            statuses = {(await handler.handle(req)).status for _ in range(12)}
            self.assertEqual({409}, statuses)

        self.run_paused(scenario())


class OnceTest(PausedClockTest):
    def run_cluster(self, scenario):
        async def run() -> None:
            cluster = Cluster()
            for name, skew in zip(NAMES, (0.0, 20.0, -20.0), strict=True):
                cluster.start(name, skew)
            await cluster.run_ticks()
            await scenario(cluster)
            self.assertEqual([], cluster.violations)

        self.run_paused(run())

    def other(self, cluster: Cluster, node: NodeProcess) -> NodeProcess:
        return next(n for n in cluster.nodes.values() if n.name != node.name)

    def test_every_node_returns_the_same_reply_to_a_key(self):
        async def scenario(cluster: Cluster) -> None:
            key = cluster.generate_key()
            replies = [await node.send(key) for node in cluster.nodes.values()]
            self.assertEqual(1, len({reply.body for reply in replies}))
            self.assertEqual({Outcome.DONE}, {reply.outcome for reply in replies})
            self.assertEqual(1, cluster.runs[key])

        self.run_cluster(scenario)

    def test_owner_counts_its_keys_and_reports_its_ranges(self):
        async def scenario(cluster: Cluster) -> None:
            owner = cluster.nodes['bangor-1']
            key = cluster.generate_key_owned_by('bangor-1')
            for _ in range(3):
                await owner.send(key)
            await owner.send(key, fingerprint=8)
            counts = {'accepted': 1, 'repeated': 2, 'key-reused': 1}
            self.assertEqual(counts, dict(owner.router.owned_keys.stats.keys))
            holdings = [n.range_manager.owned_ranges(SERVICE) for n in cluster.nodes.values()]
            self.assertEqual(64, sum(owned_ranges.ranges for owned_ranges in holdings))
            await asyncio.sleep(30)
            owned_ranges = owner.range_manager.owned_ranges(SERVICE)
            self.assertGreater(owned_ranges.platform_age, 30)
            self.assertLess(owned_ranges.until - owner.range_manager.clock(), 270_000)

        self.run_cluster(scenario)

    def test_resend_during_the_first_run_is_answered_at_once(self):
        # The caller times out early and resends the key through another node. The first run
        # continues, so the resend gets "in progress" without waiting, and later its reply.
        async def scenario(cluster: Cluster) -> None:
            loop = asyncio.get_running_loop()
            key = cluster.generate_key_owned_by('bangor-1')
            cluster.nodes['bangor-1'].run_seconds = 3.0
            first = asyncio.create_task(cluster.nodes['menai-1'].send(key))
            await asyncio.sleep(1)
            started_at = loop.time()
            second = await cluster.nodes['caernarfon-1'].send(key)
            self.assertEqual(ErrorKind.KEY_IN_PROGRESS.value, second.kind)
            self.assertLess(loop.time() - started_at, 0.01)
            self.assertGreater(second.retry_after, 0)
            answer = await first
            self.assertEqual(answer.body, (await cluster.nodes['caernarfon-1'].send(key)).body)

        self.run_cluster(scenario)

    def test_run_continues_after_its_caller_disconnects(self):
        # The entry node cancels its call. The run must continue, or its outcome would be lost.
        async def scenario(cluster: Cluster) -> None:
            key = cluster.generate_key_owned_by('bangor-1')
            cluster.nodes['bangor-1'].run_seconds = 1.0
            gone = asyncio.create_task(cluster.nodes['bangor-1'].send(key))
            await asyncio.sleep(0.1)
            gone.cancel()
            await asyncio.sleep(2)
            cluster.open_sends.clear()
            self.assertEqual(Outcome.DONE, (await cluster.nodes['menai-1'].send(key)).outcome)

        self.run_cluster(scenario)

    def test_outcome_stays_unknown_after_the_owner_has_crashed(self):
        # The owner ran the key, is killed and restarts with an empty memory. No node knows
        # whether the key ran, so each one answers "outcome unknown" and none runs it again.
        async def scenario(cluster: Cluster) -> None:
            key = cluster.generate_key_owned_by('bangor-1')
            await cluster.nodes['menai-1'].send(key)
            del cluster.nodes['bangor-1']
            reply = await cluster.nodes['menai-1'].send(key)
            self.assertEqual(ErrorKind.OWNER_UNREACHABLE.value, reply.kind)
            cluster.start('bangor-1')
            await cluster.run_ticks(200)
            for node in cluster.nodes.values():
                reply = await node.send(key)
                self.assertEqual(ErrorKind.OUTCOME_UNKNOWN.value, reply.kind)
            self.assertEqual(1, cluster.runs[key])

        self.run_cluster(scenario)

    def test_restarted_owner_accepts_keys_again_in_time(self):
        # An owner whose clock is 20 s fast is killed and restarted at the same address with a
        # correct clock. Keys that it may have run stay unknown, including those that it accepted
        # only because of its fast clock. Keys generated later run once each.
        async def scenario(cluster: Cluster) -> None:
            old_keys = [
                cluster.generate_key(ahead) for ahead in (0, 20_000, 45_000) for _ in range(20)
            ]
            for key in old_keys:
                await cluster.nodes['menai-1'].send(key)
            ran = dict(cluster.runs)
            cluster.start('caernarfon-1')
            loop, started_at, outcomes = (
                asyncio.get_running_loop(),
                asyncio.get_running_loop().time(),
                {},
            )
            while loop.time() - started_at < 320:
                await cluster.run_ticks(1)
                key = cluster.generate_key()
                reply = await cluster.nodes['menai-1'].send(key)
                outcomes[loop.time() - started_at] = reply.outcome
            unserved_times = [at for at, outcome in outcomes.items() if outcome is not Outcome.DONE]
            self.assertLess(max(unserved_times, default=0.0), 54.0)
            for key in old_keys:
                await cluster.nodes['menai-1'].send(key)
            self.assertEqual(ran, {key: cluster.runs[key] for key in ran})

        self.run_cluster(scenario)

    def test_process_that_has_closed_its_port_accepts_no_key(self):
        # A process is paused after it has closed its port, and its successor takes over its
        # keys. When it resumes, it must not run the calls that it has already read.
        async def scenario(cluster: Cluster) -> None:
            key = cluster.generate_key_owned_by('bangor-1')
            cluster.nodes['bangor-1'].range_manager.close()
            await cluster.nodes['bangor-1'].send(key)
            self.assertEqual(0, cluster.runs[key])

        self.run_cluster(scenario)

    def test_owner_that_resumes_runs_no_key_of_its_successor(self):
        # The owner freezes until its ranges have expired and others own them. When it resumes
        # with its outdated map, it still owns the keys generated before the end of its interval.
        # Later keys it refuses; they run only at the successor.
        async def scenario(cluster: Cluster) -> None:
            owner = cluster.nodes['bangor-1']
            old_key = cluster.generate_key_owned_by('bangor-1')
            cluster.frozen.add('bangor-1')
            for name in NAMES[1:]:
                gone = build_member('bangor-1', state=State.DEAD)
                cluster.nodes[name].view.merge(gone)
            await cluster.run_ticks(200)
            young_keys = [cluster.generate_key() for _ in range(40)]
            for key in [old_key, *young_keys]:
                await cluster.nodes['menai-1'].send(key)
            cluster.frozen.clear()
            for key in [old_key, *young_keys]:
                await owner.send(key)
            self.assertEqual({1}, {cluster.runs[key] for key in young_keys})

        self.run_cluster(scenario)

    def test_no_key_runs_twice_across_a_partition(self):
        # One node is cut off from the platform and from the others, and keeps its ranges until
        # they expire; the others claim them afterwards. Each key is sent on both sides and must
        # run at most once.
        async def scenario(cluster: Cluster) -> None:
            isolated_node = cluster.nodes['bangor-1']
            cluster.cut_links |= {frozenset(('bangor-1', name)) for name in NAMES[1:]}
            cluster.frozen.add('bangor-1')  # keeps it from the platform; calls go by the cuts
            served = 0
            for _ in range(30):
                await cluster.run_ticks(6)
                key = cluster.generate_key()
                replies = [
                    await node.send(key) for node in (isolated_node, *cluster.nodes.values())
                ]
                served += any(reply.outcome is Outcome.DONE for reply in replies)
            self.assertGreater(served, 20)
            self.assertEqual(1, max(cluster.runs.values()))

        self.run_cluster(scenario)

    def test_no_key_runs_twice_when_the_write_that_closes_a_range_is_delayed(self):
        # Two writes that close a range get no response, and the earlier one takes effect later.
        # The owner must not accept the keys in between: by that write the next owner owns them.
        async def scenario(cluster: Cluster) -> None:
            owner = cluster.nodes['bangor-1']
            owner.leaving = cluster.store.delays_writes = True
            await owner.tick()
            await asyncio.sleep(5)
            keys_during_handover = [cluster.generate_key_owned_by('bangor-1') for _ in range(20)]
            await asyncio.sleep(5)
            await owner.tick()
            for key in keys_during_handover:
                await owner.send(key)
            cluster.store.delays_writes = False
            await cluster.store.apply_delayed_write()
            for key in keys_during_handover:
                for node in cluster.nodes.values():
                    await node.range_manager.refresh(SERVICE)
                    await node.send(key)
            self.assertEqual({1}, {cluster.runs[key] for key in keys_during_handover})

        self.run_cluster(scenario)

    def test_ownership_write_with_a_lost_response_is_read_back(self):
        async def scenario(cluster: Cluster) -> None:
            cluster.store.lose_answers = 1
            await asyncio.sleep(100)
            await cluster.nodes['bangor-1'].tick()
            writes = cluster.nodes['bangor-1'].range_manager.writes
            await cluster.nodes['bangor-1'].tick()
            self.assertEqual(writes, cluster.nodes['bangor-1'].range_manager.writes)
            await cluster.nodes['menai-1'].send(cluster.generate_key_owned_by('bangor-1'))

        self.run_cluster(scenario)

    def test_calls_succeed_in_a_platform_outage_shorter_than_the_horizon(self):
        async def scenario(cluster: Cluster) -> None:
            cluster.store.down = True
            calls = cluster.store.calls
            for _ in range(20):
                await asyncio.sleep(10)
                reply = await cluster.nodes['menai-1'].send(cluster.generate_key())
                self.assertEqual(Outcome.DONE, reply.outcome)
            # In 200 s each of three nodes rereads the map every 60 s; calls cause no reads.
            self.assertLessEqual(cluster.store.calls - calls, 12)

        self.run_cluster(scenario)

    def test_number_of_platform_calls_in_an_hour_is_bounded(self):
        # Ranges are extended once a minute, regardless of the number of calls: 6 platform calls
        # a minute for three nodes, a write and a read each, and a few for conflicting writes.
        async def scenario(cluster: Cluster) -> None:
            calls = cluster.store.calls
            for second in range(3600):
                for node in cluster.nodes.values():
                    await node.tick()
                if second % 10 == 0:
                    await cluster.nodes['menai-1'].send(cluster.generate_key())
                await asyncio.sleep(1)
            self.assertLessEqual(cluster.store.calls - calls, 60 * 6 * 1.5)
            self.assertEqual({'done': 360}, dict(cluster.answers))

        self.run_cluster(scenario)

    def test_draining_owner_hands_over_calls_and_ranges(self):
        # The draining target refuses, so the owner forwards the call to another node once.
        # Duplicates get the owner's reply. Later keys go to the next owners, and none is refused
        # during the handover.
        async def scenario(cluster: Cluster) -> None:
            owner = cluster.nodes['bangor-1']
            key = cluster.generate_key_owned_by('bangor-1')
            owner.leaving, owner.refusal_kind = True, ErrorKind.DRAINING
            replies = [await node.send(key) for node in cluster.nodes.values()]
            self.assertEqual({Outcome.DONE}, {reply.outcome for reply in replies})
            await owner.tick()
            for _ in range(40):
                key = cluster.generate_key()
                replies = [await node.send(key) for node in cluster.nodes.values()]
                self.assertEqual({Outcome.DONE}, {reply.outcome for reply in replies})
                self.assertEqual(1, cluster.runs[key])

        self.run_cluster(scenario)

    def test_replies_are_kept_through_a_rolling_restart(self):
        # Each node in turn drains, leaves and restarts with an empty memory. After each restart
        # every key is resent through each node: the next owners return the stored replies.
        async def scenario(cluster: Cluster) -> None:
            keys: list[str] = []
            for name in NAMES:
                await cluster.send_to('menai-1', 40, keys)
                await cluster.nodes[name].drain_and_leave()
                gone = cluster.nodes.pop(name)
                await asyncio.sleep(0.01)
                for entry in cluster.nodes:
                    await cluster.send_to(entry, 10, keys)
                    for key in keys:
                        self.assertEqual(
                            Outcome.DONE, (await cluster.nodes[entry].send(key)).outcome
                        )
                cluster.start(gone.name)
                await cluster.run_ticks(3)
            self.assertEqual({1}, {cluster.runs[key] for key in keys})

        self.run_cluster(scenario)

    def test_duplicate_of_a_forwarded_call_is_answered_by_the_owner(self):
        # The owner's target is overloaded, so the target of another node runs the key. The owner
        # still answers duplicates: "in progress" at once, later the reply.
        async def scenario(cluster: Cluster) -> None:
            key = cluster.generate_key_owned_by('bangor-1')
            cluster.nodes['bangor-1'].refusal_kind = ErrorKind.OVERLOADED
            for name in NAMES[1:]:
                cluster.nodes[name].run_seconds = 2.0
            first = asyncio.create_task(cluster.nodes['menai-1'].send(key))
            await asyncio.sleep(1)
            for node in cluster.nodes.values():
                second = await node.send(key)
                self.assertEqual(ErrorKind.KEY_IN_PROGRESS.value, second.kind)
            self.assertEqual(Outcome.DONE, (await first).outcome)
            self.assertEqual((await first).body, (await cluster.nodes['bangor-1'].send(key)).body)
            self.assertEqual(1, cluster.runs[key])

        self.run_cluster(scenario)

    def test_forwarded_call_that_is_lost_is_not_sent_elsewhere(self):
        # The node that the call was forwarded to stops responding. It may run the key, so the
        # call must not be sent to the third node, which is idle and reachable, now or later.
        async def scenario(cluster: Cluster) -> None:
            cluster.nodes['bangor-1'].refusal_kind = ErrorKind.OVERLOADED
            cluster.frozen |= set(NAMES[1:])
            key = cluster.generate_key_owned_by('bangor-1')
            reply = await cluster.nodes['bangor-1'].send(key)
            self.assertEqual(Outcome.UNKNOWN, reply.outcome)
            cluster.frozen.clear()
            cluster.nodes['bangor-1'].refusal_kind = None
            for node in cluster.nodes.values():
                reply = await node.send(key)
                self.assertEqual(ErrorKind.OUTCOME_UNKNOWN.value, reply.kind)
            self.assertEqual(0, cluster.runs[key])

        self.run_cluster(scenario)

    def test_refused_key_may_be_resent_and_lost_key_never_runs_again(self):
        async def scenario(cluster: Cluster) -> None:
            key, entry = cluster.generate_key_owned_by('bangor-1'), cluster.nodes['menai-1']
            for node in cluster.nodes.values():
                node.refusal_kind = ErrorKind.OVERLOADED
            self.assertEqual(Outcome.NOT_RUN, (await entry.send(key)).outcome)
            for node in cluster.nodes.values():
                node.refusal_kind, node.failure_kind = None, ErrorKind.TARGET_LOST
            kinds = [(await entry.send(key)).kind for _ in range(3)]
            self.assertEqual(['target-lost', 'outcome-unknown', 'outcome-unknown'], kinds)
            self.assertEqual(1, cluster.runs[key])
            reused = await entry.send(key, fingerprint=8)
            self.assertEqual(ErrorKind.KEY_REUSED.value, reused.kind)

        self.run_cluster(scenario)

    def test_call_without_a_key_gets_a_key_of_a_reachable_owner(self):
        # The caller sends no key, and the entry node is cut off from the others. It generates
        # keys until it can reach the owner of one. It knows that the keys before did not run,
        # because it generated them and never sent them.
        async def scenario(cluster: Cluster) -> None:
            cluster.cut_links |= {frozenset(('menai-1', name)) for name in NAMES[:2]}
            for _ in range(30):
                reply = await cluster.nodes['menai-1'].send('')
                self.assertEqual(Outcome.DONE, reply.outcome)

        self.run_cluster(scenario)

    def test_opaque_keys_are_claimed_in_the_platform(self):
        # The response to the claim is lost, and reading the claim back shows who owns the key.
        # During a platform outage no node knows whether a key ran elsewhere.
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

    def test_deleted_range_map_is_not_recreated(self):
        async def scenario(cluster: Cluster) -> None:
            key = cluster.generate_key_owned_by('bangor-1')
            held = cluster.store.objects['ranges', SERVICE]
            await cluster.store.delete('ranges', SERVICE, held.version)
            cluster.start('menai-1')
            await cluster.run_ticks(3)
            self.assertIsNone(cluster.store.objects['ranges', SERVICE].value)
            kinds = {(await cluster.nodes['menai-1'].send(key)).kind for _ in range(9)}
            self.assertLessEqual(kinds, {'', ErrorKind.OWNER_UNREACHABLE.value})

        self.run_cluster(scenario)
