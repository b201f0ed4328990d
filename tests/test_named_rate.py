"""A target that names in its answers how many requests a second it takes."""

import asyncio

from tests.fakes.mesh_load import ENTRIES, TARGETS, Callers, allowed
from tests.mesh_case import MeshTest


def name_rate(target, text):
    target.says = [(b'server-limit', text.encode())] if text else []


class NamedRateTest(MeshTest):
    """Three entries with 40 requests a second each, and three targets."""

    def fleet(self, scenario, **terms):
        async def run(mesh):
            callers = Callers(mesh, 40.0)
            await callers.configure()
            await asyncio.sleep(1)
            await callers.ask_for(2.0)
            return await scenario(mesh, callers)

        return self.mesh(run, configure=False, targets=ENTRIES + TARGETS, **terms)

    def named_by(self, names, text, seconds=10.0):
        """Let targets name a rate; give callers, the most in a window of each, and since when."""

        async def scenario(mesh, callers):
            named_at = asyncio.get_running_loop().time()
            for name in names:
                name_rate(mesh.targets[name], text)
            await callers.ask_for(seconds)
            await callers.end()
            most = [callers.most_in_window(mesh.targets[name], named_at) for name in names]
            return callers, most, named_at

        return self.fleet(scenario)

    def test_a_target_that_names_a_rate_gets_no_more_and_the_others_serve_the_rest(self):
        """A target in need that is not heard gets three times what it takes."""
        callers, most, named_at = self.named_by('t', '7.5')
        self.assertLessEqual(most[0], allowed(7.5))
        self.assertGreater(most[0], 0)
        for rank in (0, 2):
            self.assertGreaterEqual(callers.served(rank, named_at), 0.99)
