"""State that nodes hand to nodes that start, after a restart of one or of all nodes."""

import asyncio
import itertools
import math
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from dunlinsaddle.calls.messages import RecordsRequest, RecordsResponse
from dunlinsaddle.mesh import learned_state
from dunlinsaddle.mesh.learned_state import REFRESH_SECONDS
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.learned_state import (
    FORMAT_VERSION,
    MAX_AGE_SECONDS,
    MAX_BYTES,
    MAX_ENTRIES,
    Ignored,
    KnownLevel,
    LearnedState,
    RuleCost,
    RuleTime,
    TargetRatio,
    Unusable,
    change_share,
    check_age,
    decode_state,
    encode_state,
)
from dunlinsaddle.policy.level import ChainLevels, ReportedLevel
from dunlinsaddle.policy.relative_latency import RelativeLatencies
from dunlinsaddle.policy.request_costs import RequestCosts
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.records.models import Rank
from standins.platform import WRITE_METHODS
from tests.builders import build_learned_state
from tests.fakes.site import paused_wall_clock
from tests.mesh_case import MeshTest

TARGETS = ('a:front', 'b:deep', 'c:deep', 'd:front')
OBJECT = (learned_state.KIND, 'd')


class EncodingTest(TestCase):
    def test_state_is_decoded_as_it_was(self):
        state = build_learned_state(levels=[KnownLevel('deep', 'r', 'deep', 300.5, 0.2)])
        self.assertEqual(state, decode_state(encode_state(state)).unwrap())

    @given(st.binary(max_size=200) | st.from_regex(rb'\[1,[0-9a-z"\[\],.-]*\]', fullmatch=True))
    def test_forged_bytes_are_ignored(self, data):
        # An object that anybody could have written must not end the task that reads it.
        result = decode_state(data)
        self.assertTrue(result.is_ok() or isinstance(result.unwrap_err(), Ignored))

    def test_absurd_values_are_ignored(self):
        # One of them would never leave a moving average.
        for seconds in (math.nan, math.inf, -1.0, 0.0, 1e9):
            state = build_learned_state(call_times=[RuleTime('r', seconds)])
            self.assert_ignored(Unusable.UNREADABLE, msgspec.json.encode(state))

    def test_other_format_versions_are_ignored(self):
        # A newer build may have changed the meaning of a field that still decodes.
        state = build_learned_state(format_version=FORMAT_VERSION + 1)
        self.assert_ignored(Unusable.OTHER_FORMAT, encode_state(state))
        self.assert_ignored(Unusable.OTHER_FORMAT, b'[2,"all else has changed"]')

    def test_large_objects_are_not_decoded(self):
        self.assert_ignored(
            Unusable.TOO_LARGE, encode_state(build_learned_state()).ljust(MAX_BYTES + 1)
        )

    def assert_ignored(self, reason, data):
        self.assertEqual(Ignored(reason), decode_state(data).unwrap_err())

    def test_state_of_a_large_fleet_is_shortened_to_the_limit(self):
        # 960 nodes and some hundred routes with long names: it must still be readable by others.
        names = [f'{i:03}-'.ljust(200, 'n') for i in range(MAX_ENTRIES)]
        state = build_learned_state(
            costs=[RuleCost(name, Rank.NORMAL, 0.1, 0.0) for name in names],
            levels=[KnownLevel(n, n, n, 1.0, 0.1) for n in names],
            ratios=[TargetRatio(name, 1, 1.5, 0.1) for name in names],
        )
        data = encode_state(state)
        self.assertLessEqual(len(data), MAX_BYTES)
        kept = decode_state(data).unwrap()
        self.assertEqual(state.costs[: len(kept.costs)], kept.costs)
        self.assertGreater(len(kept.costs), 10)

    def test_old_state_and_state_from_the_future_are_ignored(self):
        state = build_learned_state(written_at=1000.0)
        self.assertEqual(30.0, check_age(1030.0, state).unwrap())
        for now in (1000.0 + MAX_AGE_SECONDS + 1, 900.0):
            ignored = check_age(now, state).unwrap_err()
            self.assertEqual(Ignored(Unusable.STALE, now - 1000.0), ignored)

    def test_only_changes_of_more_than_a_tenth_count(self):
        state = build_learned_state(service_times=[], costs=[])
        for seconds, is_change in ((0.25, False), (0.27, False), (0.28, True)):
            other = build_learned_state(
                service_times=[], costs=[], call_times=[RuleTime('deep', seconds)]
            )
            self.assertEqual(is_change, change_share(state, other) > 0.1)
        self.assertEqual(1.0, change_share(None, state))


