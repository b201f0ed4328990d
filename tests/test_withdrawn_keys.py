"""Revoked keys are refused by all nodes in time, also by nodes that do not learn of it."""

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
AUTHORIZATION = 'Bearer key-of-acme'
REVOCATION_SECONDS = LIMITS.revocation_seconds
TENANTS = [build_tenant('acme'), build_tenant('zeta')]
TENANTS_AFTER_REVOCATION = [build_tenant('acme', 'another-key'), build_tenant('zeta')]


class RevocationTest(MeshTest):
    def run_fleet(self, scenario):
        targets = [f'{name}:front:d{index % DOMAINS}' for index, name in enumerate(NAMES)]
        return self.run_mesh(scenario, targets=targets, settle_seconds=12, tenants=TENANTS)

    async def revoke_key(self, mesh):
        stored = mesh.store.objects['config', 'main']
        routes = stored.value['resources'][:2]
        changed = build_configuration('r9', routes, TENANTS_AFTER_REVOCATION)
        await mesh.store.put('config', 'main', changed, stored.version)

    async def statuses(self, mesh, names, authorization=AUTHORIZATION):
        answers = [
            mesh.call(n, '/front/x', request_id=f'q{n}', authorization=authorization) for n in names
        ]
        return {answer.status for answer in await asyncio.gather(*answers)}

    def watchers(self, mesh):
        return {name for name, node in mesh.nodes.items() if node.follower.should_watch()}

    async def max_lease_age(self, mesh, seconds, names=NAMES):
        """Return the greatest age of any node's lease during some seconds."""
        oldest = 0.0
        for _ in range(int(seconds / 0.1)):
            await asyncio.sleep(0.1)
            oldest = max(oldest, *(mesh.nodes[name].configuration_lease.age for name in names))
        return oldest

    def test_all_leases_are_renewed_in_time_with_few_calls_to_the_store(self):
        async def scenario(mesh):
            before = mesh.store.call_count
            return await self.max_lease_age(mesh, 60), mesh.store.call_count - before

        oldest, calls = self.run_fleet(scenario)
        self.assertLess(oldest, EXPIRY_FRACTION * REVOCATION_SECONDS)
        # Nine watches of five seconds, one call a second for each domain, and two passes over the
        # rosters by nine coordinators.
        self.assertLessEqual(calls, 9 * 60 / 5 + DOMAINS * 60 + 9 * 4)

    def test_isolated_nodes_refuse_all_keys_in_time(self):
        async def scenario(mesh):
            isolated = set(NAMES[::3])
            mesh.isolate(isolated)
            await self.revoke_key(mesh)
            await asyncio.sleep(REVOCATION_SECONDS)
            return await self.statuses(mesh, isolated), await self.statuses(
                mesh, set(NAMES) - isolated
            )

        self.assertEqual(({503}, {401}), self.run_fleet(scenario))

    def test_isolated_nodes_accept_keys_again_soon_after_reconnecting(self):
        async def scenario(mesh):
            isolated = set(NAMES[::3])
            mesh.isolate(isolated)
            await asyncio.sleep(REVOCATION_SECONDS + 3)
            refused = await self.statuses(mesh, isolated)
            mesh.isolate(set())
            await asyncio.sleep(2)
            return refused, await self.statuses(mesh, NAMES)

        self.assertEqual(({503}, {200}), self.run_fleet(scenario))

    def test_nodes_refused_by_the_store_learn_of_revocations_from_other_nodes(self):
        # The store refuses all nodes of one failure domain, including its watchers.
        async def scenario(mesh):
            mesh.nodes_without_store = set(NAMES[1::3])
            oldest = await self.max_lease_age(mesh, 20)
            await self.revoke_key(mesh)
            await asyncio.sleep(REVOCATION_SECONDS / 2)
            return oldest, await self.statuses(mesh, NAMES)

        oldest, statuses = self.run_fleet(scenario)
        self.assertLess(oldest, EXPIRY_FRACTION * REVOCATION_SECONDS)
        self.assertEqual({401}, statuses)

    def test_leases_stay_valid_when_the_store_refuses_all_watchers(self):
        async def scenario(mesh):
            mesh.nodes_without_store = self.watchers(mesh)
            return await self.max_lease_age(mesh, 20)

        self.assertLess(self.run_fleet(scenario), EXPIRY_FRACTION * REVOCATION_SECONDS)

    def test_leases_stay_valid_when_the_watchers_crash(self):
        async def scenario(mesh):
            dead = self.watchers(mesh)
            for name in dead:
                await mesh.kill(name)
            return await self.max_lease_age(mesh, 20, [n for n in NAMES if n not in dead])

        self.assertLess(self.run_fleet(scenario), EXPIRY_FRACTION * REVOCATION_SECONDS)

    def test_keys_are_refused_until_an_outage_of_the_store_ends_without_flooding_it(self):
        async def scenario(mesh):
            mesh.store.down = True
            await asyncio.sleep(REVOCATION_SECONDS)
            refused = await self.statuses(mesh, NAMES)
            before = mesh.store.call_count
            await asyncio.sleep(10)
            calls = mesh.store.call_count - before
            mesh.store.down = False
            await asyncio.sleep(2)
            return refused, calls, await self.statuses(mesh, NAMES)

        refused, calls, after = self.run_fleet(scenario)
        self.assertEqual(({503}, {200}), (refused, after))
        # Nine watchers that call each second, twice, and one node of each domain each round.
        self.assertLessEqual(calls, 10 * (2 * 9 / 0.75 + DOMAINS / RENEWAL_INTERVAL_SECONDS))

    def test_key_that_was_just_added_is_not_refused_with_401(self):
        # A node that does not know the key yet waits for a newer configuration.
        async def scenario(mesh):
            await self.revoke_key(mesh)
            return await self.statuses(mesh, NAMES, 'Bearer another-key')

        self.assertNotIn(401, self.run_fleet(scenario))

    def test_key_that_moves_to_another_organisation_identifies_the_new_one(self):
        async def scenario(mesh):
            stored = mesh.store.objects['config', 'main']
            tenants = [build_tenant('acme', 'none'), build_tenant('zeta', 'key-of-acme')]
            routes = stored.value['resources'][:2]
            changed = build_configuration('r9', routes, tenants)
            await mesh.store.put('config', 'main', changed, stored.version)
            await asyncio.sleep(2)
            await self.statuses(mesh, NAMES[:3])
            requests = [req for t in mesh.targets.values() for req in t.requests]
            return {req.header(b'tenant') for req in requests}

        self.assertEqual({'zeta'}, self.run_fleet(scenario))


class ConfigurationLeaseTest(TestCase):
    def build_lease(self, max_revocation_seconds=5.0):
        self.time = 0.0
        return ConfigurationLease(lambda: self.time, max_revocation_seconds)

    def test_lease_expires_well_before_the_limit(self):
        lease = self.build_lease()
        self.assertTrue(lease.expired)
        lease.renew(0.0)
        self.time = EXPIRY_FRACTION * 5.0 - 0.01
        self.assertFalse(lease.expired)
        self.time = EXPIRY_FRACTION * 5.0
        self.assertTrue(lease.expired)

    def test_older_renewal_is_ignored(self):
        lease = self.build_lease()
        lease.renew(3.0)
        lease.renew(1.0)
        self.assertEqual(3.0, lease.confirmed_at)

    def test_lease_without_a_limit_never_expires(self):
        lease = self.build_lease(None)
        self.assertEqual(math.inf, lease.age)
        self.assertFalse(lease.expired)

    def test_lease_expires_while_the_machine_is_suspended(self):
        # The event loop's clock stops while a machine is suspended; the clock of the lease does
        # not.
        lease = self.build_lease()
        lease.renew(0.0)
        self.time = 60.0
        self.assertTrue(lease.expired)
