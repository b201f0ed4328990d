"""Crowds that ask for long answers and read them slowly, or not at all."""

from tests.crowds.clients import SMALL_WINDOW_BYTES, Crowd, build_request
from tests.crowds.crowd_case import DEEP, FRONT, CrowdCase
from tests.crowds.machines import Limits, Machines

READERS = 80
LONG_ANSWER_BYTES = 2_000_000
PIPELINING_READERS = 24
PIPELINED_REQUESTS = 16
PIPELINED_ANSWER_BYTES = 400_000
CONNECTION_HEADER = 'x-padding: ' + 'p' * 800


class SlowReadersTest(CrowdCase):
    async def crowd_reads_slowly(self, machines: Machines, path: str) -> None:
        async with Crowd(machines.all[FRONT].outbound) as crowd:
            await crowd.send(
                READERS,
                build_request(f'{path}/answer/{LONG_ANSWER_BYTES}'),
                window=SMALL_WINDOW_BYTES,
            )
            crowd.read_slowly()
            await self.check_answered(machines)

    # The answers that callers had not taken yet ended the node that they were for.
    def test_long_answers_of_the_local_target_that_are_read_slowly(self):
        self.run_crowd(lambda machines: self.crowd_reads_slowly(machines, '/front'), Limits())

    # The same for answers that come over the link from another node, which holds them, too.
    def test_long_answers_of_another_machine_that_are_read_slowly(self):
        self.run_crowd(lambda machines: self.crowd_reads_slowly(machines, '/deep'), Limits())

    # Each connection had sixteen answers, and only the one at its head was ever written.
    def test_long_answers_to_pipelined_requests_that_nobody_reads(self):
        async def scenario(machines: Machines) -> None:
            async with Crowd(machines.all[FRONT].outbound) as crowd:
                req = build_request(f'/deep/answer/{PIPELINED_ANSWER_BYTES}')
                requests = b''.join(
                    req.replace(b'request-id: ', b'request-id: p%d-' % number)
                    for number in range(PIPELINED_REQUESTS)
                )
                await crowd.send(PIPELINING_READERS, requests, window=SMALL_WINDOW_BYTES)
                await self.check_answered(machines)

        self.run_crowd(scenario, Limits())

    # A caller that reads nothing and goes on to send filled the node's and the kernel's buffers.
    def test_requests_without_end_of_callers_that_read_nothing(self):
        async def scenario(machines: Machines) -> None:
            async with Crowd(machines.all[FRONT].outbound) as crowd:
                req = build_request('/front/answer/20000', b'', CONNECTION_HEADER)
                await crowd.send(200, req * 2000, window=SMALL_WINDOW_BYTES)
                await self.check_answered(machines)

        self.run_crowd(scenario, Limits())


class LongAnswerTest(CrowdCase):
    # One long answer took several times its size at each node on its way.
    def test_a_lone_long_answer_is_served_within_the_memory_of_a_small_machine(self):
        async def scenario(machines: Machines) -> None:
            for path in ('/front', '/deep'):
                size = 64_000_000
                answer = await machines.answer_ordinary(FRONT, f'{path}/answer/{size}')
                self.assertEqual((200, size), (answer.status, len(answer.body)), path)
            self.assertIsNone(machines.all[DEEP].node.popen.poll())

        self.run_crowd(scenario, Limits(memory_mb=200))