class RestoreTest(TestCase):
    def test_own_costs_are_kept_and_others_taken_over(self):
        costs = RequestCosts()
        costs.record(10.0, 'known', Rank.NORMAL, 0.1)
        received = [RuleCost(rule, Rank.NORMAL, 0.4, 5.0) for rule in ('known', 'new')]
        self.assertEqual(1, costs.restore(10.0, received, 2.0))
        self.assertEqual(
            [('known', 0.1, 0.0), ('new', 0.4, 7.0)],
            [(c.rule, c.seconds, c.age) for c in costs.snapshot(10.0)],
        )

    def test_a_restarted_ingress_refuses_by_the_level_of_its_peers(self):
        # An overload of a deep service goes on while a node restarts. Without the level it admits
        # all requests, and their calls are refused further down.
        levels, restarted = ChainLevels(), ChainLevels()
        levels.record_response(10.0, 'deep', 'r', ReportedLevel(100.0))
        self.assertEqual(1, restarted.restore(10.1, levels.snapshot(10.1), 0.0))
        self.assertIsNotNone(restarted.check(10.2, 'deep', 'r', 200))
        self.assertIsNone(restarted.check(10.2, 'deep', 'r', 50))
        self.assertIsNone(restarted.check(14.0, 'deep', 'r', LOWEST_LEVEL))

    def test_a_closed_level_and_a_stale_level_are_not_taken_over(self):
        # A node that knew no target for a moment would close the service at all that ask it.
        levels, restarted = ChainLevels(), ChainLevels()
        levels.record_unavailable(10.0, 'deep', 'r')
        levels.record_response(8.0, 'other', 'r', ReportedLevel(100.0))
        self.assertEqual(0, restarted.restore(10.1, levels.snapshot(10.1), 0.0))

    def test_the_speed_of_another_incarnation_is_not_taken_over(self):
        latencies, restarted = RelativeLatencies(), RelativeLatencies()
        for instance, seconds in (('x', 0.1), ('y', 0.4), ('z', 0.4)) * 5:
            latencies.record(10.0, instance, 'r', seconds, completed=True)
        ratios = latencies.snapshot_ratios(10.0, {'x': 1, 'y': 1, 'z': 1})
        self.assertEqual(2, restarted.restore_ratios(10.0, ratios, 0.0, {'x': 1, 'y': 1, 'z': 2}))
        self.assertEqual(1.0, restarted.ratio(10.0, 'z'))
        self.assertGreater(restarted.ratio(10.0, 'y'), 1.5)

    def test_service_times_that_the_target_has_shown_are_kept(self):
        admission = SlotAdmission()
        self.assertEqual(
            2, admission.restore_service_times([RuleTime('', 0.2), RuleTime('r', 0.3)])
        )
        self.assertEqual(0, admission.restore_service_times([RuleTime('', 0.9)]))
        self.assertEqual(0.2, admission.snapshot_service_times()[0].seconds)


class OldRequest(msgspec.Struct, tag='ra', array_like=True):
    """The request of a build that knows no learned state."""

    id: int
    since_version: int


class OldResponse(msgspec.Struct, tag='rr', array_like=True):
    """The answer of such a build."""

    id: int
    up_to_version: int
    age_seconds: float
    has_more: bool
    entries: list[object]


class OlderBuildTest(MeshTest):
    def test_frames_are_readable_by_an_older_build_and_its_answer_here(self):
        # An unknown frame would close the link, and with it all calls that run over it.
        request = msgspec.msgpack.encode(RecordsRequest(1, 2, wants_learned_state=True))
        self.assertEqual(OldRequest(1, 2), msgspec.msgpack.decode(request, type=OldRequest))
        response = msgspec.msgpack.encode(RecordsResponse(1, 2, 0.5, False, [], b'state'))
        decoded = msgspec.msgpack.decode(response, type=OldResponse)
        self.assertEqual(OldResponse(1, 2, 0.5, False, []), decoded)
        answer = msgspec.msgpack.encode(OldResponse(1, 2, 0.5, False, []))
        self.assertEqual(b'', msgspec.msgpack.decode(answer, type=RecordsResponse).learned_state)

    def test_a_fleet_of_older_builds_is_asked_in_vain(self):
        async def scenario(mesh):
            for name in 'abd':
                node = mesh.nodes[name]
                node.peer_server.on_records = node.follower.answer_peer
            await mesh.kill('c')
            await mesh.restart('c')
            await asyncio.sleep(2.0)
            return mesh.nodes['c'].learned_state.counts, await mesh.call('c', '/deep/x')

        counts, response = self.run_mesh(scenario, targets=TARGETS)
        self.assertEqual({'nothing'}, {result for _, result in counts})
        self.assertEqual(200, response.status)


