"""All ways in which an extra answer of a target can meet the sends of requests."""

import asyncio
import itertools
from collections import Counter
from functools import partial

from tests.fakes.extra_answers import NOT_EXECUTED, SIGNED, Extra, ExtraAnswerTarget, Moment, Name
from tests.mesh_case import MeshTest

ROUNDS = 5
REQUESTS_AT_A_TIME = 3  #: an odd number, so that the pool hands some their connection again
PROMISES = {408, 421, 429, 503}  #: statuses that say that a request has not run and will not
HEADS = {
    'refusal': (503, NOT_EXECUTED),
    'refusal of a quota': (429, NOT_EXECUTED),
    'refusal of a malformed request': (400, NOT_EXECUTED),
    'wrong target': (421, b''),
    'wrong target, not executed': (421, NOT_EXECUTED),
    'success': (200, SIGNED),
    'failure': (500, SIGNED),
}


class ExtraAnswerTest(MeshTest):
    # An extra refusal that named no request was taken for the answer to the next send, which ran.
    def test_no_extra_answer_is_taken_for_the_answer_to_a_send(self):
        broken, extras = Counter(), Counter()
        for what, name, moment, after_run in itertools.product(HEADS, Name, Moment, (False, True)):
            target = ExtraAnswerTarget(Extra(*HEADS[what], name, moment, after_run))
            statuses = self.run_mesh(partial(self.send_to, target), kind='unsafe', attempts=1)
            extras[name] += target.extras_sent
            for rule in find_broken(target, statuses):
                broken[f'{rule}: {what}, names {name}, {moment}, after a run: {after_run}'] += 1
        self.assertEqual({}, dict(broken))
        self.assertGreater(min(extras[name] for name in Name), 500)

    async def send_to(self, target, mesh):
        """Put a target in the place of b's, and return the statuses of requests to it, by id."""
        mesh.targets['b'].listener.close()
        await target.server.listen(mesh.nodes['b'].settings.target)
        statuses = {}

        async def send(number):
            request_id = f'q-{number}'
            response = await mesh.call('a', '/deep/x', 'POST', request_id=request_id)
            is_own = (b'request-id', request_id.encode()) in response.headers
            statuses[request_id] = response.status if is_own else 0

        for number in range(ROUNDS):
            first = number * REQUESTS_AT_A_TIME
            await asyncio.gather(*map(send, range(first, first + REQUESTS_AT_A_TIME)))
        target.server.server.close()
        return statuses


def find_broken(target, statuses):
    """Yield the rule of each break: what ran twice, ran though refused, or got a wrong answer."""
    for request_id, status in statuses.items():
        runs = target.runs[request_id]
        if runs > 1:
            yield 'twice'
        if runs and status in PROMISES:
            yield 'refused'
        if status in (0, 421) or (status == 200 and not runs) or status == 500:
            yield 'answer to another request'
