"""A key that was taken away is refused everywhere in time, also where no word of it arrives."""

import asyncio
import math

from testtools import TestCase

from dunlinsaddle.access.configuration_lease import EXPIRY_FRACTION, ConfigurationLease
from dunlinsaddle.routes.lease_renewal import RENEWAL_INTERVAL_SECONDS
from tests.builders import build_configuration, build_tenant
from tests.fakes.mesh import LIMITS
from tests.mesh_case import MeshTest

DOMAINS = 3
NODES = 15
NAMES = [f'n{i:02}' for i in range(NODES)]
KEY = 'Bearer key-of-acme'
REVOKE = LIMITS.revocation_seconds
BEFORE = [build_tenant('acme'), build_tenant('zeta')]
AFTER = [build_tenant('acme', 'another-key'), build_tenant('zeta')]


class FleetTest(MeshTest):
    def fleet(self, scenario):
        targets = [f'{name}:front:d{index % DOMAINS}' for index, name in enumerate(NAMES)]
        return self.run_mesh(scenario, targets=targets, settle_seconds=12, tenants=BEFORE)

    async def withdraw(self, mesh):
        held = mesh.store.objects['config', 'main']
        routes = held.value['resources'][:2]
        changed = build_configuration('r9', routes, AFTER)
        await mesh.store.put('config', 'main', changed, held.version)

    async def statuses(self, mesh, names, key=KEY):
        answers = [mesh.call(n, '/front/x', request_id=f'q{n}', authorization=key) for n in names]
        return {answer.status for answer in await asyncio.gather(*answers)}

    def watchers(self, mesh):
        return {name for name, node in mesh.nodes.items() if node.follower.should_watch()}

    async def ages(self, mesh, seconds, names=NAMES):
        """Give the greatest age of a proof at any of the nodes over some time."""
        most = 0.0
        for _ in range(int(seconds / 0.1)):
            await asyncio.sleep(0.1)
            most = max(most, *(mesh.nodes[name].configuration_lease.age for name in names))
        return most

    def test_proofs_stay_young_at_all_nodes_for_few_calls_to_the_store(self):
        async def scenario(mesh):
            before = mesh.store.calls
            return await self.ages(mesh, 60), mesh.store.calls - before

        oldest, calls = self.fleet(scenario)
        self.assertLess(oldest, EXPIRY_FRACTION * REVOKE)
        # Nine watches of five seconds, one question a second for each domain, and two passes of
        # nine keepers over the rosters.
        self.assertLessEqual(calls, 9 * 60 / 5 + DOMAINS * 60 + 9 * 4)

    def test_nodes_cut_off_from_everything_refuse_in_time(self):
        async def scenario(mesh):
            cut = set(NAMES[::3])
            mesh.isolate(cut)
            await self.withdraw(mesh)
            await asyncio.sleep(REVOKE)
            return await self.statuses(mesh, cut), await self.statuses(mesh, set(NAMES) - cut)

        self.assertEqual(({503}, {401}), self.fleet(scenario))

    def test_they_let_callers_in_again_as_soon_as_they_are_back(self):
        async def scenario(mesh):
            cut = set(NAMES[::3])
            mesh.isolate(cut)
            await asyncio.sleep(REVOKE + 3)
            shut = await self.statuses(mesh, cut)
            mesh.isolate(set())
            await asyncio.sleep(2)
            return shut, await self.statuses(mesh, NAMES)

        self.assertEqual(({503}, {200}), self.fleet(scenario))

    def test_nodes_that_the_store_turns_away_hear_from_those_it_serves(self):
        # All nodes of one domain are refused by the store, its watchers among them.
        async def scenario(mesh):
            mesh.nodes_without_store = set(NAMES[1::3])
            oldest = await self.ages(mesh, 20)
            await self.withdraw(mesh)
            await asyncio.sleep(REVOKE / 2)
            return oldest, await self.statuses(mesh, NAMES)

        oldest, statuses = self.fleet(scenario)
        self.assertLess(oldest, EXPIRY_FRACTION * REVOKE)
        self.assertEqual({401}, statuses)

    def test_all_watchers_turned_away_shut_nobody_out(self):
        async def scenario(mesh):
            mesh.nodes_without_store = self.watchers(mesh)
            return await self.ages(mesh, 20)

        self.assertLess(self.fleet(scenario), EXPIRY_FRACTION * REVOKE)

    def test_a_watcher_that_dies_shuts_nobody_out(self):
        async def scenario(mesh):
            dead = self.watchers(mesh)
            for name in dead:
                await mesh.kill(name)
            return await self.ages(mesh, 20, [n for n in NAMES if n not in dead])

        self.assertLess(self.fleet(scenario), EXPIRY_FRACTION * REVOKE)

    def test_an_outage_of_the_store_shuts_callers_out_until_its_end_and_brings_no_flood(self):
        async def scenario(mesh):
            mesh.store.down = True
            await asyncio.sleep(REVOKE)
            shut = await self.statuses(mesh, NAMES)
            before = mesh.store.calls
            await asyncio.sleep(10)
            calls = mesh.store.calls - before
            mesh.store.down = False
            await asyncio.sleep(2)
            return shut, calls, await self.statuses(mesh, NAMES)

        shut, calls, after = self.fleet(scenario)
        self.assertEqual(({503}, {200}), (shut, after))
        # Nine watchers that try each second, twice, and one node of each domain each round.
        self.assertLessEqual(calls, 10 * (2 * 9 / 0.75 + DOMAINS / RENEWAL_INTERVAL_SECONDS))

    def test_a_key_that_was_just_added_is_not_refused_for_good(self):
        # A node that has not heard of the key yet waits for word of a newer configuration.
        async def scenario(mesh):
            await self.withdraw(mesh)
            return await self.statuses(mesh, NAMES, 'Bearer another-key')

        self.assertNotIn(401, self.fleet(scenario))

    def test_a_key_that_moves_to_another_organisation_names_the_new_one(self):
        async def scenario(mesh):
            held = mesh.store.objects['config', 'main']
            tenants = [build_tenant('acme', 'none'), build_tenant('zeta', 'key-of-acme')]
            routes = held.value['resources'][:2]
            changed = build_configuration('r9', routes, tenants)
            await mesh.store.put('config', 'main', changed, held.version)
            await asyncio.sleep(2)
            await self.statuses(mesh, NAMES[:3])
            seen = [req for t in mesh.targets.values() for req in t.requests]
            return {req.header(b'tenant') for req in seen}

        self.assertEqual({'zeta'}, self.fleet(scenario))


class FreshnessTest(TestCase):
    def lease(self, most=5.0):
        self.time = 0.0
        return ConfigurationLease(lambda: self.time, most)

    def test_it_lapses_well_before_the_bound(self):
        lease = self.lease()
        self.assertTrue(lease.expired)
        lease.renew(0.0)
        self.time = EXPIRY_FRACTION * 5.0 - 0.01
        self.assertFalse(lease.expired)
        self.time = EXPIRY_FRACTION * 5.0
        self.assertTrue(lease.expired)

    def test_an_older_proof_takes_nothing_back(self):
        lease = self.lease()
        lease.renew(3.0)
        lease.renew(1.0)
        self.assertEqual(3.0, lease.confirmed_at)

    def test_where_nothing_binds_it_never_lapses(self):
        lease = self.lease(None)
        self.assertEqual(math.inf, lease.age)
        self.assertFalse(lease.expired)

    def test_a_suspended_machine_finds_its_proof_too_old(self):
        # The loop's clock stands still while a machine is suspended; this one goes on.
        lease = self.lease()
        lease.renew(0.0)
        self.time = 60.0
        self.assertTrue(lease.expired)