class LoadedMeshTest(MeshTest):
    async def serve(self, mesh, count=20):
        for i in range(count):
            running = [name for name in 'ad' if name not in mesh.stopped]
            await asyncio.gather(*(mesh.call(name, f'/deep/{i}') for name in running))
            await asyncio.sleep(0.02)


class RestartTest(LoadedMeshTest):
    def run_restart(self, scenario, **options):
        async def run(mesh):
            await self.serve(mesh)
            return await scenario(mesh)

        return self.run_mesh(run, targets=TARGETS, **options)

    async def restart_all(self, mesh, down_seconds=0.8):
        for name in mesh.nodes:
            await mesh.kill(name)
        await asyncio.sleep(down_seconds)
        await asyncio.gather(*map(mesh.restart, list(mesh.nodes)))

    def test_a_restarted_node_knows_what_its_peers_know(self):
        # The load: look-ups of one rule at a service with two targets, of which one node restarts.
        async def scenario(mesh):
            await mesh.kill('b')
            await asyncio.sleep(0.2)
            await mesh.restart('b')
            await asyncio.sleep(1.6)
            b, c = mesh.nodes['b'], mesh.nodes['c']
            return b.learned_state.snapshot(), c.learned_state.snapshot(), b.learned_state.counts

        restarted, peer, counts = self.run_restart(scenario)
        self.assertIn(('peer', 'applied'), counts)
        self.assertEqual(peer.service_times, restarted.service_times)
        self.assertEqual({'deep'}, {c.rule for c in restarted.costs})

    def test_nodes_that_all_restart_read_one_object(self):
        async def scenario(mesh):
            await asyncio.sleep(13.0)
            calls = []
            get = mesh.store.get
            mesh.store.get = lambda kind, name: calls.append(kind) or get(kind, name)
            await self.restart_all(mesh)
            await asyncio.sleep(1.6)
            counts = [node.learned_state.counts for node in mesh.nodes.values()]
            costs = [node.learned_state.snapshot().costs for node in mesh.nodes.values()]
            return counts, costs, calls.count(learned_state.KIND)

        counts, costs, calls = self.run_restart(scenario)
        self.assertTrue(all(c['peer', 'applied'] + c['store', 'applied'] for c in counts), counts)
        self.assertEqual([{'deep'}] * 4, [{c.rule for c in known} for known in costs])
        self.assertLessEqual(calls, 3)

    def test_an_unusable_object_is_ignored_with_a_log_line(self):
        too_large = ['x' * MAX_BYTES]
        stale = build_learned_state(written_at=1e9)
        cases = {
            Unusable.TOO_LARGE: too_large,
            Unusable.UNREADABLE: {'format': 1},
            Unusable.OTHER_FORMAT: [FORMAT_VERSION + 1],
            Unusable.STALE: msgspec.to_builtins(stale),
        }
        for reason, value in cases.items():

            async def scenario(mesh, value=value):
                await mesh.store.put(*OBJECT, value, 0)
                with self.assertLogs('dunlinsaddle.tests.test', 'WARNING') as logs:
                    await self.restart_all(mesh)
                    await asyncio.sleep(2.0)
                statuses = [(await mesh.call(name, '/deep/x')).status for name in 'ad']
                return {getattr(r, 'why', '') for r in logs.records}, statuses

            reasons, statuses = self.run_mesh(scenario, targets=TARGETS)
            self.assertIn(reason.value, reasons)
            self.assertEqual([200, 200], statuses)

    def test_a_target_of_another_incarnation_begins_from_scratch(self):
        # The target restarts together with its node: it may be cold, or another program.
        async def scenario(mesh, started_at_ms):
            stored = build_learned_state(
                instance='b',
                incarnation=mesh.nodes['b'].target.incarnation,
                written_at=paused_wall_clock(),
            )
            await mesh.store.put(*OBJECT, msgspec.to_builtins(stored), 0)
            mesh.targets['b'].started_at_ms = started_at_ms
            await self.restart_all(mesh)
            await asyncio.sleep(2.0)
            return mesh.nodes['b'].learned_state.snapshot().service_times

        same = self.run_mesh(lambda mesh: scenario(mesh, 1), targets=TARGETS)
        other = self.run_mesh(lambda mesh: scenario(mesh, 2), targets=TARGETS)
        self.assertEqual(build_learned_state().service_times, same)
        self.assertEqual([], other)

    def seconds_to_readiness(self, *, store_down=False, silent_peers=False):
        async def scenario(mesh):
            if silent_peers:
                for name in 'abd':
                    mesh.nodes[name].peer_server.on_records = lambda frame: None
            await mesh.kill('c')
            await asyncio.sleep(0.1)
            if store_down:
                mesh.store.get = mock.AsyncMock(side_effect=lambda *_: asyncio.sleep(60))
            started_at = asyncio.get_running_loop().time()
            await mesh.restart('c')
            for _ in range(1000):
                if (await mesh.nodes['c']._handle_readiness(None)).status == 200:
                    break
                await asyncio.sleep(0.001)
            return asyncio.get_running_loop().time() - started_at

        return self.run_restart(scenario)

    def test_readiness_does_not_wait_for_peers_or_for_the_store(self):
        # No peer answers within 0.3 s, and the store hangs: the node starts as if nothing were
        # known anywhere.
        usual = self.seconds_to_readiness()
        without = self.seconds_to_readiness(store_down=True, silent_peers=True)
        self.assertAlmostEqual(usual, without, delta=0.005)
        self.assertLess(without, 0.3)

    def test_a_fleet_starts_without_the_store(self):
        async def scenario(mesh):
            await mesh.kill('b')
            mesh.store.down = True
            await mesh.restart('b')
            await asyncio.sleep(3.0)
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.run_restart(scenario))


