"""Targets that answer with what is no answer, and the callers of their machines."""

from tests.crowds.clients import call
from tests.crowds.crowd_case import FRONT, CrowdCase
from tests.crowds.machines import Limits, Machines

NO_STATUSES = (b'000', b'099', b'600', b'999')


class NoStatusTest(CrowdCase):
    # A caller got no answer until its deadline, and its request was not tried elsewhere.
    def test_a_status_that_is_none_is_no_answer_and_the_request_goes_to_another_target(self):
        async def scenario(machines: Machines) -> None:
            broken = machines.all['1:deep'].target
            for status in NO_STATUSES:
                broken.respond = lambda request_id, status=status: (
                    b'HTTP/1.1 %s X\r\nrequest-id: %s\r\nserver-signature: x\r\n'
                    b'content-length: 2\r\n\r\nno' % (status, request_id.encode())
                )
                for _ in range(6):
                    answer = await call(machines.all[FRONT].outbound, '/deep/x')
                    self.assertTrue(answer.is_success, (status, answer))
                    self.assertEqual(b'.' * 7, answer.body)

        self.run_crowd(scenario, Limits(), ['front', 'deep', 'deep'])
