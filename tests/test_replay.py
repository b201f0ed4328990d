import json
from pathlib import Path

from fixtures import TempDir
from testtools import TestCase

from dunlinsaddle.cli.core import program
from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.replay.run import replay
from dunlinsaddle.replay.trace import TraceError, read_trace
from tests.builders import build_environment, build_trace_lines

TRACES = Path(__file__).parent / 'traces'


class TraceTest(TestCase):
    def test_every_trace_can_be_read(self):
        for path in TRACES.glob('*.jsonl'):
            read_trace(path.read_text().splitlines())

    def test_error_names_the_invalid_line_and_the_expected_value(self):
        invalid = {
            '{"kind":"demand","at":0,"until":1,"load":"much"}': 'Expected `float`',
            '{"kind":"demand","at":0,"until":1,"lod":1}': 'unknown field `lod`',
            '{"kind":"arrival","at":0,"chain":"no"}': "not 'no'",
            '{"kind":"fault","fault":"cut","at":0,"until":1,"domain":"x"}': "not 'x'",
            'no json': 'malformed',
        }
        for text, message in invalid.items():
            lines = [*build_trace_lines(), text]
            exc = self.assertRaises(TraceError, read_trace, lines)
            self.assertEqual(len(lines), exc.number)
            self.assertIn(message, str(exc))

    def test_first_line_must_be_the_header(self):
        exc = self.assertRaises(TraceError, read_trace, build_trace_lines()[1:])
        self.assertEqual(1, exc.number)


class ReplayTest(TestCase):
    def test_same_seed_gives_the_same_result(self):
        runs = [replay(read_trace(build_trace_lines(load=2.0)), 'current') for _ in range(2)]
        self.assertEqual(*([r.ended_at for r in run.requests] for run in runs))

    def test_resends_keep_the_priority_of_their_request(self):
        """All hops derive the priority from the request id, which a resend keeps.

        A replay that drew a new priority for each resend let callers be admitted by resending,
        and showed a faster recovery than real processes have.
        """
        callers = '{"kind":"callers","count":5,"resends":2,"pause":"retry-after"}'
        result = replay(read_trace([*build_trace_lines(load=4.0), callers]), 'current')
        resent = [req for req in result.requests if len(req.attempts) > 1]
        self.assertNotEqual([], resent)
        for req in resent:
            self.assertEqual(1, len({attempt.priority for attempt in req.attempts}))

    def run_replay(self, lines: list[str], *flags: str):
        path = self.write_trace(lines)
        env = build_environment()
        status = program(['replay', path, *flags], env)
        return status, env

    def write_trace(self, lines: list[str]) -> str:
        path = Path(self.useFixture(TempDir()).path) / 'trace.jsonl'
        path.write_text('\n'.join(lines))
        return str(path)

    def test_missed_outcome_sets_the_exit_status(self):
        expect = '{"kind":"expect","metric":"goodput","op":">=","value":9}'
        status, env = self.run_replay([*build_trace_lines(), expect])
        self.assertEqual(ExitStatus.EXPECTATION_NOT_MET, status)
        self.assertIn('MISSED', env.stdout.getvalue())

    def test_json_output_has_the_figures(self):
        status, env = self.run_replay(build_trace_lines(), '--json')
        self.assertEqual(ExitStatus.OK, status)
        self.assertGreater(json.loads(env.stdout.getvalue())['figures']['goodput'], 0.9)

    def test_error_for_an_invalid_trace_names_the_line(self):
        status, env = self.run_replay(['{"kind":"demand"}'])
        self.assertEqual(ExitStatus.INVALID_RECORD, status)
        self.assertIn('line 1', env.stderr.getvalue())