class StoredObjectTest(LoadedMeshTest):
    def count_writes(self, scenario, **options):
        async def run(mesh):
            await scenario(mesh)
            return [
                call.called_at
                for call in mesh.store.call_log
                if call.kind == learned_state.KIND and call.method in WRITE_METHODS
            ]

        return self.run_mesh(run, targets=TARGETS, **options)

    def test_nothing_is_written_while_nothing_was_learned(self):
        async def scenario(mesh):
            await asyncio.sleep(60)

        self.assertEqual([], self.count_writes(scenario))

    def test_one_node_writes_steady_state_once_until_it_would_be_too_old(self):
        async def scenario(mesh):
            for _ in range(28):
                await self.serve(mesh, 5)
                await asyncio.sleep(0.9)

        self.assertEqual(1, len(self.count_writes(scenario)))

    def test_a_write_whose_answer_is_lost_is_not_repeated(self):
        # The object was written, so its version is not the one that the writer knows.
        async def scenario(mesh):
            mesh.store.lose_answers = 1
            for _ in range(28):
                await self.serve(mesh, 5)
                await asyncio.sleep(0.9)

        self.assertEqual(1, len(self.count_writes(scenario)))

    def test_another_node_writes_when_the_writer_dies(self):
        async def scenario(mesh):
            writers = []
            for _ in range(2):
                await self.serve(mesh)
                await asyncio.sleep(13.0)
                stored = msgspec.convert(mesh.store.objects[OBJECT].value, LearnedState)
                writers.append(stored.instance)
                await mesh.kill(stored.instance)
                await asyncio.sleep(REFRESH_SECONDS)
            self.assertEqual(2, len(set(writers)))

        self.assertGreaterEqual(len(self.count_writes(scenario)), 2)

    def test_changing_state_is_written_every_ten_seconds_at_most(self):
        # Service times double each second, so every look finds a change.
        async def scenario(mesh):
            for i in range(40):
                for name in 'bc':
                    mesh.targets[name].response_seconds = 0.01 * 1.1**i
                await self.serve(mesh, 10)
                await asyncio.sleep(0.7)

        times = self.count_writes(scenario)
        self.assertGreater(len(times), 2)
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        self.assertGreaterEqual(min(gaps), learned_state.WRITE_INTERVAL_SECONDS)
