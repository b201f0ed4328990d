import asyncio
import io
import json
import os

from dunlinsaddle.calls.decisions import MAX_LINES_PER_SECOND, Event
from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.logs import MAX_BUFFERED_LINES, NonBlockingStream, create_logger
from tests.clock import PausedClockTest
from tests.fakes.mesh import Mesh, build_refusal
from tests.utils import run_cli

SETTLE_SECONDS = 4.0  #: until the nodes know each other


class DecisionTest(PausedClockTest):
    """Sends requests through real nodes and checks what they log."""

    def run_and_read_log(self, scenario, targets=('a:front', 'b:deep')):
        async def run():
            mesh = Mesh()
            mesh.stream = io.StringIO()
            await mesh.configure()
            for name, service in (pair.split(':') for pair in targets):
                node = await mesh.add_node(name, service)
                logger = create_logger(mesh.stream, 'info', instance=name, domain='d')
                node.logger = node.decisions.logger = logger
            await asyncio.sleep(SETTLE_SECONDS)
            try:
                await scenario(mesh)
                await asyncio.sleep(1.5)
            finally:
                await mesh.stop()
            return mesh.stream.getvalue()

        text = self.run_paused(run())
        return text, [json.loads(line) for line in text.splitlines()]

    def lines_of(self, lines, event):
        return [line for line in lines if line['message'] == event.value]

    def test_an_answered_request_is_logged_from_its_route_to_its_answer(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x', request_id='r-1')

        _, lines = self.run_and_read_log(scenario)
        messages = [line['message'] for line in lines if line.get('request_id') == 'r-1']
        self.assertEqual(['request routed', 'request sent', 'request answered'], messages)
        (sent,) = self.lines_of(lines, Event.SENT)
        self.assertEqual(('b', 1), (sent['to'], sent['candidates']))

    def test_the_repeats_of_all_nodes_add_up_from_their_logs(self):
        # Without them nobody can tell which node sent more repeats than its part, and why.
        async def scenario(mesh):
            async def refuse(req):
                return build_refusal(req)

            mesh.targets['c'].respond = mesh.targets['d'].respond = refuse
            for _ in range(3):
                await mesh.call('a', '/deep/x')
                await mesh.call('b', '/deep/x')
                await asyncio.sleep(1.0)

        _, lines = self.run_and_read_log(scenario, ('a:front', 'b:front', 'c:deep', 'd:deep'))
        resent = self.lines_of(lines, Event.RESENT)
        last = {line['instance']: line for line in self.lines_of(lines, Event.BUDGET)}
        self.assertEqual(len(resent), sum(line['totals']['own'] for line in last.values()))
        self.assertEqual({'a', 'b'}, set(last))
        self.assertEqual(4, last['a']['node_count'])
        self.assertEqual([3, 0, 0], last['a']['requests'])

    def test_a_failed_request_lists_every_attempt_and_its_result(self):
        # Both targets fail at each of four attempts. The line of the failure alone lists them
        # all with their duration, whatever other lines were omitted.
        async def scenario(mesh):
            async def broken(req):
                raise ConnectionError

            for name in 'bc':
                mesh.targets[name].respond = broken
                mesh.targets[name].listener.on_fault = lambda req: None
            await mesh.call('a', '/deep/x', request_id='r-1')

        _, lines = self.run_and_read_log(scenario, ('a:front', 'b:deep', 'c:deep'))
        (failed,) = self.lines_of(lines, Event.FAILED)
        self.assertEqual({'b', 'c'}, {attempt['instance'] for attempt in failed['attempts']})
        self.assertEqual((7, 'WARNING'), (failed['version'], failed['level']))
        self.assertEqual(4, len(failed['attempts']))
        self.assertEqual(3, len(self.lines_of(lines, Event.RESENT)))

    # A request ran after it had been refused, and no line told which of its sends had run.
    def test_each_send_of_a_request_shows_its_connection_and_what_it_was_taken_for(self):
        async def scenario(mesh):
            async def respond(req):
                arrivals = sum(t.runs[req.header(b'request-id')] for t in mesh.targets.values())
                if arrivals == 1:
                    return build_refusal(req)
                return HttpResponse(200, [], b'') if arrivals == 2 else target.signed_response(req)

            target = mesh.targets['b']
            mesh.targets['b'].respond = mesh.targets['c'].respond = respond
            await mesh.call('a', '/deep/x', request_id='r-1')

        _, lines = self.run_and_read_log(scenario, ('a:front', 'b:deep', 'c:deep'))
        (answered,) = self.lines_of(lines, Event.ANSWERED)
        taken_for = [attempt['outcome'] for attempt in answered['attempts']]
        self.assertEqual(['not-run', 'unknown', 'done'], taken_for)
        self.assertTrue(all(attempt['connection'] for attempt in answered['attempts']))
        events = (Event.REFUSED_BY_TARGET, Event.LOST_AT_TARGET, Event.ANSWERED_BY_TARGET)
        at_targets = [self.lines_of(lines, event)[0] for event in events]
        self.assertEqual([503, 0, 200], [line['status'] for line in at_targets])
        self.assertEqual(
            [attempt['connection'] for attempt in answered['attempts']],
            [line['connection'] for line in at_targets],
        )

    def test_a_refusal_logs_the_load_that_caused_it(self):
        async def scenario(mesh):
            mesh.targets['b'].state = 'draining'
            await mesh.targets['b'].send_heartbeat(mesh.client)
            await mesh.call('a', '/deep/x', request_id='r-1')

        _, lines = self.run_and_read_log(scenario)
        refused = self.lines_of(lines, Event.REFUSED)
        self.assertEqual('draining', refused[0]['kind'])
        self.assertIn('limit', refused[0])

    def test_a_flood_of_lines_is_limited_and_omitted_lines_are_counted(self):
        async def scenario(mesh):
            await asyncio.gather(*(mesh.call('a', '/nowhere/x') for _ in range(300)))
            await asyncio.sleep(1.0)
            await mesh.call('a', '/nowhere/x')

        _, lines = self.run_and_read_log(scenario)
        unrouted = self.lines_of(lines, Event.UNROUTED)
        self.assertLessEqual(len(unrouted), 2 * MAX_LINES_PER_SECOND[Event.UNROUTED] + 1)
        omitted = sum(
            line['counts'][Event.UNROUTED] for line in self.lines_of(lines, Event.OMITTED)
        )
        self.assertEqual(301, len(unrouted) + omitted)

    def test_trace_shows_a_request_across_nodes(self):
        # Two targets serve and one of them fails. Given only the request id, trace shows where
        # the request was sent first, what happened there, and who answered.
        async def scenario(mesh):
            async def broken(req):
                raise ConnectionError

            mesh.targets['b'].respond = broken
            mesh.targets['b'].listener.on_fault = lambda req: None
            for number in range(4):
                await mesh.call('a', '/deep/x', request_id=f'r-{number}')

        text, lines = self.run_and_read_log(scenario, ('a:front', 'b:deep', 'c:deep'))
        resent_id = self.lines_of(lines, Event.RESENT)[0]['request_id']
        result = run_cli('trace', resent_id, stdin=f'not json\n{text}')
        self.assertEqual(0, result.status)
        self.assertIn('request sent again', result.output)
        self.assertIn('1 lines could not be read', result.error)
        trace = run_cli('trace', resent_id, '--json', stdin=text).json
        self.assertEqual('request answered', trace['lines'][-1]['message'])

    def test_trace_across_three_nodes_one_of_which_stopped(self):
        # A node stops while its target runs the request, so its own lines end there. The lines
        # of the entry show that the call was lost, where it went next, and who answered.
        async def scenario(mesh):
            for name in 'bc':
                mesh.targets[name].response_seconds = 0.3
            call = asyncio.create_task(mesh.call('a', '/deep/x', request_id='r-1'))
            await asyncio.sleep(0.1)
            busy = next(name for name in 'bc' if mesh.targets[name].requests)
            await mesh.nodes[busy].stop()
            await call

        text, _ = self.run_and_read_log(scenario, ('a:front', 'b:deep', 'c:deep'))
        lines = run_cli('trace', 'r-1', '--json', stdin=text).json['lines']
        messages = [line['message'] for line in lines]
        expected = ['request routed', 'request sent', 'request sent again', 'request sent']
        expected += ['request answered by target', 'request answered']
        self.assertEqual(expected, messages)
        first, second = lines[-1]['attempts']
        self.assertEqual(('peer-lost', ''), (first['kind'], second['kind']))
        self.assertNotEqual(first['instance'], second['instance'])

    def test_a_failed_request_names_the_call_that_caused_the_failure(self):
        # A request fails with status 500 of its target, which does not show the cause. The
        # cause is a call further down that was refused; the line of the request names it.
        async def scenario(mesh):
            mesh.targets['b'].state = 'draining'
            await mesh.targets['b'].send_heartbeat(mesh.client)

            async def call_deep(req):
                request_id = f'{req.header(b"request-id")}.1'
                response = await mesh.call('a', '/deep/x', request_id=request_id)
                return mesh.targets['a'].signed_response(
                    req, status=500 if response.status != 200 else 200
                )

            mesh.targets['a'].respond = call_deep
            await mesh.call('a', '/front/x', request_id='r-1')

        text, lines = self.run_and_read_log(scenario)
        (entry_line,) = (line for line in self.lines_of(lines, Event.FAILED) if not line['inner'])
        self.assertIn('deep ', entry_line['cause'])
        counts = run_cli('failures', '--json', stdin=text).json
        reasons = {(row['of'], row['service'], row['reason']) for row in counts}
        self.assertIn(('request', 'front', entry_line['cause']), reasons)
        result = run_cli('failures', '--seconds', stdin=f'not json\n{text}')
        self.assertEqual(0, result.status)
        self.assertIn('SECOND', result.output)

    def test_trace_shows_other_failed_calls_only_if_no_own_one_is_logged(self):
        # Otherwise the output lists forty lines of unrelated failed requests, although the lines
        # of the request itself name the call that caused its failure.
        time_format = '2026-01-01T00:00:00.{}+00:00'

        def failed(request_id, instance, milliseconds, *, inner):
            attempts = [{'instance': 'b', 'kind': '', 'status': 500, 'seconds': 0.2}]
            line = {
                'time': time_format.format(milliseconds),
                'instance': instance,
                'request_id': request_id,
            }
            line |= {'message': Event.FAILED, 'inner': inner, 'attempts': attempts}
            return json.dumps(line) + '\n'

        entry_line = failed('r-1', 'a', 300, inner=False)
        other = failed('r-9.1', 'b', 250, inner=True)
        own = failed('r-1.1', 'b', 200, inner=True)
        with_own = run_cli('trace', 'r-1', stdin=entry_line + other + own)
        without = run_cli('trace', 'r-1', stdin=entry_line + other)
        self.assertNotIn('r-9.1', with_own.output)
        self.assertIn('r-9.1', without.output)

    def test_trace_reports_an_unknown_request_id(self):
        result = run_cli('trace', 'r-none', stdin='{"message": "x", "request_id": "r-1"}\n')
        self.assertEqual(5, result.status)
        self.assertIn('no line names the request r-none', result.error)
        self.assertEqual(2, run_cli('trace', 'r-1', '/no/such/file').status)


class PatientOutputTest(PausedClockTest):
    def test_a_stopped_reader_loses_lines_but_does_not_block(self):
        # The pipe is full and nobody reads it. Writing returns at once. When the reader resumes,
        # it gets the oldest lines and one that states how many were dropped.
        read_fd, write_fd = os.pipe()
        output = NonBlockingStream(write_fd)

        async def scenario():
            for number in range(MAX_BUFFERED_LINES * 4):
                output.write(f'{{"n": {number}, "x": "{"y" * 80}"}}\n')
                output.flush()
            dropped = output.dropped
            text = b''
            for _ in range(200):
                text += os.read(read_fd, 1 << 16)
                output.flush()
                if not output._lines:
                    break
            output.write('{"last": true}\n')
            output.flush()
            text += os.read(read_fd, 1 << 16)
            return dropped, [json.loads(line) for line in text.decode().splitlines()]

        try:
            dropped, lines = self.run_paused(scenario())
        finally:
            os.close(read_fd)
            os.close(write_fd)
        self.assertGreater(dropped, 0)
        self.assertEqual(list(range(100)), [line['n'] for line in lines[:100]])
        self.assertIn({'message': 'log lines dropped', 'count': dropped}, lines)
        self.assertEqual({'last': True}, lines[-1])
