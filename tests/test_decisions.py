import asyncio
import io
import json
import os

from dunlinsaddle.calls.decisions import MAX_LINES_PER_SECOND, Event
from dunlinsaddle.logs import LINES_HELD, PatientOutput, start_logs
from tests.clock import PausedClockTest
from tests.fakes.mesh import Mesh
from tests.utils import run_cli

SETTLED = 4.0


class DecisionTest(PausedClockTest):
    """Runs a request through real nodes and reads what they logged."""

    def logged(self, scenario, targets=('a:front', 'b:deep')):
        async def run():
            mesh = Mesh()
            mesh.stream = io.StringIO()
            await mesh.configure()
            for name, service in (pair.split(':') for pair in targets):
                node = await mesh.place(name, service)
                logger = start_logs(mesh.stream, 'info', instance=name, domain='d')
                node.logger = node.decisions.logger = logger
            await asyncio.sleep(SETTLED)
            try:
                await scenario(mesh)
                await asyncio.sleep(1.5)
            finally:
                await mesh.stop()
            return mesh.stream.getvalue()

        text = self.run_paused(run())
        return text, [json.loads(line) for line in text.splitlines()]

    def of(self, lines, event):
        return [line for line in lines if line['message'] == event.value]

    def test_an_answered_request_is_told_from_its_route_to_its_answer(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x', request_id='r-1')

        _, lines = self.logged(scenario)
        own = [line['message'] for line in lines if line.get('request_id') == 'r-1']
        self.assertEqual(['request routed', 'request sent', 'request answered'], own)
        (sent,) = self.of(lines, Event.SENT)
        self.assertEqual(('b', 1), (sent['to'], sent['candidates']))

    def test_a_failed_request_carries_every_send_and_what_it_met(self):
        # Both targets break off at each of four sends. The line of the failure alone names
        # all, with the time each took, whatever other lines were left out.
        async def scenario(mesh):
            async def broken(req):
                raise ConnectionError

            for name in 'bc':
                mesh.targets[name].script = broken
                mesh.targets[name].face.on_fault = lambda req: None
            await mesh.call('a', '/deep/x', request_id='r-1')

        _, lines = self.logged(scenario, ('a:front', 'b:deep', 'c:deep'))
        (failed,) = self.of(lines, Event.FAILED)
        self.assertEqual({'b', 'c'}, {attempt['instance'] for attempt in failed['attempts']})
        self.assertEqual((7, 'WARNING'), (failed['version'], failed['level']))
        self.assertEqual(4, len(failed['attempts']))
        self.assertEqual(3, len(self.of(lines, Event.RESENT)))

    def test_a_refusal_names_the_load_that_decided_it(self):
        async def scenario(mesh):
            mesh.targets['b'].state = 'draining'
            await mesh.targets['b'].announce(mesh.client)
            await mesh.call('a', '/deep/x', request_id='r-1')

        _, lines = self.logged(scenario)
        refused = self.of(lines, Event.REFUSED)
        self.assertEqual('draining', refused[0]['kind'])
        self.assertIn('limit', refused[0])

    def test_a_flood_is_bounded_and_what_was_left_out_is_counted(self):
        async def scenario(mesh):
            await asyncio.gather(*(mesh.call('a', '/nowhere/x') for _ in range(300)))
            await asyncio.sleep(1.0)
            await mesh.call('a', '/nowhere/x')

        _, lines = self.logged(scenario)
        unrouted = self.of(lines, Event.UNROUTED)
        self.assertLessEqual(len(unrouted), 2 * MAX_LINES_PER_SECOND[Event.UNROUTED] + 1)
        omitted = sum(line['counts'][Event.UNROUTED] for line in self.of(lines, Event.OMITTED))
        self.assertEqual(301, len(unrouted) + omitted)

    def test_trace_tells_the_story_across_nodes(self):
        # Two targets serve; the first breaks off. From the request's id alone: where it went
        # first, what happened there, and who answered.
        async def scenario(mesh):
            async def broken(req):
                raise ConnectionError

            mesh.targets['b'].script = broken
            mesh.targets['b'].face.on_fault = lambda req: None
            for number in range(4):
                await mesh.call('a', '/deep/x', request_id=f'r-{number}')

        text, lines = self.logged(scenario, ('a:front', 'b:deep', 'c:deep'))
        resent = self.of(lines, Event.RESENT)[0]['request_id']
        result = run_cli('trace', resent, stdin=f'not json\n{text}')
        self.assertEqual(0, result.status)
        self.assertIn('request sent again', result.output)
        self.assertIn('1 lines could not be read', result.error)
        story = run_cli('trace', resent, '--json', stdin=text).json
        self.assertEqual('request answered', story['lines'][-1]['message'])

    def test_trace_over_three_nodes_of_which_one_was_killed(self):
        # A node goes while its target runs the request: its own lines end there, and those of
        # the entry tell that it was lost, where it went next, and who answered.
        async def scenario(mesh):
            for name in 'bc':
                mesh.targets[name].seconds = 0.3
            call = asyncio.create_task(mesh.call('a', '/deep/x', request_id='r-1'))
            await asyncio.sleep(0.1)
            busy = next(name for name in 'bc' if mesh.targets[name].seen)
            await mesh.nodes[busy].stop()
            await call

        text, _ = self.logged(scenario, ('a:front', 'b:deep', 'c:deep'))
        story = run_cli('trace', 'r-1', '--json', stdin=text).json['lines']
        told = [line['message'] for line in story]
        expected = ['request routed', 'request sent', 'request sent again', 'request sent']
        self.assertEqual([*expected, 'request answered'], told)
        first, second = story[-1]['attempts']
        self.assertEqual(('peer-lost', ''), (first['kind'], second['kind']))
        self.assertNotEqual(first['instance'], second['instance'])

    def test_a_failed_request_names_the_call_that_it_failed_for(self):
        # A request fails three hops up with a status 500 of its target, which says nothing. The
        # cause is a call further down that was refused: it stands in the line of the request.
        async def scenario(mesh):
            mesh.targets['b'].state = 'draining'
            await mesh.targets['b'].announce(mesh.client)

            async def calling(req):
                request_id = f'{req.header(b"request-id")}.1'
                down = await mesh.call('a', '/deep/x', request_id=request_id)
                return mesh.targets['a'].signed(req, status=500 if down.status != 200 else 200)

            mesh.targets['a'].script = calling
            await mesh.call('a', '/front/x', request_id='r-1')

        text, lines = self.logged(scenario)
        (root,) = (line for line in self.of(lines, Event.FAILED) if not line['inner'])
        self.assertIn('deep ', root['cause'])
        counts = run_cli('failures', '--json', stdin=text).json
        reasons = {(one['of'], one['service'], one['reason']) for one in counts}
        self.assertIn(('request', 'front', root['cause']), reasons)
        result = run_cli('failures', '--seconds', stdin=f'not json\n{text}')
        self.assertEqual(0, result.status)
        self.assertIn('SECOND', result.output)

    def test_trace_shows_other_failed_calls_only_where_none_of_its_own_is_known(self):
        # The engineer reads forty lines of requests that failed beside the one in question,
        # though its own story names the call that it failed of.
        when = '2026-01-01T00:00:00.{}+00:00'

        def failed(request_id, instance, moment, *, inner):
            attempts = [{'instance': 'b', 'kind': '', 'status': 500, 'seconds': 0.2}]
            line = {'time': when.format(moment), 'instance': instance, 'request_id': request_id}
            line |= {'message': Event.FAILED, 'inner': inner, 'attempts': attempts}
            return json.dumps(line) + '\n'

        root = failed('r-1', 'a', 300, inner=False)
        other = failed('r-9.1', 'b', 250, inner=True)
        own = failed('r-1.1', 'b', 200, inner=True)
        with_own = run_cli('trace', 'r-1', stdin=root + other + own)
        without = run_cli('trace', 'r-1', stdin=root + other)
        self.assertNotIn('r-9.1', with_own.output)
        self.assertIn('r-9.1', without.output)

    def test_trace_without_a_match_says_so(self):
        result = run_cli('trace', 'r-none', stdin='{"message": "x", "request_id": "r-1"}\n')
        self.assertEqual(5, result.status)
        self.assertIn('no line names the request r-none', result.error)
        self.assertEqual(2, run_cli('trace', 'r-1', '/no/such/file').status)


class PatientOutputTest(PausedClockTest):
    def test_a_reader_that_has_stopped_costs_lines_and_no_time(self):
        # The pipe is full and nobody reads. Writing returns at once; when the reader is back,
        # the oldest lines come, and one that tells how many were dropped.
        reading, writing = os.pipe()
        output = PatientOutput(writing)

        async def scenario():
            for number in range(LINES_HELD * 4):
                output.write(f'{{"n": {number}, "x": "{"y" * 80}"}}\n')
                output.flush()
            dropped = output.dropped
            text = b''
            for _ in range(200):
                text += os.read(reading, 1 << 16)
                output.flush()
                if not output._lines:
                    break
            output.write('{"last": true}\n')
            output.flush()
            text += os.read(reading, 1 << 16)
            return dropped, [json.loads(line) for line in text.decode().splitlines()]

        try:
            dropped, lines = self.run_paused(scenario())
        finally:
            os.close(reading)
            os.close(writing)
        self.assertGreater(dropped, 0)
        self.assertEqual(list(range(100)), [line['n'] for line in lines[:100]])
        self.assertIn({'message': 'log lines dropped', 'count': dropped}, lines)
        self.assertEqual({'last': True}, lines[-1])
