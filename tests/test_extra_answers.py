"""All ways in which an extra answer of a target can meet the sends of requests."""

import asyncio
import itertools
from collections import Counter
from functools import partial

from dunlinsaddle.calls.call_state import RunningCalls
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.policy.admission import Admission
from dunlinsaddle.policy.quarantine import Quarantine
from dunlinsaddle.settings import Address
from dunlinsaddle.stats import Stats
from tests.builders import build_pending_call
from tests.clock import PausedClockTest
from tests.fakes.extra_answers import NOT_EXECUTED, SIGNED, Extra, ExtraAnswerTarget, Moment, Name
from tests.fakes.target import ScriptedTarget
from tests.mesh_case import MeshTest

TARGET = Address('127.0.0.1', 1)
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


class RepeatingTarget:
    """Sends each answer of the product's own interface twice: again when the next call arrives.

    The body of an answer is the id of its request. ``names_calls`` returns whether the answer to
    the call of that number has the call's token.
    """

    def __init__(self, names_calls):
        self.names_calls = names_calls
        self.calls = 0
        self.copies = {}
        self.server = ScriptedTarget(self.respond)

    async def respond(self, connection, data):
        headers = dict(line.split(b': ') for line in data.lower().split(b'\r\n')[1:] if line)
        connection.write(self.copies.get(connection, b''))
        self.calls += 1
        named = self.names_calls(self.calls)
        name = b'dunlinsaddle-call: %s\r\n' % headers[b'dunlinsaddle-call'] if named else b''
        body = headers[b'dunlinsaddle-request']
        answer = b'HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n%s' % (name, len(body), body)
        self.copies[connection] = answer
        await asyncio.sleep(0.01)
        connection.write(answer)


class OwnInterfaceTest(PausedClockTest):
    # A late copy of an answer went to the next caller, and each later answer to the one after it.
    def test_no_late_copy_goes_to_another_caller(self):
        for names_calls, connections in (
            (lambda number: True, 3),
            (lambda number: number % 2, 13),
            (lambda number: False, 24),
        ):
            answers, target = self.run_paused(self.call(RepeatingTarget(names_calls)))
            self.assertEqual([f'r-{number}' for number in range(24)], answers)
            self.assertEqual(connections, target.server.connection_count)

    async def call(self, target):
        """Send 24 calls, three at a time, and return the bodies of their answers."""
        await target.server.listen(TARGET)
        local_target = LocalTarget()
        local_target.announce('cut-orders', TARGET)
        client, running, stats = HttpClient(), RunningCalls(), Stats()
        executor = Executor(local_target, Admission(), client, running, stats, Quarantine())

        async def send(number):
            reply = await executor.execute(build_pending_call(request_id=f'r-{number}'))
            return reply.body.decode()

        answers = []
        for first in range(0, 24, 3):
            answers += await asyncio.gather(*map(send, range(first, first + 3)))
        client.close()
        target.server.server.close()
        return answers, target
